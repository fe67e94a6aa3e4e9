"""Parses HTTP/1.1 requests: one request, whose body is skipped within a limit."""

from __future__ import annotations

import re
from enum import Enum, auto

from garnetlanding.http.errors import HttpError
from garnetlanding.http.message_head import HeaderLine, MessageHead
from garnetlanding.limits import Limits
from garnetlanding.runtime.buffers import BufferPool

_TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_TARGET = re.compile(rb"/[!-~]*")
_VERSION = re.compile(rb"HTTP/1\.[01]")


class RequestState(Enum):
    """What the parser reads next."""

    REQUEST_LINE = auto()
    HEADERS = auto()
    BODY = auto()
    DONE = auto()


class RequestParser:
    """Parses one request; feed it until `done`.

    `method` and `target` hold from then on. The body is not kept, because no operator's call has one that
    matters.
    """

    def __init__(self, pool: BufferPool, limits: Limits) -> None:
        self.method = ""
        self.target = ""
        self._limits = limits
        self._head = MessageHead(pool, limits)
        self._state = RequestState.REQUEST_LINE
        self._body_remaining = 0
        """Bytes of the body still to be skipped."""

    @property
    def done(self) -> bool:
        """Whether the request has arrived whole."""
        return self._state is RequestState.DONE

    @property
    def has_partial_message(self) -> bool:
        """Whether part of a request has arrived and the rest is awaited."""
        if self.done:
            return False
        return self._state is not RequestState.REQUEST_LINE or self._head.buffer.length > 0

    def feed(self, data: bytes | memoryview) -> bool:
        """Take received bytes and return `done`.

        Raises `HttpError` for bytes that are not a request, and for one that exceeds a limit.
        """
        if self.done:
            return True
        self._head.buffer.append(data)
        while self._state is not RequestState.DONE:
            if not self._advance():
                return False
        return True

    def close(self) -> None:
        """Give the buffered bytes back to the pool."""
        self._head.buffer.clear()

    def _advance(self) -> bool:
        """Read one element; return whether there was a whole one."""
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
            return True  # an empty line before a request is ignored (RFC 9112, 2.2)
        parts = line.split(b" ")
        if len(parts) != 3:
            raise HttpError("not an HTTP/1.1 request line")
        method, target, version = parts
        if not _TOKEN.fullmatch(method) or not _VERSION.fullmatch(version):
            raise HttpError("not an HTTP/1.1 request line")
        if not _TARGET.fullmatch(target):
            raise HttpError("target is no path")
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
            raise HttpError("no chunked body is taken", 411)
        self._body_remaining = self._head.content_length() or 0
        if self._body_remaining > self._limits.http_body_bytes:
            raise HttpError("body too long", 413)

    def _skip_body(self) -> bool:
        skipped = min(self._body_remaining, self._head.buffer.length)
        self._head.buffer.skip(skipped)
        self._body_remaining -= skipped
        if self._body_remaining:
            return False
        self._state = RequestState.DONE
        return True
