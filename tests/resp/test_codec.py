"""The RESP2 codec: input split at any byte, all types, invalid input."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetlanding.resp import codec
from tests.support.resp import LIMITS, pool
from tests.support.simulated_instance import SimulatedInstance

ARGUMENTS = st.lists(st.binary(max_size=40), min_size=1, max_size=6)


def split(data: bytes, sizes: list[int]) -> list[bytes]:
    pieces = []
    for size in sizes:
        pieces.append(data[:size])
        data = data[size:]
    return [*pieces, data]


@given(st.lists(ARGUMENTS, max_size=5), st.lists(st.integers(0, 30), max_size=20))
def test_commands_decode_the_same_at_any_split(commands: list[list[bytes]], sizes: list[int]) -> None:
    buffers = pool()
    decoder = codec.Decoder(buffers, LIMITS, commands_only=True)
    data = b"".join(map(codec.encode_command, commands))
    decoded = [value for piece in split(data, sizes) for value in decoder.feed(piece)]
    assert decoded == commands
    assert not decoder.has_partial_message
    assert buffers.in_use <= 1, "an emptied buffer is released"


def test_every_type_of_reply_is_decoded() -> None:
    data = b"+OK\r\n-ERR x\r\n:-7\r\n$-1\r\n*-1\r\n*0\r\n*2\r\n*1\r\n:1\r\n$2\r\nab\r\n"
    assert list(codec.Decoder(pool(), LIMITS).feed(data)) == [
        codec.SimpleString(b"OK"),
        codec.ErrorReply(b"ERR x"),
        -7,
        None,
        None,
        [],
        [[1], b"ab"],
    ]


@pytest.mark.parametrize(
    "data",
    [
        b"GET x\r\n",
        b"*x\r\n",
        b"*-2\r\n",
        b"*99\r\n",
        b"*1\r\n:1\r\n",
        b"*1\r\n$70000\r\n",
        b"*1\r\n$-1\r\n",
        b"*1\r\n$1\r\nabc",
        b"*" + b"1" * 600,
        b"*1\r\n$99999999999999999999\r\n",
        b"*1\r\n*1\r\n",
        b"*1\r\n$-5\r\n",
    ],
    ids=[
        "inline command",
        "length not a number",
        "negative array",
        "array too long",
        "integer element",
        "bulk too long",
        "null element",
        "unterminated bulk",
        "line too long",
        "length of 20 digits",
        "nested array",
        "negative bulk",
    ],
)
def test_lost_framing_gets_an_error_reply_and_a_close(data: bytes) -> None:
    instance = SimulatedInstance()
    peer = instance.connect(instance.start_resp_listener().address)
    assert peer.send_bytes(b"*1\r\n$4\r\nPING\r\n" + data).startswith(b"+PONG\r\n-ERR Protocol error")
    assert peer.closed
    assert instance.core.open_requests == 0
