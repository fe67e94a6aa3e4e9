"""Encoders for OTLP, the OpenTelemetry protocol, in its JSON form: plain data that `json.dumps` can take.

They follow the OpenTelemetry Protocol Specification 1.x (OTLP/HTTP with JSON Protobuf encoding) and the
messages of opentelemetry-proto, `trace/v1/trace.proto` and `metrics/v1/metrics.proto`. Three rules of that
encoding show everywhere below: 64-bit integers are decimal text, enumerations are numbers, trace and span ids
are hexadecimal text. All times are in nanoseconds since 1970.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import IntEnum
from typing import Any, NamedTuple

Json = dict[str, Any]
AttributeValue = str | int | float | bool
Attributes = tuple[tuple[str, str], ...]
"""Attributes that tell the points of one metric apart."""


class SpanKind(IntEnum):
    """`Span.SpanKind` of trace.proto, as far as it is used."""

    SERVER = 2
    CLIENT = 3


class StatusCode(IntEnum):
    """`Status.StatusCode` of trace.proto, as far as it is used; a span without a status is unset."""

    ERROR = 2


class AggregationTemporality(IntEnum):
    """`AggregationTemporality` of metrics.proto, as far as it is used."""

    CUMULATIVE = 2


@dataclass(frozen=True, slots=True)
class Span:
    """One timed operation (`Span` of trace.proto)."""

    trace_id: str
    span_id: str
    parent_id: str
    """Id of the span that this one is a part of; empty for the root of a trace."""
    name: str
    kind: SpanKind
    start_ns: int
    end_ns: int
    attributes: Mapping[str, AttributeValue]
    error: str = ""
    """What went wrong; empty for an operation that succeeded."""


class Interval(NamedTuple):
    """The time that cumulative points cover: from the start of the process to the moment of export."""

    start_ns: int
    end_ns: int


@dataclass(frozen=True, slots=True)
class Resource:
    """What the spans and metrics are about (`Resource` and `InstrumentationScope`)."""

    attributes: Mapping[str, str]
    scope_version: str
    """Version of this program, whose name is the scope."""


def encode_attributes(attributes: Mapping[str, AttributeValue]) -> list[Json]:
    """Return a list of `KeyValue` messages."""
    return [{"key": key, "value": _encode_value(value)} for key, value in attributes.items()]


def _encode_value(value: AttributeValue) -> Json:
    match value:
        case bool():  # before int, of which bool is a subclass
            return {"boolValue": value}
        case int():
            return {"intValue": str(value)}
        case float():
            return {"doubleValue": value}
    return {"stringValue": value}


def encode_span(span: Span) -> Json:
    """Return a `Span` message; parent and status are left out where they are unset."""
    encoded: Json = {
        "traceId": span.trace_id,
        "spanId": span.span_id,
        "name": span.name,
        "kind": span.kind.value,
        "startTimeUnixNano": str(span.start_ns),
        "endTimeUnixNano": str(span.end_ns),
        "attributes": encode_attributes(span.attributes),
    }
    if span.parent_id:
        encoded["parentSpanId"] = span.parent_id
    if span.error:
        encoded["status"] = {"code": StatusCode.ERROR.value, "message": span.error}
    return encoded


def encode_counter(name: str, unit: str, points: Mapping[Attributes, int], interval: Interval) -> Json:
    """Return a `Metric` with a monotonic, cumulative `Sum`."""
    data_points = [
        {
            "attributes": encode_attributes(dict(attributes)),
            "startTimeUnixNano": str(interval.start_ns),
            "timeUnixNano": str(interval.end_ns),
            "asInt": str(value),
        }
        for attributes, value in points.items()
    ]
    encoded_sum = {
        "aggregationTemporality": AggregationTemporality.CUMULATIVE.value,
        "isMonotonic": True,
        "dataPoints": data_points,
    }
    return {"name": name, "unit": unit, "sum": encoded_sum}


def encode_gauge(name: str, unit: str, value: int, now_ns: int) -> Json:
    """Return a `Metric` with a `Gauge` of one point."""
    point = {"timeUnixNano": str(now_ns), "asInt": str(value)}
    return {"name": name, "unit": unit, "gauge": {"dataPoints": [point]}}


class Histogram:
    """Counts values by bucket, cumulatively (`HistogramDataPoint` of metrics.proto).

    `bounds` are the buckets' upper bounds in ascending order; a bucket includes its own bound, and one more
    bucket holds what is above the last.
    """

    def __init__(self, bounds: tuple[float, ...]) -> None:
        self.bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.sum = 0.0

    def add(self, value: float) -> None:
        """Count one value."""
        self.counts[bisect_left(self.bounds, value)] += 1
        self.sum += value

    def encode_point(self, attributes: Mapping[str, str], interval: Interval) -> Json:
        """Return a `HistogramDataPoint`."""
        return {
            "attributes": encode_attributes(attributes),
            "startTimeUnixNano": str(interval.start_ns),
            "timeUnixNano": str(interval.end_ns),
            "count": str(sum(self.counts)),
            "sum": self.sum,
            "bucketCounts": [str(count) for count in self.counts],
            "explicitBounds": list(self.bounds),
        }


def encode_histogram(name: str, unit: str, points: list[Json]) -> Json:
    """Return a `Metric` with a cumulative `Histogram` of encoded points."""
    encoded = {"aggregationTemporality": AggregationTemporality.CUMULATIVE.value, "dataPoints": points}
    return {"name": name, "unit": unit, "histogram": encoded}


def encode_traces(resource: Resource, spans: Iterable[Span]) -> Json:
    """Return an `ExportTraceServiceRequest` with the spans of one resource."""
    scope_spans = {"scope": _encode_scope(resource), "spans": [encode_span(span) for span in spans]}
    return {"resourceSpans": [{"resource": _encode_resource(resource), "scopeSpans": [scope_spans]}]}


def encode_metrics(resource: Resource, metrics: Iterable[Json]) -> Json:
    """Return an `ExportMetricsServiceRequest` with the encoded metrics of one resource."""
    scope_metrics = {"scope": _encode_scope(resource), "metrics": list(metrics)}
    return {"resourceMetrics": [{"resource": _encode_resource(resource), "scopeMetrics": [scope_metrics]}]}


def _encode_resource(resource: Resource) -> Json:
    return {"attributes": encode_attributes(resource.attributes)}


def _encode_scope(resource: Resource) -> Json:
    return {"name": "garnetlanding", "version": resource.scope_version}
