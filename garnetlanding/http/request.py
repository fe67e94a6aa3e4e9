"""HTTP/1.1 calls as a state machine that is fed bytes: one call, its body read past within a bound."""

from __future__ import annotations

import re

from garnetlanding.http.head import Head, HttpError
from garnetlanding.limits import Limits
from garnetlanding.runtime.buffers import BufferPool

TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
TARGET = re.compile(rb"/[!-~]*")
VERSION = re.compile(rb"HTTP/1\.[01]")


class RequestParser:
    """Feed it until `done`. `method` and `target` hold from then on."""

    def __init__(self, pool: BufferPool, limits: Limits) -> None:
        self._head, self._limits = Head(pool, limits), limits
        self.method = self.target = ""
        self._in_headers = True
        self._left = 0  # bytes of the body still to come
        self.done = False

    @property
    def midway(self) -> bool:
        """Part of a call has come, and the rest is awaited."""
        return not self.done and bool(self.method or self._head.bytes.length)

    def feed(self, data: bytes | memoryview) -> bool:
        """Whether the call is whole. Raises HttpError for what is none, or passes a bound."""
        if self.done:
            return True
        self._head.bytes.append(data)
        while self._in_headers:
            if not (self._header() if self.method else self._request_line()):
                return False
        passed = min(self._left, self._head.bytes.length)
        self._head.bytes.skip(passed)
        self._left -= passed
        self.done = not self._left
        return self.done

    def _request_line(self) -> bool:
        line = self._head.line()
        if line is None:
            return False
        if not line:
            return True  # an empty line before the call is passed over (RFC 9112, 2.2)
        words = line.split(b" ")
        if len(words) != 3 or not TOKEN.fullmatch(words[0]) or not VERSION.fullmatch(words[2]):
            raise HttpError("not an HTTP/1.1 request line")
        if not TARGET.fullmatch(words[1]):
            raise HttpError("target is no path")
        self.method, self.target = words[0].decode("ascii"), words[1].decode("ascii")
        return True

    def _header(self) -> bool:
        more = self._head.header()
        if more is False:
            self._in_headers = False
            if "transfer-encoding" in self._head.headers:
                raise HttpError("no chunked body is taken", 411)
            self._left = self._head.length() or 0
            if self._left > self._limits.http_body_bytes:
                raise HttpError("body too long", 413)
        return more is not None

    def close(self) -> None:
        self._head.bytes.clear()
