"""The 9P codecs of both dialects under random input."""

from __future__ import annotations

import contextlib
import struct

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import codec_linux as p9l
from garnetlanding.ninep.attribute_format import read_entries
from garnetlanding.ninep.stat_format import parse_stat
from garnetlanding.ninep.wire_format import MessageLayout
from garnetlanding.runtime.buffers import BufferPool

DIALECTS = {"9P2000": p9.PLAIN, "9P2000.L": p9l.LINUX}
TEXT = st.text(st.characters(exclude_characters="\0", exclude_categories=["Cs"]), max_size=20)
QIDS = st.builds(p9.Qid, st.integers(0, 255), st.integers(0, 2**32 - 1), st.integers(0, 2**64 - 1))


def field_values(layout: MessageLayout) -> list[st.SearchStrategy[object]]:
    """Return what may stand in each field, by the struct and kinds of its layout."""
    lead = [{"B": 8, "H": 16, "I": 32, "Q": 64}[c] for c in layout._lead.format[1:]]
    rest = {
        "s": TEXT,
        "q": QIDS,
        "d": st.binary(max_size=50),
        "n": st.binary(max_size=50),
        "S": st.lists(TEXT, max_size=16).map(tuple),
        "Q": st.lists(QIDS, max_size=16).map(tuple),
    }
    ints = {"1": 8, "2": 16, "4": 32, "8": 64}
    return [st.integers(0, 2**bits - 1) for bits in lead] + [
        rest[k] if k in rest else st.integers(0, 2 ** ints[k] - 1) for k in layout._rest
    ]


@pytest.mark.parametrize("dialect", DIALECTS)
@given(data=st.data())
def test_every_message_survives_encoding_and_decoding(dialect: str, data: st.DataObject) -> None:
    table = DIALECTS[dialect]
    layout = table[data.draw(st.sampled_from(sorted(table)))]
    message = layout.cls(*(data.draw(value) for value in field_values(layout)))
    raw = p9.encode(77, message)
    assert struct.unpack("<IBH", raw[:7]) == (len(raw), layout.number, 77)
    assert p9.decode(raw[4], raw[7:], table) == message
    for cut in range(7, len(raw), 1 + len(raw) // 8):
        assert isinstance(p9.decode(raw[4], raw[7:cut], table), p9.Malformed), "a part is not the whole"


@pytest.mark.parametrize("dialect", DIALECTS)
@given(data=st.data(), body=st.binary(max_size=80))
def test_random_body_decodes_or_is_malformed_without_raising(
    dialect: str, data: st.DataObject, body: bytes
) -> None:
    table = DIALECTS[dialect]
    number = data.draw(st.integers(0, 255) | st.sampled_from(sorted(table)))
    message = p9.decode(number, body, table)
    if not isinstance(message, p9.Malformed):
        assert p9.encode(1, message)[7:] == body, "what can be read says all that was there"


@pytest.mark.parametrize("dialect", DIALECTS)
@given(pieces=st.lists(st.binary(min_size=1, max_size=300), max_size=20), most=st.integers(7, 400))
def test_framer_buffers_no_more_than_the_largest_message(
    dialect: str, pieces: list[bytes], most: int
) -> None:
    pool = BufferPool(64, 4, 1 << 12)
    framer = p9.Framer(pool, most, DIALECTS[dialect])
    try:
        for piece in pieces:
            for tag, message in framer.feed(piece):
                assert 0 <= tag <= 0xFFFF
                assert isinstance(message, p9.Message | p9.Malformed)
            assert pool.in_use * 64 <= most + 300 + 64
    except p9.FrameError:
        pass
    framer.close()
    assert pool.in_use == 0


@given(st.binary(max_size=120))
def test_random_stats_and_entries_raise_only_value_errors(data: bytes) -> None:
    for parse in (parse_stat, read_entries):
        with contextlib.suppress(ValueError):
            parse(data)


def test_message_with_a_layout_that_misses_its_fields_is_rejected() -> None:
    with pytest.raises(TypeError, match="Tread"):
        MessageLayout(1, "Tread", p9.Tread, "48")
