"""Telemetry against a stand-in collector: its encoding, its retries, and that it costs requests nothing."""

from __future__ import annotations

import json
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

ASK = RequestSpec("read", "gold", "vol-1", "k", 2, 3, SECOND, 1, None)
BEGAN = 60 * SECOND


class CollectorConn(EmulatedConnection):
    server: Collector

    def feed(self, data: bytes | memoryview) -> None:
        self.server.text += bytes(data)
        head, sep, body = self.server.text.partition(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]) if sep else 0
        if sep and len(body) >= length:
            self.server.text = b""
            self.server.calls.append((head.split(b" ")[1].decode(), json.loads(body)))
            answer = self.server.script.pop(0) if self.server.script else OK
            if answer is not None:
                self.write(answer)


class Collector(EmulatedServer):
    machine = CollectorConn

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.text, self.calls = b"", []
        self.script: list[bytes | None] = []

    calls: list[tuple[str, dict[str, Any]]]


def reply(status: int, body: bytes = b"{}", header: bytes = b"") -> bytes:
    return b"HTTP/1.1 %d X\r\n%bContent-Length: %d\r\n\r\n%b" % (status, header, len(body), body)


OK = reply(200)


class TelemetryWorld(SimulatedInstance):
    def __init__(self, **limits: int) -> None:
        super().__init__(None, **limits)
        self.collector = self.server(Collector)
        self.wall = 1_800_000_000 * 10**9
        self.exporter = Exporter(
            self.scheduler,
            TelemetrySetup(self.collector.address, "/otlp", interval_us=SECOND),
            ServiceInstance("n1", 7),
            self.pool,
            self.limits,
            lambda: self.wall,
        )

    def ended(self, count: int = 1) -> None:
        for _ in range(count):
            self.exporter.request_ended(
                ASK,
                Served(b"v"),
                BEGAN,
                BEGAN + 30 * MS,
                [
                    AttemptSummary("b0", "reset", BEGAN, BEGAN + MS),
                    AttemptSummary("b1", "served", BEGAN + 2 * MS, BEGAN + 30 * MS),
                ],
            )

    def paths(self) -> list[str]:
        return [path for path, _ in self.collector.calls]


def test_ended_requests_are_posted_as_spans_and_metrics() -> None:
    world = TelemetryWorld()
    world.ended()
    world.exporter.request_ended(ASK, Rejected(0), BEGAN, BEGAN + 20 * SECOND, [])
    world.exporter.gauges = {"clients": lambda: 4}
    world.run(SECOND, 100 * MS)
    assert world.paths() == ["/otlp/v1/traces", "/otlp/v1/metrics"]
    [resource] = world.collector.calls[0][1]["resourceSpans"]
    instance = {"key": "service.instance.id", "value": {"stringValue": "n1"}}
    assert instance in resource["resource"]["attributes"]
    request, first, second, refused = resource["scopeSpans"][0]["spans"]
    assert first["traceId"] == second["traceId"] == request["traceId"] != refused["traceId"]
    assert first["parentSpanId"] == second["parentSpanId"] == request["spanId"]
    assert len(request["traceId"]) == 32
    assert len(request["spanId"]) == 16
    assert "parentSpanId" not in request
    took = int(request["endTimeUnixNano"]) - int(request["startTimeUnixNano"])
    assert took == 30 * 10**6
    assert int(request["startTimeUnixNano"]) == world.wall + (BEGAN - 50 * SECOND) * 1000
    assert first["status"] == {"code": 2, "message": "reset"}
    assert "status" not in second
    [scope] = world.collector.calls[1][1]["resourceMetrics"][0]["scopeMetrics"]
    metrics = {m["name"]: m for m in scope["metrics"]}
    points = metrics["garnetlanding.requests"]["sum"]["dataPoints"]
    assert sorted((p["attributes"][2]["value"]["stringValue"], p["asInt"]) for p in points) == [
        ("refused", "1"),
        ("served", "1"),
    ]
    [spread] = metrics["garnetlanding.request.duration"]["histogram"]["dataPoints"]
    assert spread["count"] == "2"
    assert spread["bucketCounts"][3] == "1"
    assert spread["bucketCounts"][-1] == "1"
    assert metrics["garnetlanding.clients"]["gauge"]["dataPoints"][0]["asInt"] == "4"


def test_attributes_are_typed_and_a_bucket_includes_its_bound() -> None:
    assert encode_attributes({"a": True, "b": 2, "c": 0.5}) == [
        {"key": "a", "value": {"boolValue": True}},
        {"key": "b", "value": {"intValue": "2"}},
        {"key": "c", "value": {"doubleValue": 0.5}},
    ]
    spread = Histogram((1.0, 2.0))
    for value in (1.0, 1.1, 9.0):
        spread.add(value)
    assert spread.counts == [1, 1, 1], "a bucket holds its own bound"


@pytest.mark.parametrize("status", [429, 502, 503, 504])
def test_a_retryable_status_is_retried_after_the_delay_it_asks_for(status: int) -> None:
    world = TelemetryWorld()
    world.collector.script = [reply(status, header=b"Retry-After: 3\r\n")]
    world.ended()
    world.run(SECOND + 2900 * MS, 100 * MS)
    assert world.paths() == ["/otlp/v1/traces"]
    world.run(200 * MS, 100 * MS)
    assert world.paths() == ["/otlp/v1/traces"] * 2 + ["/otlp/v1/metrics"]
    assert world.exporter.dropped == 0
    assert world.collector.calls[0] == world.collector.calls[1]


def test_any_other_status_drops_the_batch_without_a_retry() -> None:
    world = TelemetryWorld()
    world.collector.script = [reply(400)]
    world.ended(3)
    world.run(SECOND, 100 * MS)
    assert world.paths() == ["/otlp/v1/traces", "/otlp/v1/metrics"]
    assert world.exporter.dropped == 3


def test_a_partial_success_counts_rejected_spans_as_dropped() -> None:
    world = TelemetryWorld()
    world.collector.script = [reply(200, b'{"partialSuccess": {"rejectedSpans": "2"}}')]
    world.ended()
    world.run(SECOND, 100 * MS)
    assert world.exporter.dropped == 2


def test_an_unreachable_or_unresponsive_collector_costs_a_bounded_queue_of_spans() -> None:
    world = TelemetryWorld(telemetry_attempts=2, telemetry_queue=100, telemetry_batch=40)
    world.collector.script = [None]
    world.ended(101)
    assert world.exporter.dropped == 1, "the queue is bounded"
    world.run(SECOND + world.limits.telemetry_answer_us, 100 * MS)
    assert world.paths() == ["/otlp/v1/traces"]
    world.collector.listener.stop_accepting()
    world.collector.close_connections()
    world.run(3 * SECOND, 100 * MS)
    assert world.exporter.dropped >= 41
    assert len(world.exporter._queue) <= 60


def test_finish_exports_the_whole_queue_in_small_batches() -> None:
    world = TelemetryWorld(telemetry_batch=2)
    world.settle()
    world.ended(3)
    world.exporter.finish()
    world.run(10 * MS, MS)
    assert world.paths() == ["/otlp/v1/traces"] * 2 + ["/otlp/v1/metrics"]
    assert world.exporter.done
    assert len(world.collector.connections) <= 1, "one connection serves all"


@pytest.mark.parametrize(
    ("text", "want"),
    [
        pytest.param("5", 5 * SECOND, id="seconds"),
        pytest.param("", None, id="empty"),
        pytest.param("soon", None, id="neither"),
        pytest.param("Thu, 01 Jan 1970 00:01:40 GMT", 90 * SECOND, id="future date"),
        pytest.param("Thu, 01 Jan 1970 00:00:01 GMT", 0, id="past date"),
    ],
)
def test_retry_after_is_read_as_seconds_or_a_date(text: str, want: int | None) -> None:
    assert retry_after_us(text, 10.0) == want
