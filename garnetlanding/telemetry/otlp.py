"""Encoders for OTLP, the OpenTelemetry protocol, in its JSON form, as plain data for `json.dumps`.

They follow the OpenTelemetry Protocol Specification 1.x (OTLP/HTTP with JSON Protobuf encoding) and the
messages of opentelemetry-proto, `trace/v1/trace.proto` and `metrics/v1/metrics.proto`. In that encoding
64-bit integers are decimal strings, enumerations are numbers, and trace and span ids are hexadecimal strings.
All times are in nanoseconds since 1970.
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
"""The attributes that distinguish the data points of one metric."""


class SpanKind(IntEnum):
    """The values of `Span.SpanKind` (trace.proto) that are used."""

    SERVER = 2
    CLIENT = 3


class StatusCode(IntEnum):
    """The values of `Status.StatusCode` (trace.proto) that are used; a span without a status is unset."""

    ERROR = 2


class AggregationTemporality(IntEnum):
    """The values of `AggregationTemporality` (metrics.proto) that are used."""

    CUMULATIVE = 2


@dataclass(frozen=True, slots=True)
class Span:
    """One timed operation (`Span` of trace.proto)."""

    trace_id: str
    span_id: str
    parent_id: str
    """The parent span's id; empty for the root of a trace."""
    name: str
    kind: SpanKind
    start_ns: int
    end_ns: int
    attributes: Mapping[str, AttributeValue]
    error: str = ""
    """The status message of a failed operation; empty for one that succeeded."""


class Interval(NamedTuple):
    """The time that cumulative data points cover: from the start of the process to the export."""

    start_ns: int
    end_ns: int


@dataclass(frozen=True, slots=True)
class Resource:
    """The source of spans and metrics (`Resource` and `InstrumentationScope`)."""

    attributes: Mapping[str, str]
    scope_version: str
    """The version of this program; its name is the scope's name."""


def encode_attributes(attributes: Mapping[str, AttributeValue]) -> list[Json]:
    """Encode attributes as `KeyValue` messages."""
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
    """Encode a span as a `Span` message, which omits an unset parent or status."""
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
    """Encode a counter as a `Metric` with a monotonic, cumulative `Sum`."""
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
    """Encode a gauge as a `Metric` with a `Gauge` of one data point."""
    point = {"timeUnixNano": str(now_ns), "asInt": str(value)}
    return {"name": name, "unit": unit, "gauge": {"dataPoints": [point]}}


class Histogram:
    """Counts values by bucket, cumulatively (`HistogramDataPoint` of metrics.proto).

    `bounds` are the buckets' inclusive upper bounds, in ascending order. One more bucket counts the values
    above the last bound.
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
        """Encode the counts as a `HistogramDataPoint`."""
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
    """Encode a histogram as a `Metric` with the encoded data points `points`."""
    encoded = {"aggregationTemporality": AggregationTemporality.CUMULATIVE.value, "dataPoints": points}
    return {"name": name, "unit": unit, "histogram": encoded}


def encode_traces(resource: Resource, spans: Iterable[Span]) -> Json:
    """Encode an `ExportTraceServiceRequest` with the spans of one resource."""
    scope_spans = {"scope": _encode_scope(resource), "spans": [encode_span(span) for span in spans]}
    return {"resourceSpans": [{"resource": _encode_resource(resource), "scopeSpans": [scope_spans]}]}


def encode_metrics(resource: Resource, metrics: Iterable[Json]) -> Json:
    """Encode an `ExportMetricsServiceRequest` with the encoded metrics of one resource."""
    scope_metrics = {"scope": _encode_scope(resource), "metrics": list(metrics)}
    return {"resourceMetrics": [{"resource": _encode_resource(resource), "scopeMetrics": [scope_metrics]}]}


def _encode_resource(resource: Resource) -> Json:
    return {"attributes": encode_attributes(resource.attributes)}


def _encode_scope(resource: Resource) -> Json:
    return {"name": "garnetlanding", "version": resource.scope_version}
