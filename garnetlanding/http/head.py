"""What answers and calls have in common: a first line, then headers, each within its bounds (RFC 9112)."""

from __future__ import annotations

from garnetlanding.limits import Limits
from garnetlanding.runtime.buffers import BufferPool, Chain


class HttpError(ValueError):
    """Not HTTP/1.1 that can be read on. `status` is what a server answers to it."""

    def __init__(self, why: str, status: int = 400) -> None:
        super().__init__(why)
        self.status = status


class Head:
    """Bytes that have come, taken line by line; keeps the headers, their names in lower case."""

    def __init__(self, pool: BufferPool, limits: Limits) -> None:
        self.bytes, self._limits = Chain(pool), limits
        self.headers: dict[str, str] = {}
        self._lines = 0

    def line(self) -> bytes | None:
        """The next line; None until it has come. Raises HttpError past the bound."""
        try:
            return self.bytes.line(self._limits.http_line_bytes)
        except ValueError:
            raise HttpError("line too long", 431) from None

    def header(self) -> bool | None:
        """Reads one line: True for a header, False for the line that ends them, None for no line yet."""
        line = self.line()
        if line is None:
            return None
        if not line:
            return False
        name, sep, value = line.decode("latin-1").partition(":")
        self._lines += 1
        if self._lines > self._limits.http_headers:
            raise HttpError("too many headers", 431)
        if not sep or not name or name != name.strip():
            raise HttpError("bad header")
        self.headers[name.lower()] = value.strip()
        return True

    def length(self) -> int | None:
        """The declared length of the body; None where none is declared. Raises HttpError for no number."""
        text = self.headers.get("content-length")
        if text is not None and not (text.isascii() and text.isdigit()):
            raise HttpError("bad content-length")
        return None if text is None else int(text)
