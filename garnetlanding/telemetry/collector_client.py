"""Posts OTLP requests to a collector, with retries and backoff."""

from __future__ import annotations

import email.utils
import json
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from garnetlanding.limits import SECOND, Limits
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.scheduler import Scheduler
from garnetlanding.telemetry.collector_connection import POST_ERRORS, CollectorConnection, CollectorResponse
from garnetlanding.telemetry.setup import TelemetrySetup

log = logging.getLogger(__name__)

_MISSING_STATUS = 0
"""What ResponseParser returns for a status line without a status."""

RETRYABLE_STATUSES = frozenset(
    {
        _MISSING_STATUS,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.BAD_GATEWAY,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.GATEWAY_TIMEOUT,
    }
)
"""The statuses that OTLP/HTTP defines as retryable, and a missing status."""

_NS_PER_SECOND = 1e9

_BACKOFF_JITTER = (0.5, 1.5)
"""The range of the random factor that is applied to each backoff."""

_BACKOFF_MULTIPLIER = 2

_MAX_DELAY_DIGITS = 9
"""Maximum number of digits of a Retry-After that are parsed; the delay has a much lower limit."""


@dataclass(frozen=True, slots=True)
class PostResult:
    """Whether the collector accepted a request, and how many spans it rejected nevertheless."""

    accepted: bool
    rejected_spans: int = 0


def retry_after_us(text: str, now_s: float) -> int | None:
    """Return the delay of a Retry-After header in microseconds, or `None` if the header is empty or invalid.

    The header is a number of seconds or a date (RFC 9110, 10.2.3); `now_s` is the wall clock in seconds.
    """
    if text.isdigit():
        return int(text[:_MAX_DELAY_DIGITS]) * SECOND
    try:
        retry_at_s = email.utils.parsedate_to_datetime(text).timestamp()
    except ValueError:
        return None
    return max(0, int((retry_at_s - now_s) * SECOND))


class CollectorClient:
    """Posts requests one at a time; each call suspends the current task until the request is done.

    `rng` determines the backoff's jitter. `wall_ns` returns the wall clock in nanoseconds.
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
        self._limits = limits
        self._rng = rng
        self._wall_ns = wall_ns
        self._connection = CollectorConnection(scheduler, setup, pool, limits)

    def post(self, path: str, data: dict[str, Any]) -> PostResult:
        """Post a request, with retries while the collector is unreachable or its status is retryable."""
        body = json.dumps(data, separators=(",", ":")).encode()
        backoff_us = self._limits.telemetry_backoff_us
        wait_us = 0
        for _ in range(self._limits.telemetry_attempts):
            self._scheduler.sleep(wait_us)
            response = self._attempt(path, body)
            if response is not None and response.is_success:
                return PostResult(accepted=True, rejected_spans=_rejected_spans(response.body))
            if response is not None and response.status not in RETRYABLE_STATUSES:
                log.warning(
                    "collector rejected the export", extra={"kv": {"path": path, "status": response.status}}
                )
                return PostResult(accepted=False)
            wait_us = self._wait_us(response, backoff_us)
            backoff_us *= _BACKOFF_MULTIPLIER
        return PostResult(accepted=False)

    def _wait_us(self, response: CollectorResponse | None, backoff_us: int) -> int:
        """Return how long to wait before the next attempt: the collector's Retry-After, or the backoff."""
        delay_us = None
        if response is not None:
            now_s = self._wall_ns() / _NS_PER_SECOND
            delay_us = retry_after_us(response.headers.get("retry-after", ""), now_s)
        if delay_us is None:
            delay_us = int(backoff_us * self._rng.uniform(*_BACKOFF_JITTER))
        return min(delay_us, self._limits.telemetry_backoff_max_us)

    def _attempt(self, path: str, body: bytes) -> CollectorResponse | None:
        """Post once. Return `None`, and log why, if there is no response."""
        try:
            return self._connection.post(path, body)
        except POST_ERRORS as error:
            self._connection.close()
            log.warning("collector unreachable", extra={"kv": {"why": f"{type(error).__name__}: {error}"}})
            return None


def _rejected_spans(body: bytes) -> int:
    """Return the number of rejected spans in a partial success (`ExportTracePartialSuccess`), else 0."""
    try:
        return int(json.loads(body)["partialSuccess"]["rejectedSpans"])
    except (ValueError, KeyError, TypeError):
        return 0
