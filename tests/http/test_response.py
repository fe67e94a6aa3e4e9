"""The HTTP response parser: input split at any byte, malformed and incomplete responses."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetlanding.http.errors import HttpError
from garnetlanding.http.response import ResponseParser
from garnetlanding.limits import Limits
from garnetlanding.runtime.buffers import BufferPool


def parser() -> ResponseParser:
    return ResponseParser(BufferPool(16, 4, 1 << 12), Limits())


@given(st.lists(st.binary(min_size=1, max_size=50), max_size=6), st.booleans(), st.lists(st.integers(1, 40)))
def test_a_body_is_the_same_at_any_split_of_the_stream(
    parts: list[bytes], chunked: bool, sizes: list[int]
) -> None:
    body = b"".join(parts)
    if chunked:
        head = b"Transfer-Encoding: chunked\r\n\r\n"
        data = head + b"".join(b"%x;x=y\r\n%b\r\n" % (len(p), p) for p in parts) + b"0\r\nTrailer: 1\r\n\r\n"
    else:
        data = b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
    data = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + data
    response = parser()
    received = b""
    for size in [*sizes, len(data)]:
        received += b"".join(response.feed(data[:size]))
        data = data[size:]
    assert (received, response.status, response.done) == (body, 200, True)


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"SSH-2.0\r\n", id="another protocol"),
        pytest.param(b"HTTP/1.1 OK 200\r\n", id="no status code"),
        pytest.param(b"HTTP/1.1 200 OK\r\nno colon\r\n", id="header without colon"),
        pytest.param(b"x" * 9000, id="line too long"),
        pytest.param(b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", id="negative length"),
        pytest.param(b"HTTP/1.1 200 OK\r\n" + b"a: b\r\n" * 65, id="too many headers"),
        pytest.param(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n", id="bad chunk size"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n", id="unterminated chunk"
        ),
    ],
)
def test_a_malformed_response_raises(data: bytes) -> None:
    with pytest.raises(HttpError):
        list(parser().feed(data))


def test_only_a_body_without_a_length_may_end_with_the_stream() -> None:
    unbounded = parser()
    assert list(unbounded.feed(b"HTTP/1.1 200 OK\r\n\r\nabc")) == [b"abc"]
    unbounded.feed_eof()
    truncated = parser()
    list(truncated.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"))
    with pytest.raises(HttpError, match="answer cut short"):
        truncated.feed_eof()
