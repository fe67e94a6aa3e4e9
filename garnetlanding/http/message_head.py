"""Reads the part that requests and responses have in common: the start line and the header section."""

from __future__ import annotations

from enum import Enum, auto

from garnetlanding.http.errors import HttpError, Violation
from garnetlanding.limits import Limits
from garnetlanding.runtime.buffers import BufferChain, BufferPool
from garnetlanding.runtime.errors import LineTooLongError


class HeaderLine(Enum):
    """The result of reading one line of the header section."""

    NEED_DATA = auto()
    """The line is incomplete; more bytes are needed."""
    FIELD = auto()
    """A header field; another line follows."""
    END = auto()
    """The empty line that ends the header section."""


class MessageHead:
    """Buffers received bytes and reads the head of a message line by line.

    `headers` maps lower-case field names to values; the last value of a repeated field wins. `buffer` holds
    the bytes that have not been parsed yet.
    """

    def __init__(self, pool: BufferPool, limits: Limits) -> None:
        self.buffer = BufferChain(pool)
        self.headers: dict[str, str] = {}
        self._limits = limits
        self._header_count = 0

    def read_line(self) -> bytes | None:
        """Return the next line without its CRLF, or `None` if it is incomplete.

        Raises `HttpError` if the line is too long.
        """
        try:
            return self.buffer.take_line(self._limits.http_line_bytes)
        except LineTooLongError as error:
            raise HttpError.from_violation(Violation.LINE_TOO_LONG) from error

    def read_header(self) -> HeaderLine:
        """Read one line of the header section. Raises `HttpError`."""
        line = self.read_line()
        if line is None:
            return HeaderLine.NEED_DATA
        if not line:
            return HeaderLine.END
        name, colon, value = line.decode("latin-1").partition(":")
        self._header_count += 1
        if self._header_count > self._limits.http_headers:
            raise HttpError.from_violation(Violation.TOO_MANY_HEADERS)
        if not colon or not name or name != name.strip():
            raise HttpError.from_violation(Violation.INVALID_HEADER)
        self.headers[name.lower()] = value.strip()
        return HeaderLine.FIELD

    def content_length(self) -> int | None:
        """Return the value of the Content-Length field in bytes, or `None` if the field is absent.

        Raises `HttpError` if the value is not a number.
        """
        text = self.headers.get("content-length")
        if text is None:
            return None
        if not (text.isascii() and text.isdigit()):
            raise HttpError.from_violation(Violation.INVALID_CONTENT_LENGTH)
        return int(text)
