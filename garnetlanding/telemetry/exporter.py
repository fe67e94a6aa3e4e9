"""Collects what the core tells of ended items and posts it to a collector over OTLP/HTTP.

A request is never delayed: telling appends to a bounded queue, and what does not fit is counted as
dropped. Encoding and posting happen in a task of their own, a small batch at a time.
"""

from __future__ import annotations

import email.utils
import json
import logging
import random
import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from garnetlanding import __version__
from garnetlanding.core.ports import Answer, Failed, Rejected, RequestSpec
from garnetlanding.http.response import HttpError, ResponseParser
from garnetlanding.limits import SECOND, Limits
from garnetlanding.runtime.buffers import BufferPool, PoolEmpty
from garnetlanding.runtime.scheduler import Expired, Scheduler
from garnetlanding.runtime.stream import Closed, Stream
from garnetlanding.telemetry import otlp
from garnetlanding.telemetry.setup import Collector

log = logging.getLogger(__name__)

RETRY = (429, 502, 503, 504)  # the protocol's statuses that ask for another try
BOUNDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)  # seconds
OUTCOMES = {Rejected: "refused", Failed: "failed"}


@dataclass(frozen=True, slots=True)
class Ended:
    """One item that has ended, kept as it was told until its turn to be encoded."""

    ask: RequestSpec
    outcome: str
    began_us: int
    ended_us: int
    attempts: list[tuple[str, str, int, int]]


def retry_after_us(text: str, now_s: float) -> int | None:
    """A Retry-After header: seconds, or a date."""
    if text.isdigit():
        return int(text[:9]) * SECOND
    try:
        return max(0, int((email.utils.parsedate_to_datetime(text).timestamp() - now_s) * SECOND))
    except ValueError:
        return None


class Exporter:
    """Implements the core's Observer port."""

    def __init__(
        self,
        scheduler: Scheduler,
        collector: Collector,
        name: str,
        seed: int,
        pool: BufferPool,
        limits: Limits,
        wall_ns: Callable[[], int] = time.time_ns,
    ) -> None:
        self._scheduler, self._collector, self._pool, self._limits = scheduler, collector, pool, limits
        self._service = {"service.name": collector.service, "service.instance.id": name}
        self._rng = random.Random(seed)
        self._wall_ns = wall_ns
        self._offset_ns = wall_ns() - scheduler.now * 1000
        self._start_ns = wall_ns()
        self._queue: deque[Ended] = deque()
        self._requests: Counter[tuple[tuple[str, str], ...]] = Counter()
        self._attempts: Counter[tuple[tuple[str, str], ...]] = Counter()
        self._durations: dict[str, otlp.Histogram] = {}
        self.dropped = 0
        self.gauges: dict[str, Callable[[], int]] = {}
        self._stream: Stream | None = None
        self._ending = self._asleep = False
        self._task = scheduler.spawn(self._run)

    # From the core

    def request_ended(
        self,
        ask: RequestSpec,
        answer: Answer,
        began_us: int,
        ended_us: int,
        attempts: list[tuple[str, str, int, int]],
    ) -> None:
        outcome = OUTCOMES.get(type(answer), "served")
        self._requests[("class", ask.cls), ("plan", ask.plan), ("outcome", outcome)] += 1
        for _, result, _, _ in attempts:
            self._attempts[(("outcome", result),)] += 1
        if ask.cls not in self._durations:
            self._durations[ask.cls] = otlp.Histogram(BOUNDS)
        self._durations[ask.cls].add((ended_us - began_us) / SECOND)
        if len(self._queue) >= self._limits.telemetry_queue:
            self.dropped += 1
        else:
            self._queue.append(Ended(ask, outcome, began_us, ended_us, attempts))

    # The task

    @property
    def done(self) -> bool:
        return self._task.done

    def finish(self) -> None:
        """One last round, then no more."""
        self._ending = True
        if self._asleep:
            self._scheduler.wake(self._task)

    def _run(self) -> None:
        while not self._ending:
            self._asleep = True
            self._scheduler.sleep(self._collector.every_us)
            self._asleep = False
            self._round()

    def _round(self) -> None:
        while self._queue:
            batch = [
                self._queue.popleft() for _ in range(min(len(self._queue), self._limits.telemetry_batch))
            ]
            spans = [span for one in batch for span in self._spans(one)]
            if not self._post("/v1/traces", otlp.traces(self._service, __version__, spans)):
                self.dropped += len(batch)
                break  # the collector is in trouble: the rest waits, bounded, for the next round
            self._scheduler.sleep(0)  # requests first
        self._post("/v1/metrics", otlp.metrics(self._service, __version__, self._metrics()))

    def _id(self, digits: int) -> str:
        return f"{self._rng.randrange(1, 16 ** digits):0{digits}x}"

    def _spans(self, one: Ended) -> list[dict[str, Any]]:
        trace, root = self._id(32), self._id(16)
        spans = [
            otlp.span(
                trace,
                root,
                "",
                f"request {one.ask.cls}",
                otlp.SERVER,
                self._ns(one.began_us),
                self._ns(one.ended_us),
                {
                    "volume": one.ask.volume,
                    "plan": one.ask.plan,
                    "cell": one.ask.cell,
                    "outcome": one.outcome,
                    "attempts": len(one.attempts),
                },
                "" if one.outcome == "served" else one.outcome,
            )
        ]
        spans += [
            otlp.span(
                trace,
                self._id(16),
                root,
                "attempt",
                otlp.CLIENT,
                self._ns(sent),
                self._ns(ended or one.ended_us),
                {"server": node, "outcome": outcome},
                "" if outcome == "served" else outcome,
            )
            for node, outcome, sent, ended in one.attempts
        ]
        return spans

    def _ns(self, at_us: int) -> int:
        return at_us * 1000 + self._offset_ns

    def _metrics(self) -> list[dict[str, Any]]:
        start, now = self._start_ns, self._wall_ns()
        return [
            otlp.counter("garnetlanding.requests", "{request}", self._requests, start, now),
            otlp.counter("garnetlanding.attempts", "{attempt}", self._attempts, start, now),
            otlp.counter("garnetlanding.telemetry.dropped", "{request}", {(): self.dropped}, start, now),
            otlp.histogram(
                "garnetlanding.request.duration",
                "s",
                [h.point({"class": cls}, start, now) for cls, h in self._durations.items()],
            ),
            *(otlp.gauge(f"garnetlanding.{name}", "1", read(), now) for name, read in self.gauges.items()),
        ]

    # Posting

    def _post(self, path: str, data: dict[str, Any]) -> bool:
        """Whether the collector took it, in so many tries; a partial success counts what it left out."""
        body = json.dumps(data, separators=(",", ":")).encode()
        pause, wait = self._limits.telemetry_pause_us, 0
        for _ in range(self._limits.telemetry_tries):
            self._scheduler.sleep(wait)
            try:
                status, headers, answer = self._call(path, body)
            except (OSError, Expired, Closed, HttpError, PoolEmpty) as problem:
                self._hang_up()
                status, headers, answer = 0, {}, b""
                log.warning(
                    "collector not reached", extra={"kv": {"why": f"{type(problem).__name__}: {problem}"}}
                )
            if 200 <= status < 300:
                self.dropped += _rejected(answer)
                return True
            if status not in (0, *RETRY):
                log.warning("collector refuses", extra={"kv": {"path": path, "status": status}})
                return False
            told = retry_after_us(headers.get("retry-after", ""), self._wall_ns() / 1e9)
            wait = min(
                told if told is not None else int(pause * self._rng.uniform(0.5, 1.5)),
                self._limits.telemetry_pause_most_us,
            )
            pause *= 2
        return False

    def _call(self, path: str, body: bytes) -> tuple[int, dict[str, str], bytes]:
        scheduler, limits = self._scheduler, self._limits
        deadline = scheduler.now + limits.telemetry_answer_us
        if self._stream is None or self._stream.closed:
            self._stream = Stream.connect(scheduler, self._collector.address, self._pool, limits, deadline)
        stream, parser = self._stream, ResponseParser(self._pool, limits)
        answer: list[bytes] = []
        try:
            head = (
                f"POST {self._collector.path}{path} HTTP/1.1\r\nHost: {self._collector.address}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
            )
            stream.write(head.encode() + body)
            while not parser.done:
                if not stream.read(lambda data: answer.extend(parser.feed(data)), deadline):
                    if stream.read_failed:
                        raise HttpError("reset, which is no end")
                    parser.end()
                    self._hang_up()
                if sum(map(len, answer)) > limits.http_line_bytes:
                    raise HttpError("answer too long")
        finally:
            parser.close()
        if parser.headers.get("connection", "").lower() == "close":
            self._hang_up()
        return parser.status, parser.headers, b"".join(answer)

    def _hang_up(self) -> None:
        if self._stream:
            self._stream.close()
        self._stream = None


def _rejected(answer: bytes) -> int:
    """What a partial success says was left out of the spans."""
    try:
        return int(json.loads(answer)["partialSuccess"]["rejectedSpans"])
    except (ValueError, KeyError, TypeError):
        return 0
