"""Posts OTLP requests to a collector over HTTP/1.1: one connection, retries with backoff."""

from __future__ import annotations

import email.utils
import json
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from garnetlanding.http.errors import HttpError
from garnetlanding.http.response import ResponseParser
from garnetlanding.limits import SECOND, Limits
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.errors import BufferPoolExhaustedError, DeadlineExceededError, StreamClosedError
from garnetlanding.runtime.scheduler import Scheduler
from garnetlanding.runtime.stream import Stream
from garnetlanding.telemetry.setup import TelemetrySetup

log = logging.getLogger(__name__)

RETRYABLE_STATUSES = frozenset({0, 429, 502, 503, 504})
"""Those that the specification of OTLP/HTTP names; 0 is that of a status line that names none."""

_NS_PER_SECOND = 1e9
_BACKOFF_JITTER = (0.5, 1.5)
_DELAY_DIGITS = 9
"""A Retry-After with more digits is cut; the pause is bounded far below that anyway."""


@dataclass(frozen=True, slots=True)
class PostResult:
    """Whether the collector accepted a request, and how many of its spans it rejected all the same."""

    accepted: bool
    rejected_spans: int = 0


@dataclass(frozen=True, slots=True)
class _Response:
    status: int
    headers: dict[str, str]
    body: bytes


def retry_after_us(text: str, now_s: float) -> int | None:
    """Return the delay that a Retry-After header asks for, in microseconds; `None` where it asks for none.

    The header is a number of seconds or a date (RFC 9110, 10.2.3); `now_s` is the wall clock in seconds.
    """
    if text.isdigit():
        return int(text[:_DELAY_DIGITS]) * SECOND
    try:
        retry_at_s = email.utils.parsedate_to_datetime(text).timestamp()
    except ValueError:
        return None
    return max(0, int((retry_at_s - now_s) * SECOND))


class CollectorClient:
    """Posts from one task, which it lets wait.

    `rng` gives the backoff its jitter, `wall_ns` reads the wall clock in nanoseconds.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        setup: TelemetrySetup,
        pool: BufferPool,
        limits: Limits,
        rng: random.Random,
        wall_ns: Callable[[], int],
    ) -> None:
        self._scheduler = scheduler
        self._setup = setup
        self._pool = pool
        self._limits = limits
        self._rng = rng
        self._wall_ns = wall_ns
        self._stream: Stream | None = None

    def post(self, path: str, data: dict[str, Any]) -> PostResult:
        """Post a request, several times if need be; gives up on a status that is not retryable."""
        body = json.dumps(data, separators=(",", ":")).encode()
        backoff_us = self._limits.telemetry_backoff_us
        wait_us = 0
        for _ in range(self._limits.telemetry_attempts):
            self._scheduler.sleep(wait_us)
            response = self._attempt(path, body)
            if response is not None and 200 <= response.status < 300:
                return PostResult(True, _rejected_spans(response.body))
            if response is not None and response.status not in RETRYABLE_STATUSES:
                log.warning(
                    "collector rejected the export", extra={"kv": {"path": path, "status": response.status}}
                )
                return PostResult(False)
            wait_us = self._wait_us(response, backoff_us)
            backoff_us *= 2
        return PostResult(False)

    def _wait_us(self, response: _Response | None, backoff_us: int) -> int:
        """Return how long to wait before the next attempt: as the collector asks, or the backoff."""
        asked_us = None
        if response is not None:
            now_s = self._wall_ns() / _NS_PER_SECOND
            asked_us = retry_after_us(response.headers.get("retry-after", ""), now_s)
        if asked_us is None:
            asked_us = int(backoff_us * self._rng.uniform(*_BACKOFF_JITTER))
        return min(asked_us, self._limits.telemetry_backoff_max_us)

    def _attempt(self, path: str, body: bytes) -> _Response | None:
        """Post once; `None`, logged, where no response came."""
        try:
            return self._call(path, body)
        except (
            OSError,
            DeadlineExceededError,
            StreamClosedError,
            HttpError,
            BufferPoolExhaustedError,
        ) as error:
            self._disconnect()
            log.warning("collector unreachable", extra={"kv": {"why": f"{type(error).__name__}: {error}"}})
            return None

    def _call(self, path: str, body: bytes) -> _Response:
        """Send one request and read its response. Raises what the connection or the parser raise."""
        deadline = self._scheduler.now + self._limits.telemetry_answer_us
        stream = self._connect(deadline)
        parser = ResponseParser(self._pool, self._limits)
        received: list[bytes] = []
        try:
            stream.write(self._request_head(path, len(body)) + body)
            self._read_response(stream, parser, received, deadline)
        finally:
            parser.close()
        if parser.headers.get("connection", "").lower() == "close":
            self._disconnect()
        return _Response(parser.status, parser.headers, b"".join(received))

    def _read_response(
        self, stream: Stream, parser: ResponseParser, received: list[bytes], deadline: int
    ) -> None:
        while not parser.done:
            if not stream.read(lambda data: received.extend(parser.feed(data)), deadline):
                if stream.read_failed:
                    raise HttpError("reset, which is no end")
                parser.end()
                self._disconnect()
            if sum(map(len, received)) > self._limits.http_line_bytes:
                raise HttpError("answer too long")

    def _request_head(self, path: str, length: int) -> bytes:
        lines = [
            f"POST {self._setup.path}{path} HTTP/1.1",
            f"Host: {self._setup.address}",
            "Content-Type: application/json",
            f"Content-Length: {length}",
            "",
            "",
        ]
        return "\r\n".join(lines).encode()

    def _connect(self, deadline: int) -> Stream:
        """Return the open connection, or a new one."""
        if self._stream is None or self._stream.closed:
            self._stream = Stream.connect(
                self._scheduler, self._setup.address, self._pool, self._limits, deadline
            )
        return self._stream

    def _disconnect(self) -> None:
        if self._stream is not None:
            self._stream.close()
        self._stream = None


def _rejected_spans(body: bytes) -> int:
    """Return how many spans a partial success (`ExportTracePartialSuccess`) says were rejected."""
    try:
        return int(json.loads(body)["partialSuccess"]["rejectedSpans"])
    except (ValueError, KeyError, TypeError):
        return 0
