"""What requests and responses have in common: a start line, then header fields, each within its limits."""

from __future__ import annotations

from enum import Enum, auto

from garnetlanding.http.errors import HttpError
from garnetlanding.limits import Limits
from garnetlanding.runtime.buffers import BufferChain, BufferPool
from garnetlanding.runtime.errors import LineTooLongError


class HeaderLine(Enum):
    """What reading one line of the header section came to."""

    NEED_DATA = auto()
    """The line has not arrived whole."""
    FIELD = auto()
    """A field was read; another line follows."""
    END = auto()
    """The empty line that ends the section was read."""


class MessageHead:
    """Buffers received bytes and reads the head of a message from them line by line.

    `headers` holds the fields read so far, their names in lower case; of a field that is repeated the last
    one counts. `buffer` holds what has not been read.
    """

    def __init__(self, pool: BufferPool, limits: Limits) -> None:
        self.buffer = BufferChain(pool)
        self.headers: dict[str, str] = {}
        self._limits = limits
        self._fields = 0

    def read_line(self) -> bytes | None:
        """Return the next line without its end, or `None` until it has arrived. Raises `HttpError`."""
        try:
            return self.buffer.take_line(self._limits.http_line_bytes)
        except LineTooLongError as error:
            raise HttpError("line too long", 431) from error

    def read_header(self) -> HeaderLine:
        """Read one line of the header section. Raises `HttpError`."""
        line = self.read_line()
        if line is None:
            return HeaderLine.NEED_DATA
        if not line:
            return HeaderLine.END
        name, colon, value = line.decode("latin-1").partition(":")
        self._fields += 1
        if self._fields > self._limits.http_headers:
            raise HttpError("too many headers", 431)
        if not colon or not name or name != name.strip():
            raise HttpError("bad header")
        self.headers[name.lower()] = value.strip()
        return HeaderLine.FIELD

    def content_length(self) -> int | None:
        """Return the declared length of the body in bytes; `None` where none is declared.

        Raises `HttpError` for a declaration that is not a number.
        """
        text = self.headers.get("content-length")
        if text is None:
            return None
        if not (text.isascii() and text.isdigit()):
            raise HttpError("bad content-length")
        return int(text)
