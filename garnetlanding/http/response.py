"""Incremental parser for one HTTP/1.1 response, which yields the body as it arrives."""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum, auto

from garnetlanding.http.errors import HttpError, Violation
from garnetlanding.http.message_head import HeaderLine, MessageHead
from garnetlanding.limits import Limits
from garnetlanding.runtime.buffers import BufferPool

_INTERIM_STATUSES = range(100, 200)
_BODILESS_STATUSES = (204, 304)
_MIN_STATUS_LINE_PARTS = 2  # version and status code; the reason phrase is optional
_HEX_DIGITS = b"0123456789abcdefABCDEF"
_CHUNK_SIZE_DIGITS = 8
"""Maximum number of hexadecimal digits in a chunk size."""

_NO_BODY_DATA = b""
"""Returned by a parsing step that made progress without producing body data."""


class ResponseState(Enum):
    """The element that the parser expects next.

    STATUS_LINE -> HEADERS          at each status line
    HEADERS -> STATUS_LINE          at the end of an interim response (1xx)
    HEADERS -> BODY                 if the body has a Content-Length or ends with the stream
    HEADERS -> CHUNK_SIZE           if the body is chunked
    HEADERS -> DONE                 if there is no body
    CHUNK_SIZE -> CHUNK_DATA -> CHUNK_END -> CHUNK_SIZE     for each chunk
    CHUNK_SIZE -> TRAILERS          at the last chunk, whose size is 0
    BODY, TRAILERS -> DONE          at the end of the body
    """

    STATUS_LINE = auto()
    """Version and status code."""
    HEADERS = auto()
    """A header field, or the end of the header section."""
    BODY = auto()
    """More of a body that is not chunked."""
    CHUNK_SIZE = auto()
    """The line with the size of the next chunk."""
    CHUNK_DATA = auto()
    """More data of the current chunk."""
    CHUNK_END = auto()
    """The CRLF after a chunk's data."""
    TRAILERS = auto()
    """A trailer field, which is ignored, or the end of the trailer section."""
    DONE = auto()
    """Nothing: the response is complete."""


class ResponseParser:
    """Parses one response; the caller feeds it received bytes until `done`.

    Interim responses (1xx) are skipped. `status` is 0 until the head is complete; `headers` maps lower-case
    field names to values.
    """

    def __init__(self, pool: BufferPool, limits: Limits) -> None:
        self._head = MessageHead(pool, limits)
        self._buffer = self._head.buffer
        self.headers = self._head.headers
        self.status = 0
        self._state = ResponseState.STATUS_LINE
        self._received_status = 0
        """Status code of the last status line, which may be that of an interim response."""
        self._remaining: int | None = None
        """Bytes left in the body or the current chunk; `None` if the body ends with the stream."""

    @property
    def done(self) -> bool:
        """Whether the response is complete."""
        return self._state is ResponseState.DONE

    def feed(self, data: bytes | memoryview) -> Iterator[bytes]:
        """Parse received bytes and yield the body data in them. Raises `HttpError`."""
        self._buffer.append(data)
        while not self.done:
            piece = self._advance()
            if piece is None:
                return
            if piece:
                yield piece

    def feed_eof(self) -> None:
        """Handle the end of the stream, which also ends a body of unknown length.

        Raises `HttpError` if the response is incomplete.
        """
        ends_with_stream = self._state is ResponseState.BODY and self._remaining is None
        is_complete = self.done or ends_with_stream
        self.close()
        if not is_complete:
            raise HttpError.from_violation(Violation.INCOMPLETE_RESPONSE)
        self._state = ResponseState.DONE

    def close(self) -> None:
        """Release all buffers."""
        self._buffer.clear()

    def _advance(self) -> bytes | None:
        """Parse the next element; return body data, `_NO_BODY_DATA`, or `None` if more bytes are needed."""
        match self._state:
            case ResponseState.STATUS_LINE:
                return self._read_status_line()
            case ResponseState.HEADERS:
                return self._read_header()
            case ResponseState.BODY:
                return self._read_body()
            case ResponseState.CHUNK_SIZE:
                return self._read_chunk_size()
            case ResponseState.CHUNK_DATA:
                return self._read_chunk_data()
            case ResponseState.CHUNK_END:
                return self._read_chunk_end()
        return self._read_trailer()

    def _read_status_line(self) -> bytes | None:
        line = self._head.read_line()
        if line is None:
            return None
        parts = line.split(b" ", 2)
        if (
            len(parts) < _MIN_STATUS_LINE_PARTS
            or not parts[0].startswith(b"HTTP/1.")
            or not parts[1].isdigit()
        ):
            raise HttpError.from_violation(Violation.INVALID_STATUS_LINE)
        self._received_status = int(parts[1])
        self._state = ResponseState.HEADERS
        return _NO_BODY_DATA

    def _read_header(self) -> bytes | None:
        line = self._head.read_header()
        if line is HeaderLine.NEED_DATA:
            return None
        if line is HeaderLine.END:
            self._finish_headers()
        return _NO_BODY_DATA

    def _finish_headers(self) -> None:
        if self._received_status in _INTERIM_STATUSES:
            self.headers.clear()
            self._state = ResponseState.STATUS_LINE
            return
        self.status = self._received_status
        if self.headers.get("transfer-encoding", "").lower() == "chunked":
            self._state = ResponseState.CHUNK_SIZE
            return
        self._remaining = self._head.content_length()
        self._state = ResponseState.BODY
        if self._remaining == 0 or self.status in _BODILESS_STATUSES:
            self._state = ResponseState.DONE

    def _read_body(self) -> bytes | None:
        if self._remaining is None:
            return self._buffer.take(self._buffer.length) or None
        piece = self._buffer.take(self._remaining)
        self._remaining -= len(piece)
        if self._remaining == 0:
            self._state = ResponseState.DONE
        return piece or None

    def _read_chunk_size(self) -> bytes | None:
        line = self._head.read_line()
        if line is None:
            return None
        digits = line.partition(b";")[0].strip()
        if not digits or len(digits) > _CHUNK_SIZE_DIGITS or digits.strip(_HEX_DIGITS):
            raise HttpError.from_violation(Violation.INVALID_CHUNK_SIZE)
        self._remaining = int(digits, 16)
        self._state = ResponseState.CHUNK_DATA if self._remaining else ResponseState.TRAILERS
        return _NO_BODY_DATA

    def _read_chunk_data(self) -> bytes | None:
        assert self._remaining is not None, "chunk data is only read after a chunk size"
        piece = self._buffer.take(self._remaining)
        self._remaining -= len(piece)
        if self._remaining == 0:
            self._state = ResponseState.CHUNK_END
        return piece or None

    def _read_chunk_end(self) -> bytes | None:
        line = self._head.read_line()
        if line is None:
            return None
        if line:
            raise HttpError.from_violation(Violation.UNTERMINATED_CHUNK)
        self._state = ResponseState.CHUNK_SIZE
        return _NO_BODY_DATA

    def _read_trailer(self) -> bytes | None:
        line = self._head.read_line()
        if line is None:
            return None
        if not line:
            self._state = ResponseState.DONE
        return _NO_BODY_DATA
