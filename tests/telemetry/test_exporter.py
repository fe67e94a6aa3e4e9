"""Telemetry against an emulated collector: encoding, retries, and bounded memory."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any

import pytest

from garnetlanding.core.ports import AttemptSummary, Rejected, RequestSpec, Served
from garnetlanding.emulator.base import EmulatedConnection, EmulatedServer
from garnetlanding.telemetry.collector_client import retry_after_us
from garnetlanding.telemetry.exporter import Exporter, ServiceInstance
from garnetlanding.telemetry.otlp import Histogram, encode_attributes
from garnetlanding.telemetry.setup import TelemetrySetup
from tests.support.clock import MS, SECOND
from tests.support.simulated_instance import SimulatedInstance

REQUEST = RequestSpec("read", "gold", "vol-1", "k", 2, 3, SECOND, 1, None)
BEGAN_US = 60 * SECOND


class CollectorConnection(EmulatedConnection):
    server: Collector

    def feed(self, data: bytes | memoryview) -> None:
        self.server.received += bytes(data)
        headers, separator, body = self.server.received.partition(b"\r\n\r\n")
        length = int(headers.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]) if separator else 0
        if separator and len(body) >= length:
            self.server.received = b""
            self.server.calls.append((headers.split(b" ")[1].decode(), json.loads(body)))
            response = self.server.responses.pop(0) if self.server.responses else OK
            if response is not None:
                self.write(response)


class Collector(EmulatedServer):
    connection_class = CollectorConnection

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.received = b""
        self.calls = []
        self.responses: list[bytes | None] = []

    calls: list[tuple[str, dict[str, Any]]]


def http_response(status: int, body: bytes = b"{}", header: bytes = b"") -> bytes:
    return b"HTTP/1.1 %d X\r\n%bContent-Length: %d\r\n\r\n%b" % (status, header, len(body), body)


OK = http_response(200)


class ExportingInstance(SimulatedInstance):
    def __init__(self, **limits: int) -> None:
        super().__init__(None, **limits)
        self.collector = self.server(Collector)
        self.wall_ns = 1_800_000_000 * 10**9
        self.exporter = Exporter(
            self.scheduler,
            TelemetrySetup(self.collector.address, "/otlp", interval_us=SECOND),
            ServiceInstance("n1", 7),
            self.pool,
            self.limits,
            lambda: self.wall_ns,
        )

    def end_requests(self, count: int = 1) -> None:
        for _ in range(count):
            self.exporter.request_ended(
                REQUEST,
                Served(b"v"),
                BEGAN_US,
                BEGAN_US + 30 * MS,
                [
                    AttemptSummary("b0", "reset", BEGAN_US, BEGAN_US + MS),
                    AttemptSummary("b1", "served", BEGAN_US + 2 * MS, BEGAN_US + 30 * MS),
                ],
            )

    def paths(self) -> list[str]:
        return [path for path, _ in self.collector.calls]


def test_ended_requests_are_posted_as_spans_and_metrics() -> None:
    instance = ExportingInstance()
    instance.end_requests()
    instance.exporter.request_ended(REQUEST, Rejected(0), BEGAN_US, BEGAN_US + 20 * SECOND, [])
    instance.exporter.gauges = {"clients": lambda: 4}
    instance.run(SECOND, 100 * MS)
    assert instance.paths() == ["/otlp/v1/traces", "/otlp/v1/metrics"]
    [resource] = instance.collector.calls[0][1]["resourceSpans"]
    instance_id = {"key": "service.instance.id", "value": {"stringValue": "n1"}}
    assert instance_id in resource["resource"]["attributes"]
    request, first, second, rejected = resource["scopeSpans"][0]["spans"]
    assert first["traceId"] == second["traceId"] == request["traceId"] != rejected["traceId"]
    assert first["parentSpanId"] == second["parentSpanId"] == request["spanId"]
    assert len(request["traceId"]) == 32
    assert len(request["spanId"]) == 16
    assert "parentSpanId" not in request
    duration_ns = int(request["endTimeUnixNano"]) - int(request["startTimeUnixNano"])
    assert duration_ns == 30 * 10**6
    assert int(request["startTimeUnixNano"]) == instance.wall_ns + (BEGAN_US - 50 * SECOND) * 1000
    assert first["status"] == {"code": 2, "message": "reset"}
    assert "status" not in second
    [scope] = instance.collector.calls[1][1]["resourceMetrics"][0]["scopeMetrics"]
    metrics = {m["name"]: m for m in scope["metrics"]}
    points = metrics["garnetlanding.requests"]["sum"]["dataPoints"]
    assert sorted((p["attributes"][2]["value"]["stringValue"], p["asInt"]) for p in points) == [
        ("refused", "1"),
        ("served", "1"),
    ]
    [histogram] = metrics["garnetlanding.request.duration"]["histogram"]["dataPoints"]
    assert histogram["count"] == "2"
    assert histogram["bucketCounts"][3] == "1"
    assert histogram["bucketCounts"][-1] == "1"
    assert metrics["garnetlanding.clients"]["gauge"]["dataPoints"][0]["asInt"] == "4"


def test_attributes_are_typed_and_a_bucket_includes_its_bound() -> None:
    assert encode_attributes({"a": True, "b": 2, "c": 0.5}) == [
        {"key": "a", "value": {"boolValue": True}},
        {"key": "b", "value": {"intValue": "2"}},
        {"key": "c", "value": {"doubleValue": 0.5}},
    ]
    histogram = Histogram((1.0, 2.0))
    for value in (1.0, 1.1, 9.0):
        histogram.add(value)
    assert histogram.counts == [1, 1, 1], "a bucket includes its upper bound"


@pytest.mark.parametrize("status", [429, 502, 503, 504])
def test_a_retryable_status_is_retried_after_its_retry_after(status: int) -> None:
    instance = ExportingInstance()
    instance.collector.responses = [http_response(status, header=b"Retry-After: 3\r\n")]
    instance.end_requests()
    instance.run(SECOND + 2900 * MS, 100 * MS)
    assert instance.paths() == ["/otlp/v1/traces"]
    instance.run(200 * MS, 100 * MS)
    assert instance.paths() == ["/otlp/v1/traces"] * 2 + ["/otlp/v1/metrics"]
    assert instance.exporter.dropped == 0
    assert instance.collector.calls[0] == instance.collector.calls[1]


def test_any_other_status_drops_the_batch_without_a_retry() -> None:
    instance = ExportingInstance()
    instance.collector.responses = [http_response(400)]
    instance.end_requests(3)
    instance.run(SECOND, 100 * MS)
    assert instance.paths() == ["/otlp/v1/traces", "/otlp/v1/metrics"]
    assert instance.exporter.dropped == 3


def test_a_partial_success_counts_rejected_spans_as_dropped() -> None:
    instance = ExportingInstance()
    instance.collector.responses = [http_response(200, b'{"partialSuccess": {"rejectedSpans": "2"}}')]
    instance.end_requests()
    instance.run(SECOND, 100 * MS)
    assert instance.exporter.dropped == 2


def test_the_queue_stays_bounded_while_the_collector_is_unreachable_or_unresponsive() -> None:
    instance = ExportingInstance(telemetry_attempts=2, telemetry_queue=100, telemetry_batch=40)
    instance.collector.responses = [None]
    instance.end_requests(101)
    assert instance.exporter.dropped == 1, "the queue is bounded"
    instance.run(SECOND + instance.limits.telemetry_answer_us, 100 * MS)
    assert instance.paths() == ["/otlp/v1/traces"]
    instance.collector.listener.stop_accepting()
    instance.collector.close_connections()
    instance.run(3 * SECOND, 100 * MS)
    assert instance.exporter.dropped >= 41
    assert len(instance.exporter._queue) <= 60


def test_the_queue_keeps_no_data_of_the_requests() -> None:
    """Regression: the data of 4,096 writes, 256 MB, waited for the collector though no account held it."""
    instance = ExportingInstance(telemetry_queue=5)
    spec = replace(REQUEST, operation=b"x" * 65536)
    instance.exporter.request_ended(spec, Served(b"v" * 65536), 0, MS, [])
    [queued] = instance.exporter._queue
    assert queued.request == REQUEST


def test_finish_exports_the_whole_queue_in_small_batches() -> None:
    instance = ExportingInstance(telemetry_batch=2)
    instance.settle()
    instance.end_requests(3)
    instance.exporter.finish()
    instance.run(10 * MS, MS)
    assert instance.paths() == ["/otlp/v1/traces"] * 2 + ["/otlp/v1/metrics"]
    assert instance.exporter.done
    assert len(instance.collector.connections) <= 1, "all requests use one connection"


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        pytest.param("5", 5 * SECOND, id="seconds"),
        pytest.param("", None, id="empty"),
        pytest.param("soon", None, id="invalid"),
        pytest.param("Thu, 01 Jan 1970 00:01:40 GMT", 90 * SECOND, id="future date"),
        pytest.param("Thu, 01 Jan 1970 00:00:01 GMT", 0, id="past date"),
    ],
)
def test_retry_after_is_read_as_seconds_or_a_date(text: str, expected: int | None) -> None:
    assert retry_after_us(text, 10.0) == expected
