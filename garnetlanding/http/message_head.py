"""Parses the head of a message, which requests and responses share: a start line and header fields."""

from __future__ import annotations

from enum import Enum, auto

from garnetlanding.http.errors import HttpError, Violation
from garnetlanding.limits import Limits
from garnetlanding.runtime.buffers import BufferChain, BufferPool
from garnetlanding.runtime.errors import LineTooLongError


class HeaderLine(Enum):
    """The result of reading one line of the header section."""

    NEED_DATA = auto()
    """The line has not arrived completely."""
    FIELD = auto()
    """A header field was read; another line follows."""
    END = auto()
    """The empty line that ends the section was read."""


class MessageHead:
    """Buffers received bytes and reads the head of a message line by line.

    `headers` holds the fields read so far by their names in lower case; of a repeated field the last value is
    kept. `buffer` holds the bytes that have not been parsed.
    """

    def __init__(self, pool: BufferPool, limits: Limits) -> None:
        self.buffer = BufferChain(pool)
        self.headers: dict[str, str] = {}
        self._limits = limits
        self._field_count = 0

    def read_line(self) -> bytes | None:
        """Return the next line without its CRLF; `None` if it has not arrived completely.

        Raises `HttpError` if it is too long.
        """
        try:
            return self.buffer.take_line(self._limits.http_line_bytes)
        except LineTooLongError as error:
            raise HttpError.of(Violation.LINE_TOO_LONG) from error

    def read_header(self) -> HeaderLine:
        """Read one line of the header section. Raises `HttpError`."""
        line = self.read_line()
        if line is None:
            return HeaderLine.NEED_DATA
        if not line:
            return HeaderLine.END
        name, colon, value = line.decode("latin-1").partition(":")
        self._field_count += 1
        if self._field_count > self._limits.http_headers:
            raise HttpError.of(Violation.TOO_MANY_HEADERS)
        if not colon or not name or name != name.strip():
            raise HttpError.of(Violation.INVALID_HEADER)
        self.headers[name.lower()] = value.strip()
        return HeaderLine.FIELD

    def content_length(self) -> int | None:
        """Return the length of the body in bytes by its header field; `None` if there is no such field.

        Raises `HttpError` if the field is not a number.
        """
        text = self.headers.get("content-length")
        if text is None:
            return None
        if not (text.isascii() and text.isdigit()):
            raise HttpError.of(Violation.INVALID_CONTENT_LENGTH)
        return int(text)
