"""Exports ended requests to a collector over OTLP/HTTP, as spans and as metrics.

Requests are not delayed: each is appended to a bounded queue when it ends, or counted as dropped if the queue
is full. A separate task encodes and posts the queue in small batches.
"""

from __future__ import annotations

import random
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from garnetlanding import __version__
from garnetlanding.core.ports import Answer, AttemptSummary, RequestSpec
from garnetlanding.limits import Limits
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.scheduler import Scheduler
from garnetlanding.telemetry import otlp
from garnetlanding.telemetry.collector_client import CollectorClient
from garnetlanding.telemetry.ended_request import EndedRequest, outcome_of
from garnetlanding.telemetry.request_metrics import Gauge, RequestMetrics
from garnetlanding.telemetry.request_spans import NS_PER_US, SpanBuilder
from garnetlanding.telemetry.setup import TelemetrySetup

_TRACES_PATH = "/v1/traces"
_METRICS_PATH = "/v1/metrics"


@dataclass(frozen=True, slots=True)
class ServiceInstance:
    """The exporting instance: its name, and the seed of its span ids and of the backoff's jitter."""

    name: str
    seed: int


class Exporter:
    """Exports ended requests as spans and metrics, and gauges.

    Implements the engine's `Observer`, which queues ended requests; a separate task exports at intervals.

    `dropped` counts the requests that were not exported as spans. `gauges` maps the name of each gauge,
    without the prefix `garnetlanding.`, to the function that reads it at each export. `wall_ns` returns the
    wall clock in nanoseconds.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        setup: TelemetrySetup,
        instance: ServiceInstance,
        pool: BufferPool,
        limits: Limits,
        wall_ns: Callable[[], int] = time.time_ns,
    ) -> None:
        self._scheduler = scheduler
        self._interval_us = setup.interval_us
        self._limits = limits
        self._wall_ns = wall_ns
        rng = random.Random(instance.seed)
        self._resource = otlp.Resource(
            {"service.name": setup.service, "service.instance.id": instance.name}, __version__
        )
        self._spans = SpanBuilder(rng, wall_offset_ns=wall_ns() - scheduler.now * NS_PER_US)
        self._start_ns = wall_ns()
        self._client = CollectorClient(scheduler, setup, pool, limits, rng, wall_ns)
        self._metrics = RequestMetrics()
        self._queue: deque[EndedRequest] = deque()
        self.dropped = 0
        self.gauges: dict[str, Gauge] = {}
        self._finishing = False
        self._is_sleeping = False
        self._task = scheduler.spawn(self._run)

    def request_ended(
        self,
        spec: RequestSpec,
        answer: Answer,
        began_us: int,
        ended_us: int,
        attempts: list[AttemptSummary],
    ) -> None:
        """Count a request and queue it for export, or drop it if the queue is full."""
        # Without the operation, whose data the client's account has released.
        ended = EndedRequest(replace(spec, operation=None), outcome_of(answer), began_us, ended_us, attempts)
        self._metrics.add(ended)
        if len(self._queue) >= self._limits.telemetry_queue:
            self.dropped += 1
        else:
            self._queue.append(ended)

    @property
    def done(self) -> bool:
        """Whether the final export, which `finish` starts, is complete."""
        return self._task.done

    def finish(self) -> None:
        """Start a final export without waiting for the interval to pass."""
        self._finishing = True
        if self._is_sleeping:
            self._scheduler.wake(self._task)

    def _run(self) -> None:
        while not self._finishing:
            self._is_sleeping = True
            self._scheduler.sleep(self._interval_us)
            self._is_sleeping = False
            self._export()

    def _export(self) -> None:
        """Post the queue in batches, then the metrics.

        After a batch that was not accepted, the remaining ones stay queued until the next export.
        """
        while self._queue:
            if not self._export_batch():
                break
            self._scheduler.sleep(0)  # yield to pending requests
        interval = otlp.Interval(self._start_ns, self._wall_ns())
        metrics = self._metrics.encode(self.dropped, self.gauges, interval)
        self._post(_METRICS_PATH, otlp.encode_metrics(self._resource, metrics))

    def _export_batch(self) -> bool:
        """Post one batch of spans and return whether it was accepted; otherwise it is dropped."""
        size = min(len(self._queue), self._limits.telemetry_batch)
        batch = [self._queue.popleft() for _ in range(size)]
        spans = [span for ended in batch for span in self._spans.build(ended)]
        accepted = self._post(_TRACES_PATH, otlp.encode_traces(self._resource, spans))
        if not accepted:
            self.dropped += len(batch)
        return accepted

    def _post(self, path: str, data: dict[str, Any]) -> bool:
        result = self._client.post(path, data)
        self.dropped += result.rejected_spans
        return result.accepted
