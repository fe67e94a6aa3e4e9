"""The HTTP request parser: states, input split at any byte, malformed requests."""

from __future__ import annotations

import pytest

from garnetlanding.http.errors import HttpError, Violation
from garnetlanding.http.request import RequestParser
from garnetlanding.limits import Limits
from garnetlanding.runtime.buffers import BufferPool

REQUEST_BYTES = b"\r\nPOST /-/drain?x=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"


def parser() -> RequestParser:
    return RequestParser(BufferPool(16, 4, 1 << 12), Limits())


def test_a_request_fed_byte_by_byte_is_complete_with_its_last_byte() -> None:
    request = parser()
    assert not request.has_partial_message
    for index, byte in enumerate(REQUEST_BYTES):
        assert request.feed(bytes([byte])) is (index == len(REQUEST_BYTES) - 1)
    assert (request.method, request.target) == ("POST", "/-/drain?x=1")
    assert request.done
    assert not request.has_partial_message
    assert request.feed(b"more"), "bytes after the request are ignored"


def test_a_request_is_partial_from_its_first_byte_to_its_last() -> None:
    request = parser()
    request.feed(b"G")
    assert request.has_partial_message
    request.feed(b"ET / HTTP/1.0\r\n")
    assert request.has_partial_message
    request.feed(b"\r\n")
    assert request.done
    assert not request.has_partial_message


@pytest.mark.parametrize(
    ("data", "violation", "status"),
    [
        (b"GET /\r\n", Violation.INVALID_REQUEST_LINE, 400),
        (b"GET / HTTP/2.0\r\n", Violation.INVALID_REQUEST_LINE, 400),
        (b"GET nowhere HTTP/1.1\r\n", Violation.INVALID_TARGET, 400),
        (b"GET / HTTP/1.1\r\nno colon\r\n", Violation.INVALID_HEADER, 400),
        (b"GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n", Violation.INVALID_CONTENT_LENGTH, 400),
        (b"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", Violation.CHUNKED_REQUEST_BODY, 411),
        (b"GET / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", Violation.BODY_TOO_LONG, 413),
        (b"x" * 20_000, Violation.LINE_TOO_LONG, 431),
        (b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 65, Violation.TOO_MANY_HEADERS, 431),
    ],
)
def test_a_violation_has_its_reason_and_status(data: bytes, violation: Violation, status: int) -> None:
    with pytest.raises(HttpError) as error:
        parser().feed(data)
    assert error.value.violation is violation
    assert (str(error.value), error.value.status) == (violation.value, status)
