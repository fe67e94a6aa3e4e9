"""Tests of the segment format: framing, checksums and the hash chain."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetlanding.audit import segments
from garnetlanding.audit.errors import CorruptSegmentError
from garnetlanding.audit.segment import FIRST_HASH, Segment

PAYLOADS = st.lists(
    st.dictionaries(st.text(max_size=5), st.integers() | st.text(max_size=9), max_size=4),
    min_size=1,
    max_size=6,
)


def encode(payloads: list[dict[str, Any]], previous_hash: bytes = FIRST_HASH, number: int = 1) -> bytes:
    data = segments.encode_header("n0", 7, number, previous_hash)
    last_hash = previous_hash
    for payload in payloads:
        record, last_hash = segments.encode_record(last_hash, payload)
        data += record
    return data


@given(PAYLOADS)
def test_records_read_back_as_written(payloads: list[dict[str, Any]]) -> None:
    found = segments.read_segment("f", encode(payloads), False)
    assert (found.instance, found.incarnation, found.number, found.records) == ("n0", 7, 1, payloads)


def test_a_segment_cut_at_any_byte_keeps_the_records_before_the_cut() -> None:
    payloads = [{"kind": "change", "n": n, "text": "x" * n} for n in range(4)]
    whole = encode(payloads)
    ends = [len(encode(payloads[:n])) for n in range(5)]
    for cut in range(ends[0], len(whole)):
        found = segments.read_segment("f", whole[:cut], True)
        kept = max(n for n in range(5) if ends[n] <= cut)
        assert found.records == payloads[:kept]
        assert found.torn_at == (None if cut == ends[kept] else ends[kept])
        if cut != ends[kept]:
            with pytest.raises(CorruptSegmentError, match=f"f: offset {ends[kept]}: cut short"):
                segments.read_segment("f", whole[:cut], False)
    for cut in range(ends[0]):
        with pytest.raises(CorruptSegmentError, match="f: offset"):
            segments.read_segment("f", whole[:cut], True)


def test_any_flipped_bit_is_detected() -> None:
    payloads = [{"kind": "change", "n": n} for n in range(3)]
    whole = encode(payloads)
    last = len(encode(payloads[:2]))
    for bit in range(len(whole) * 8):
        bad = bytearray(whole)
        bad[bit // 8] ^= 1 << bit % 8
        found: Segment | None = None
        corrupt: CorruptSegmentError | None = None
        try:
            found = segments.read_segment("f", bytes(bad), True)
        except CorruptSegmentError as error:
            corrupt = error
        if found is None:
            assert corrupt is not None
            assert "f: offset" in str(corrupt)
            intact = corrupt.intact.records if corrupt.intact else []
            assert all(payload in payloads for payload in intact), "no record is altered"
        else:
            # A greater length of the last record cannot be told from a torn tail, and is reported as one.
            assert found.torn_at == last
            assert found.records == payloads[:2]
            assert bit // 8 < last + 4


def test_a_removed_record_breaks_the_hash_chain() -> None:
    payloads = [{"n": n} for n in range(3)]
    ends = [len(encode(payloads[:n])) for n in range(4)]
    whole = encode(payloads)
    without = whole[: ends[1]] + whole[ends[2] :]
    with pytest.raises(CorruptSegmentError, match="does not follow"):
        segments.read_segment("f", without, True)


def test_a_corrupt_segment_error_carries_file_offset_and_what_is_intact() -> None:
    payloads = [{"n": n} for n in range(3)]
    offset = len(encode(payloads[:1]))
    data = bytearray(encode(payloads))
    data[offset + 9] ^= 1
    with pytest.raises(CorruptSegmentError, match="the sum does not hold") as caught:
        segments.read_segment("f", bytes(data), True)
    error = caught.value
    assert (error.file, error.offset) == ("f", offset)
    assert error.intact is not None
    assert error.intact.records == payloads[:1]
