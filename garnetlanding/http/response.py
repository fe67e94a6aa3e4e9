"""Parses HTTP/1.1 responses: status, headers, and the body in pieces as it arrives."""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum, auto

from garnetlanding.http.errors import HttpError
from garnetlanding.http.message_head import HeaderLine, MessageHead
from garnetlanding.limits import Limits
from garnetlanding.runtime.buffers import BufferPool

_BODILESS_STATUSES = (204, 304)
_HEX_DIGITS = b"0123456789abcdefABCDEF"
_CHUNK_SIZE_DIGITS = 8
"""More digits in a chunk's size are an error."""

_CONTINUE = b""
"""A step that read something other than a piece of the body."""


class ResponseState(Enum):
    """What the parser reads next."""

    STATUS_LINE = auto()
    HEADERS = auto()
    BODY = auto()
    """A body of known length, or one that the end of the stream ends."""
    CHUNK_SIZE = auto()
    CHUNK_DATA = auto()
    CHUNK_END = auto()
    """The line end behind a chunk's data."""
    TRAILERS = auto()
    """Fields behind the last chunk, which are ignored."""
    DONE = auto()


class ResponseParser:
    """Parses one response; feed it until `done`. Interim responses (1xx) are skipped.

    `status` is 0 until the head has arrived whole; `headers` have their names in lower case.
    """

    def __init__(self, pool: BufferPool, limits: Limits) -> None:
        self._head = MessageHead(pool, limits)
        self._buffer = self._head.buffer
        self.headers = self._head.headers
        self.status = 0
        self._state = ResponseState.STATUS_LINE
        self._line_status = 0
        """Status of the status line read last, which may be that of an interim response."""
        self._remaining: int | None = None
        """Bytes left of the body or of the present chunk; `None`: until the end of the stream."""

    @property
    def done(self) -> bool:
        """Whether the response has arrived whole."""
        return self._state is ResponseState.DONE

    def feed(self, data: bytes | memoryview) -> Iterator[bytes]:
        """Take received bytes and yield the pieces of the body in them. Raises `HttpError`."""
        self._buffer.append(data)
        while not self.done:
            piece = self._advance()
            if piece is None:
                return
            if piece:
                yield piece

    def end(self) -> None:
        """Take note of the end of the stream.

        Raises `HttpError` where the response is not whole; only a body without a length may end like this.
        """
        unbounded = self._state is ResponseState.BODY and self._remaining is None
        whole = self.done or unbounded
        self.close()
        if not whole:
            raise HttpError("answer cut short")
        self._state = ResponseState.DONE

    def close(self) -> None:
        """Give the buffered bytes back to the pool."""
        self._buffer.clear()

    def _advance(self) -> bytes | None:
        """Read one element: return a piece of the body, `_CONTINUE`, or `None` to wait for more bytes."""
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
        if len(parts) < 2 or not parts[0].startswith(b"HTTP/1.") or not parts[1].isdigit():
            raise HttpError("not an HTTP/1.1 status line")
        self._line_status = int(parts[1])
        self._state = ResponseState.HEADERS
        return _CONTINUE

    def _read_header(self) -> bytes | None:
        line = self._head.read_header()
        if line is HeaderLine.NEED_DATA:
            return None
        if line is HeaderLine.END:
            self._end_headers()
        return _CONTINUE

    def _end_headers(self) -> None:
        if 100 <= self._line_status < 200:
            self.headers.clear()
            self._state = ResponseState.STATUS_LINE
            return
        self.status = self._line_status
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
            raise HttpError("bad chunk size")
        self._remaining = int(digits, 16)
        self._state = ResponseState.CHUNK_DATA if self._remaining else ResponseState.TRAILERS
        return _CONTINUE

    def _read_chunk_data(self) -> bytes | None:
        assert self._remaining is not None, "a chunk has a size"
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
            raise HttpError("chunk without its end")
        self._state = ResponseState.CHUNK_SIZE
        return _CONTINUE

    def _read_trailer(self) -> bytes | None:
        line = self._head.read_line()
        if line is None:
            return None
        if not line:
            self._state = ResponseState.DONE
        return _CONTINUE
