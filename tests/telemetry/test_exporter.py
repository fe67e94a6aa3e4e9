"""Telemetry against a stand-in collector: its encoding, its retries, and that it costs requests nothing."""

from __future__ import annotations

import json
from typing import Any

import pytest

from garnetlanding.core.ports import AttemptSummary, Rejected, RequestSpec, Served
from garnetlanding.emulator.base import Conn, Server
from garnetlanding.telemetry.collector_client import retry_after_us
from garnetlanding.telemetry.exporter import Exporter, ServiceInstance
from garnetlanding.telemetry.otlp import Histogram, encode_attributes
from garnetlanding.telemetry.setup import TelemetrySetup
from tests.helpers import MS, SECOND, World

ASK = RequestSpec("read", "gold", "vol-1", "k", 2, 3, SECOND, 1, None)
BEGAN = 60 * SECOND


class CollectorConn(Conn):
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


class Collector(Server):
    machine = CollectorConn

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.text, self.calls = b"", []
        self.script: list[bytes | None] = []

    calls: list[tuple[str, dict[str, Any]]]


def reply(status: int, body: bytes = b"{}", header: bytes = b"") -> bytes:
    return b"HTTP/1.1 %d X\r\n%bContent-Length: %d\r\n\r\n%b" % (status, header, len(body), body)


OK = reply(200)


class TelemetryWorld(World):
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


def test_spans_and_metrics_in_the_collectors_encoding() -> None:
    w = TelemetryWorld()
    w.ended()
    w.exporter.request_ended(ASK, Rejected(0), BEGAN, BEGAN + 20 * SECOND, [])
    w.exporter.gauges = {"clients": lambda: 4}
    w.run(SECOND, 100 * MS)
    assert w.paths() == ["/otlp/v1/traces", "/otlp/v1/metrics"]
    [resource] = w.collector.calls[0][1]["resourceSpans"]
    instance = {"key": "service.instance.id", "value": {"stringValue": "n1"}}
    assert instance in resource["resource"]["attributes"]
    request, first, second, refused = resource["scopeSpans"][0]["spans"]
    assert first["traceId"] == second["traceId"] == request["traceId"] != refused["traceId"]
    assert first["parentSpanId"] == second["parentSpanId"] == request["spanId"]
    assert len(request["traceId"]) == 32 and len(request["spanId"]) == 16 and "parentSpanId" not in request
    took = int(request["endTimeUnixNano"]) - int(request["startTimeUnixNano"])
    assert took == 30 * 10**6 and int(request["startTimeUnixNano"]) == w.wall + (BEGAN - 50 * SECOND) * 1000
    assert first["status"] == {"code": 2, "message": "reset"} and "status" not in second
    [scope] = w.collector.calls[1][1]["resourceMetrics"][0]["scopeMetrics"]
    metrics = {m["name"]: m for m in scope["metrics"]}
    points = metrics["garnetlanding.requests"]["sum"]["dataPoints"]
    assert sorted((p["attributes"][2]["value"]["stringValue"], p["asInt"]) for p in points) == [
        ("refused", "1"),
        ("served", "1"),
    ]
    [spread] = metrics["garnetlanding.request.duration"]["histogram"]["dataPoints"]
    assert spread["count"] == "2" and spread["bucketCounts"][3] == "1" and spread["bucketCounts"][-1] == "1"
    assert metrics["garnetlanding.clients"]["gauge"]["dataPoints"][0]["asInt"] == "4"


def test_values_and_buckets() -> None:
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
def test_a_status_that_asks_for_another_try_gets_one_when_told(status: int) -> None:
    w = TelemetryWorld()
    w.collector.script = [reply(status, header=b"Retry-After: 3\r\n")]
    w.ended()
    w.run(SECOND + 2900 * MS, 100 * MS)
    assert w.paths() == ["/otlp/v1/traces"]
    w.run(200 * MS, 100 * MS)
    assert w.paths() == ["/otlp/v1/traces"] * 2 + ["/otlp/v1/metrics"] and w.exporter.dropped == 0
    assert w.collector.calls[0] == w.collector.calls[1]


def test_another_status_is_final_and_what_it_held_is_counted() -> None:
    w = TelemetryWorld()
    w.collector.script = [reply(400)]
    w.ended(3)
    w.run(SECOND, 100 * MS)
    assert w.paths() == ["/otlp/v1/traces", "/otlp/v1/metrics"] and w.exporter.dropped == 3


def test_a_partial_success_counts_what_was_rejected() -> None:
    w = TelemetryWorld()
    w.collector.script = [reply(200, b'{"partialSuccess": {"rejectedSpans": "2"}}')]
    w.ended()
    w.run(SECOND, 100 * MS)
    assert w.exporter.dropped == 2


def test_a_collector_that_is_gone_or_silent_costs_spans_and_nothing_else() -> None:
    w = TelemetryWorld(telemetry_tries=2, telemetry_queue=100, telemetry_batch=40)
    w.collector.script = [None]
    w.ended(101)
    assert w.exporter.dropped == 1, "the queue is bounded"
    w.run(SECOND + w.limits.telemetry_answer_us, 100 * MS)
    assert w.paths() == ["/otlp/v1/traces"]
    w.collector.listener.stop_accepting()
    w.collector.drop()
    w.run(3 * SECOND, 100 * MS)
    assert w.exporter.dropped >= 41 and len(w.exporter._queue) <= 60


def test_batches_are_small_and_the_last_round_sends_what_is_left() -> None:
    w = TelemetryWorld(telemetry_batch=2)
    w.settle()
    w.ended(3)
    w.exporter.finish()
    w.run(10 * MS, MS)
    assert w.paths() == ["/otlp/v1/traces"] * 2 + ["/otlp/v1/metrics"] and w.exporter.done
    assert len(w.collector.conns) <= 1, "one connection serves all"


@pytest.mark.parametrize(
    "text, want",
    [
        ("5", 5 * SECOND),
        ("", None),
        ("soon", None),
        ("Thu, 01 Jan 1970 00:01:40 GMT", 90 * SECOND),
        ("Thu, 01 Jan 1970 00:00:01 GMT", 0),
    ],
)
def test_retry_after(text: str, want: int | None) -> None:
    assert retry_after_us(text, 10.0) == want
