"""Parses one HTTP/1.1 request; its body is skipped, up to a limit."""

from __future__ import annotations

import re
from enum import Enum, auto

from garnetlanding.http.errors import HttpError, Violation
from garnetlanding.http.message_head import HeaderLine, MessageHead
from garnetlanding.limits import Limits
from garnetlanding.runtime.buffers import BufferPool

_TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_TARGET = re.compile(rb"/[!-~]*")
_VERSION = re.compile(rb"HTTP/1\.[01]")
_REQUEST_LINE_PARTS = 3


class RequestState(Enum):
    """What the parser expects next."""

    REQUEST_LINE = auto()
    """Method, target and version; empty lines before it are ignored."""
    HEADERS = auto()
    """A header field, or the end of the header section."""
    BODY = auto()
    """The rest of the body; its length is known."""
    DONE = auto()
    """Nothing: the request is complete."""


class RequestParser:
    """Parses one request; to be fed until `done`.

    The states follow one another in the order of `RequestState`. `method` and `target` are set from `HEADERS`
    on. The body is discarded, because operators' requests carry nothing in it.
    """

    def __init__(self, pool: BufferPool, limits: Limits) -> None:
        self.method = ""
        self.target = ""
        self._limits = limits
        self._head = MessageHead(pool, limits)
        self._state = RequestState.REQUEST_LINE
        self._body_remaining = 0
        """Number of bytes of the body that have not been skipped yet."""

    @property
    def done(self) -> bool:
        """Whether the request is complete."""
        return self._state is RequestState.DONE

    @property
    def has_partial_message(self) -> bool:
        """Whether part of a request has arrived and the rest has not."""
        if self.done:
            return False
        return self._state is not RequestState.REQUEST_LINE or self._head.buffer.length > 0

    def feed(self, data: bytes | memoryview) -> bool:
        """Parse received bytes and return `done`. What follows the request is ignored.

        Raises `HttpError` for bytes that are not a request, and for a request that exceeds a limit.
        """
        if self.done:
            return True
        self._head.buffer.append(data)
        while self._state is not RequestState.DONE:
            if not self._advance():
                return False
        return True

    def close(self) -> None:
        """Release all buffers."""
        self._head.buffer.clear()

    def _advance(self) -> bool:
        """Parse the next element; return False if it has not arrived completely."""
        if self._state is RequestState.REQUEST_LINE:
            return self._read_request_line()
        if self._state is RequestState.HEADERS:
            return self._read_header()
        return self._skip_body()

    def _read_request_line(self) -> bool:
        line = self._head.read_line()
        if line is None:
            return False
        if not line:
            return True  # an empty line before a request is ignored (RFC 9112, section 2.2)
        parts = line.split(b" ")
        if len(parts) != _REQUEST_LINE_PARTS:
            raise HttpError.of(Violation.INVALID_REQUEST_LINE)
        method, target, version = parts
        if not _TOKEN.fullmatch(method) or not _VERSION.fullmatch(version):
            raise HttpError.of(Violation.INVALID_REQUEST_LINE)
        if not _TARGET.fullmatch(target):
            raise HttpError.of(Violation.INVALID_TARGET)
        self.method = method.decode("ascii")
        self.target = target.decode("ascii")
        self._state = RequestState.HEADERS
        return True

    def _read_header(self) -> bool:
        line = self._head.read_header()
        if line is HeaderLine.END:
            self._begin_body()
        return line is not HeaderLine.NEED_DATA

    def _begin_body(self) -> None:
        self._state = RequestState.BODY
        if "transfer-encoding" in self._head.headers:
            raise HttpError.of(Violation.CHUNKED_REQUEST)
        self._body_remaining = self._head.content_length() or 0
        if self._body_remaining > self._limits.http_body_bytes:
            raise HttpError.of(Violation.BODY_TOO_LONG)

    def _skip_body(self) -> bool:
        skipped = min(self._body_remaining, self._head.buffer.length)
        self._head.buffer.skip(skipped)
        self._body_remaining -= skipped
        if self._body_remaining:
            return False
        self._state = RequestState.DONE
        return True
