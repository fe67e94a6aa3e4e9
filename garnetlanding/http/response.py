"""HTTP/1.1 answers as a state machine that is fed bytes: status, headers, and the body's bytes."""

from __future__ import annotations

from collections.abc import Iterator

from garnetlanding.http.head import Head, HttpError
from garnetlanding.limits import Limits
from garnetlanding.runtime.buffers import BufferPool

__all__ = ["HttpError", "ResponseParser"]


class ResponseParser:
    """Feed it; it yields the body in pieces. `status` is 0 until the headers are whole."""

    def __init__(self, pool: BufferPool, limits: Limits) -> None:
        self._head = Head(pool, limits)
        self._in, self.headers = self._head.bytes, self._head.headers
        self._state = self._status_line
        self._left = 0  # bytes left of the body or of its present chunk; -1: until the end of the stream
        self.status = 0
        self.done = False

    def feed(self, data: bytes | memoryview) -> Iterator[bytes]:
        self._in.append(data)
        while not self.done:
            piece = self._state()
            if piece is None:
                return
            if piece:
                yield piece

    def end(self) -> None:
        """The stream has ended: only a body without a length may end so."""
        whole = self.done or (self._state == self._body and self._left < 0)
        self.close()
        if not whole:
            raise HttpError("answer cut short")
        self.done = True

    def close(self) -> None:
        self._in.clear()

    # Each state returns a piece of the body, b"" to go on, or None to wait for more.

    def _status_line(self) -> bytes | None:
        line = self._head.line()
        if line is None:
            return None
        parts = line.split(b" ", 2)
        if len(parts) < 2 or not parts[0].startswith(b"HTTP/1.") or not parts[1].isdigit():
            raise HttpError("not an HTTP/1.1 status line")
        self._status = int(parts[1])
        self._state = self._header
        return b""

    def _header(self) -> bytes | None:
        more = self._head.header()
        if more is None:
            return None
        if more:
            return b""
        if 100 <= self._status < 200:
            self.headers.clear()
            self._state = self._status_line
            return b""
        self.status = self._status
        if self.headers.get("transfer-encoding", "").lower() == "chunked":
            self._state = self._chunk_size
        else:
            length = self._head.length()
            self._left = -1 if length is None else length
            self._state = self._body
            self.done = self._left == 0 or self.status in (204, 304)
        return b""

    def _body(self) -> bytes | None:
        piece = self._in.take(self._in.length if self._left < 0 else self._left)
        if not piece:
            return None
        if self._left > 0:
            self._left -= len(piece)
            self.done = self._left == 0
        return piece

    def _chunk_size(self) -> bytes | None:
        line = self._head.line()
        if line is None:
            return None
        size = line.partition(b";")[0].strip()
        if not size or len(size) > 8 or size.strip(b"0123456789abcdefABCDEF"):
            raise HttpError("bad chunk size")
        self._left = int(size, 16)
        self._state = self._chunk if self._left else self._trailer
        return b""

    def _chunk(self) -> bytes | None:
        piece = self._in.take(self._left)
        if not piece:
            return None
        self._left -= len(piece)
        if not self._left:
            self._state = self._chunk_end
        return piece

    def _chunk_end(self) -> bytes | None:
        line = self._head.line()
        if line is None:
            return None
        if line:
            raise HttpError("chunk without its end")
        self._state = self._chunk_size
        return b""

    def _trailer(self) -> bytes | None:
        line = self._head.line()
        if line is None:
            return None
        self.done = not line
        return b""
