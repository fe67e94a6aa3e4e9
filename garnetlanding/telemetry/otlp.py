"""OTLP's JSON encoding: what the collector gets, as plain data."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

SERVER, CLIENT = 2, 3  # kinds of spans
ERROR = 2  # status code
CUMULATIVE = 2  # temporality

Json = dict[str, Any]


def attributes(pairs: Mapping[str, str | int | float | bool]) -> list[Json]:
    def value(v: str | int | float | bool) -> Json:
        match v:
            case bool():
                return {"boolValue": v}
            case int():
                return {"intValue": str(v)}  # 64-bit integers are text in this encoding
            case float():
                return {"doubleValue": v}
        return {"stringValue": v}

    return [{"key": k, "value": value(v)} for k, v in pairs.items()]


def span(
    trace: str,
    id: str,
    parent: str,
    name: str,
    kind: int,
    start_ns: int,
    end_ns: int,
    pairs: Mapping[str, str | int],
    error: str = "",
) -> Json:
    out: Json = {
        "traceId": trace,
        "spanId": id,
        "name": name,
        "kind": kind,
        "startTimeUnixNano": str(start_ns),
        "endTimeUnixNano": str(end_ns),
        "attributes": attributes(pairs),
    }
    if parent:
        out["parentSpanId"] = parent
    if error:
        out["status"] = {"code": ERROR, "message": error}
    return out


def counter(
    name: str, unit: str, points: Mapping[tuple[tuple[str, str], ...], int], start_ns: int, now_ns: int
) -> Json:
    return {
        "name": name,
        "unit": unit,
        "sum": {
            "aggregationTemporality": CUMULATIVE,
            "isMonotonic": True,
            "dataPoints": [
                {
                    "attributes": attributes(dict(pairs)),
                    "startTimeUnixNano": str(start_ns),
                    "timeUnixNano": str(now_ns),
                    "asInt": str(n),
                }
                for pairs, n in points.items()
            ],
        },
    }


def gauge(name: str, unit: str, value: int, now_ns: int) -> Json:
    return {
        "name": name,
        "unit": unit,
        "gauge": {"dataPoints": [{"timeUnixNano": str(now_ns), "asInt": str(value)}]},
    }


class Histogram:
    """Counts by bucket; cumulative from the start."""

    def __init__(self, bounds: tuple[float, ...]) -> None:
        self.bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.sum = 0.0

    def add(self, value: float) -> None:
        # A bucket holds what is at most its bound.
        self.counts[next((i for i, bound in enumerate(self.bounds) if value <= bound), len(self.bounds))] += 1
        self.sum += value

    def point(self, pairs: Mapping[str, str], start_ns: int, now_ns: int) -> Json:
        return {
            "attributes": attributes(pairs),
            "startTimeUnixNano": str(start_ns),
            "timeUnixNano": str(now_ns),
            "count": str(sum(self.counts)),
            "sum": self.sum,
            "bucketCounts": [str(n) for n in self.counts],
            "explicitBounds": list(self.bounds),
        }


def histogram(name: str, unit: str, points: list[Json]) -> Json:
    return {
        "name": name,
        "unit": unit,
        "histogram": {"aggregationTemporality": CUMULATIVE, "dataPoints": points},
    }


def _wrap(signal: str, service: Mapping[str, str], version: str, items: Iterable[Json]) -> Json:
    return {
        f"resource{signal}": [
            {
                "resource": {"attributes": attributes(service)},
                f"scope{signal}": [
                    {"scope": {"name": "garnetlanding", "version": version}, signal.lower(): list(items)}
                ],
            }
        ]
    }


def traces(service: Mapping[str, str], version: str, spans: Iterable[Json]) -> Json:
    return _wrap("Spans", service, version, spans)


def metrics(service: Mapping[str, str], version: str, items: Iterable[Json]) -> Json:
    return _wrap("Metrics", service, version, items)
