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

DIALECTS = {"9P2000": p9.PLAIN_MESSAGES, "9P2000.L": p9l.LINUX_MESSAGES}
TEXT = st.text(st.characters(exclude_characters="\0", exclude_categories=["Cs"]), max_size=20)
QIDS = st.builds(p9.Qid, st.integers(0, 255), st.integers(0, 2**32 - 1), st.integers(0, 2**64 - 1))


def field_values(layout: MessageLayout) -> list[st.SearchStrategy[object]]:
    """Return a strategy for each field's values, by the struct and field codes of the layout."""
    leading_bits = [{"B": 8, "H": 16, "I": 32, "Q": 64}[c] for c in layout._leading_integers.format[1:]]
    values_by_code = {
        "s": TEXT,
        "q": QIDS,
        "d": st.binary(max_size=50),
        "n": st.binary(max_size=50),
        "S": st.lists(TEXT, max_size=16).map(tuple),
        "Q": st.lists(QIDS, max_size=16).map(tuple),
    }
    bits_by_code = {"1": 8, "2": 16, "4": 32, "8": 64}
    return [st.integers(0, 2**bits - 1) for bits in leading_bits] + [
        values_by_code[code] if code in values_by_code else st.integers(0, 2 ** bits_by_code[code] - 1)
        for code in layout._trailing_codes
    ]


@pytest.mark.parametrize("dialect", DIALECTS)
@given(data=st.data())
def test_every_message_survives_encoding_and_decoding(dialect: str, data: st.DataObject) -> None:
    table = DIALECTS[dialect]
    layout = table[data.draw(st.sampled_from(sorted(table)))]
    message = layout.message_class(*(data.draw(value) for value in field_values(layout)))
    raw = p9.encode(77, message)
    assert struct.unpack("<IBH", raw[:7]) == (len(raw), layout.message_type, 77)
    assert p9.decode(raw[4], raw[7:], table) == message
    for cut in range(7, len(raw), 1 + len(raw) // 8):
        truncated = p9.decode(raw[4], raw[7:cut], table)
        assert isinstance(truncated, p9.MalformedMessage), "a truncated message was decoded"


@pytest.mark.parametrize("dialect", DIALECTS)
@given(data=st.data(), body=st.binary(max_size=80))
def test_random_body_decodes_or_is_malformed_without_raising(
    dialect: str, data: st.DataObject, body: bytes
) -> None:
    table = DIALECTS[dialect]
    message_type = data.draw(st.integers(0, 255) | st.sampled_from(sorted(table)))
    message = p9.decode(message_type, body, table)
    if not isinstance(message, p9.MalformedMessage):
        assert p9.encode(1, message)[7:] == body, "a decoded message does not encode to the same bytes"


@pytest.mark.parametrize("dialect", DIALECTS)
@given(chunks=st.lists(st.binary(min_size=1, max_size=300), max_size=20), max_size=st.integers(7, 400))
def test_framer_buffers_no_more_than_the_largest_message(
    dialect: str, chunks: list[bytes], max_size: int
) -> None:
    pool = BufferPool(64, 4, 1 << 12)
    framer = p9.Framer(pool, max_size, DIALECTS[dialect])
    try:
        for chunk in chunks:
            for tag, message in framer.feed(chunk):
                assert 0 <= tag <= 0xFFFF
                assert isinstance(message, p9.Message | p9.MalformedMessage)
            assert pool.in_use * 64 <= max_size + 300 + 64
    except p9.FrameError:
        pass
    framer.close()
    assert pool.in_use == 0


@given(st.binary(max_size=120))
def test_random_stats_and_entries_raise_only_value_errors(data: bytes) -> None:
    for parse in (parse_stat, read_entries):
        with contextlib.suppress(ValueError):
            parse(data)


def test_layout_with_too_few_field_codes_is_rejected() -> None:
    with pytest.raises(TypeError, match="Tread"):
        MessageLayout(1, "Tread", p9.Tread, "48")
