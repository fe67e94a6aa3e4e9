"""Counts requests and attempts since the start of the process, and encodes the counts as OTLP metrics."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping

from garnetlanding.limits import SECOND
from garnetlanding.telemetry import otlp
from garnetlanding.telemetry.ended_request import EndedRequest

DURATION_BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)
"""Upper bounds of the duration histogram's buckets, in seconds."""

Gauge = Callable[[], int]
"""Returns the current value of a metric."""


class RequestMetrics:
    """Cumulative counts of all requests, including those that are not exported as spans."""

    def __init__(self) -> None:
        self._requests: Counter[otlp.Attributes] = Counter()
        self._attempts: Counter[otlp.Attributes] = Counter()
        self._durations: dict[str, otlp.Histogram] = {}

    def add(self, ended: EndedRequest) -> None:
        """Count a request and its attempts."""
        request = ended.request
        self._requests[
            ("class", request.request_class), ("plan", request.plan), ("outcome", ended.outcome)
        ] += 1
        for attempt in ended.attempts:
            self._attempts[(("outcome", attempt.outcome),)] += 1
        durations = self._durations.get(request.request_class)
        if durations is None:
            durations = self._durations[request.request_class] = otlp.Histogram(DURATION_BOUNDS_S)
        durations.add((ended.ended_us - ended.began_us) / SECOND)

    def encode(self, dropped: int, gauges: Mapping[str, Gauge], interval: otlp.Interval) -> list[otlp.Json]:
        """Encode the counts, the gauges, and `dropped`, the number of requests not exported as spans."""
        durations = [
            histogram.encode_point({"class": request_class}, interval)
            for request_class, histogram in self._durations.items()
        ]
        return [
            otlp.encode_counter("garnetlanding.requests", "{request}", self._requests, interval),
            otlp.encode_counter("garnetlanding.attempts", "{attempt}", self._attempts, interval),
            otlp.encode_counter("garnetlanding.telemetry.dropped", "{request}", {(): dropped}, interval),
            otlp.encode_histogram("garnetlanding.request.duration", "s", durations),
            *(
                otlp.encode_gauge(f"garnetlanding.{name}", "1", read(), interval.end_ns)
                for name, read in gauges.items()
            ),
        ]
