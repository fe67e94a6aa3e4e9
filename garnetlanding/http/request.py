"""Incremental parser for one HTTP/1.1 request, whose body is discarded."""

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
    """The element that the parser expects next."""

    REQUEST_LINE = auto()
    """Method, target and version; empty lines before it are ignored."""
    HEADERS = auto()
    """A header field, or the end of the header section."""
    BODY = auto()
    """The rest of the body, whose length is known."""
    DONE = auto()
    """Nothing: the request is complete."""


class RequestParser:
    """Parses one request; the caller feeds it received bytes until `done`.

    The parser passes through the states in the order of `RequestState`. `method` and `target` are set once
    the request line has been parsed. The body is discarded, because admin requests have no content.
    """

    def __init__(self, pool: BufferPool, limits: Limits) -> None:
        self.method = ""
        self.target = ""
        self._limits = limits
        self._head = MessageHead(pool, limits)
        self._state = RequestState.REQUEST_LINE
        self._body_remaining = 0
        """Number of body bytes that have not been discarded yet."""

    @property
    def done(self) -> bool:
        """Whether the request is complete."""
        return self._state is RequestState.DONE

    @property
    def has_partial_message(self) -> bool:
        """Whether a request has arrived only in part."""
        if self.done:
            return False
        return self._state is not RequestState.REQUEST_LINE or self._head.buffer.length > 0

    def feed(self, data: bytes | memoryview) -> bool:
        """Parse received bytes and return `done`. Bytes after the request are ignored.

        Raises `HttpError` if the request is malformed or exceeds a limit.
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
        """Parse the next element; return False if it is incomplete."""
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
            return True  # empty lines before the request line are ignored (RFC 9112, section 2.2)
        parts = line.split(b" ")
        if len(parts) != _REQUEST_LINE_PARTS:
            raise HttpError.from_violation(Violation.INVALID_REQUEST_LINE)
        method, target, version = parts
        if not _TOKEN.fullmatch(method) or not _VERSION.fullmatch(version):
            raise HttpError.from_violation(Violation.INVALID_REQUEST_LINE)
        if not _TARGET.fullmatch(target):
            raise HttpError.from_violation(Violation.INVALID_TARGET)
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
            raise HttpError.from_violation(Violation.CHUNKED_REQUEST_BODY)
        self._body_remaining = self._head.content_length() or 0
        if self._body_remaining > self._limits.http_body_bytes:
            raise HttpError.from_violation(Violation.BODY_TOO_LONG)

    def _skip_body(self) -> bool:
        skipped = min(self._body_remaining, self._head.buffer.length)
        self._head.buffer.skip(skipped)
        self._body_remaining -= skipped
        if self._body_remaining:
            return False
        self._state = RequestState.DONE
        return True
