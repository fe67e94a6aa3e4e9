"""Watches and polls of discovery that end, get no response or are delayed."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from garnetlanding.decision import interface as api
from garnetlanding.discovery.watch import Watch, WatchCallbacks, WatchRuntime
from garnetlanding.emulator.discovery import Discovery, DiscoveryConnection, EmulatedEndpoint
from garnetlanding.limits import Limits
from tests.support.clock import MS, SECOND
from tests.support.decision_bench import DecisionBench, make_settings, up_endpoint
from tests.support.simulated_instance import SimulatedInstance


class WatchedDiscovery(SimulatedInstance):
    """A watch whose deliveries and failures are recorded in `received`."""

    def __init__(self, pushed: bool = False) -> None:
        super().__init__()
        self.pushed = pushed
        self.discovery = self.server(Discovery)
        self.discovery.endpoints = [EmulatedEndpoint("b0", "127.0.0.1:9", 0)]
        self.received: list[str] = []
        callbacks = WatchCallbacks(
            lambda listing: self.received.extend(e.backend + ":" + e.state.value for e in listing.entries),
            self.failed,
            lambda data: self.persist(data),
            lambda: self.pushed,
        )
        runtime = WatchRuntime(self.scheduler, self.pool, self.limits, lambda us: us)
        self.watch = Watch(runtime, callbacks, self.discovery.address, 41)
        self.missed_updates_for_us: list[int] = []
        if pushed:
            self.watch.keep_open()
        else:
            self.watch.subscribe()
        self.settle()

    def persist(self, data: dict[str, Any]) -> None:
        """Do nothing: no test here restarts an instance."""

    def failed(self, failure: api.EndpointListFailure) -> None:
        self.received.append("failed" if failure.kind is api.FailureKind.ERROR else "overloaded")
        self.missed_updates_for_us.append(failure.missed_updates_for_us)


class PollingInstance(SimulatedInstance):
    """A watch whose calls are requested by an engine and its decision module."""

    def __init__(self, instances: int = 6) -> None:
        super().__init__(make_settings(instances=instances, poll_endpoints=True))
        self.discovery = self.server(Discovery)
        self.discovery.endpoints = [EmulatedEndpoint("b0", "127.0.0.1:9", 0)]
        callbacks = WatchCallbacks(
            self.core.update_endpoints, self.core.endpoint_update_failed, lambda _data: None
        )
        runtime = WatchRuntime(self.scheduler, self.pool, self.limits, lambda us: us)
        self.watch = self.core.endpoint_subscription = Watch(runtime, callbacks, self.discovery.address)
        self.list_endpoints(*self.discovery.endpoints)


def test_a_watch_starts_at_the_cached_version_and_delivers_changes() -> None:
    instance = WatchedDiscovery()
    assert instance.discovery.calls == ["/v1/servers?follow=1&since=41"]
    instance.discovery.publish(EmulatedEndpoint("b0", "127.0.0.1:9", 0, "DRAINING"))
    instance.discovery.connections[0].write(b"1\r\n\n\r\n")  # a heartbeat
    instance.settle()
    assert instance.received == ["b0:up", "b0:draining"]
    instance.watch.subscribe()  # supersedes the present call, which is no failure
    instance.settle()
    assert instance.discovery.calls[1].endswith("since=2")
    assert "failed" not in instance.received


def test_a_watch_without_a_line_within_the_time_limit_fails() -> None:
    """A machine that is partitioned keeps its connections open and sends nothing."""
    instance = WatchedDiscovery()
    instance.run(2500 * MS, step_us=100 * MS)
    assert "failed" not in instance.received
    instance.discovery.connections[0].write(b"1\r\n\n\r\n")
    instance.run(2500 * MS, step_us=100 * MS)
    assert "failed" not in instance.received
    instance.run(500 * MS, step_us=100 * MS)
    assert instance.received[-1] == "failed"
    assert instance.received.count("failed") == 1
    assert instance.missed_updates_for_us == [instance.limits.discovery_silence_us]


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"0\r\n\r\n", id="last-chunk"),
        pytest.param(b"2\r\n{\n\r\n", id="not-json"),
        pytest.param(b"zz\r\n", id="bad-chunk-size"),
        pytest.param(b"3\r\n[]\n\r\n", id="not-an-object"),
        pytest.param(b"3\r\n{}\n\r\n", id="no-instances"),
    ],
)
def test_a_watch_that_ends_or_is_malformed_fails_once(data: bytes) -> None:
    instance = WatchedDiscovery()
    instance.discovery.connections[0].write(data)
    instance.settle()
    assert instance.received == ["b0:up", "failed"]
    assert not instance.discovery.connections


def test_changes_to_an_older_list_are_rejected_and_the_complete_list_is_requested() -> None:
    instance = WatchedDiscovery()
    instance.discovery.generation = 6
    instance.discovery.publish(EmulatedEndpoint("b0", "127.0.0.1:9", 0, "DRAINING"))
    instance.settle()
    instance.discovery.generation = 3
    instance.discovery.publish(EmulatedEndpoint("b0", "127.0.0.1:9", 0))
    instance.settle()
    assert instance.received == ["b0:up", "b0:draining", "failed"]
    instance.watch.subscribe()
    instance.settle()
    assert instance.discovery.calls[-1].endswith("since=0")  # the complete list


def test_each_call_that_fails_is_reported() -> None:
    instance = WatchedDiscovery()
    instance.discovery.is_down = True
    instance.watch.subscribe()
    instance.settle()
    assert instance.received[-1] == "failed"
    instance.discovery.listener.stop_accepting()
    instance.watch.subscribe()
    instance.settle()
    assert instance.received[-2:] == ["failed", "failed"]


def test_an_exception_in_a_callback_is_reported_as_a_failed_watch(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without a report, discovery would not be called again, and drains would be missed."""
    instance = WatchedDiscovery()
    monkeypatch.setattr(instance, "persist", lambda _data: 1 / 0)
    instance.discovery.publish(EmulatedEndpoint("b0", "127.0.0.1:9", 0, "DRAINING"))
    instance.settle()
    assert instance.received[-1] == "failed"


def test_a_call_waits_in_the_queue_of_an_overloaded_discovery(monkeypatch: pytest.MonkeyPatch) -> None:
    """Discovery queues calls and rejects them after 2 s. Forty instances that timed out after 1.5 s and
    called again lost their positions in the queue each time, while their old calls still occupied it."""
    instance = WatchedDiscovery()
    answer = Discovery.answer
    monkeypatch.setattr(Discovery, "answer", lambda _self, _conn: None)
    instance.watch.subscribe()
    instance.run(2100 * MS, step_us=100 * MS)
    assert "failed" not in instance.received
    instance.discovery.is_down = True
    latest = instance.discovery.connections[-1]
    assert isinstance(latest, DiscoveryConnection)
    answer(instance.discovery, latest)
    instance.settle()
    assert (
        instance.received[-1] == "overloaded"
    ), "it was queued before it was rejected: the next call has to wait longer"
    monkeypatch.undo()
    instance.watch.subscribe()
    instance.settle()
    assert instance.received[-1] == "failed", "rejected at once: there is no queue"


def test_a_call_without_an_answer_fails_at_its_deadline(monkeypatch: pytest.MonkeyPatch) -> None:
    instance = WatchedDiscovery()
    monkeypatch.setattr(Discovery, "answer", lambda _self, _conn: None)
    instance.watch.subscribe()
    instance.run(instance.limits.discovery_answer_us, step_us=100 * MS)
    assert instance.received[-1] == "failed"


def test_a_pushed_list_is_followed_without_a_request_and_again_after_its_watch_ends() -> None:
    """Regression: the core does not poll pushed lists, so they were not followed and drains were missed."""
    instance = WatchedDiscovery(pushed=True)
    assert instance.received == ["b0:up"]
    instance.watch.keep_open()  # new settings with the same mode: the watch stays open
    instance.settle()
    assert len(instance.discovery.calls) == 1
    instance.discovery.endpoints[0].state = "DRAINING"
    instance.discovery.connections[0].write(b"0\r\n\r\n")
    instance.run(instance.limits.agent_retry_us)
    assert instance.received == ["b0:up", "b0:draining"]
    assert len(instance.discovery.calls) == 2


def test_an_unresponsive_agent_is_called_again_until_it_answers(monkeypatch: pytest.MonkeyPatch) -> None:
    instance = WatchedDiscovery(pushed=True)
    with monkeypatch.context() as silent:
        silent.setattr(Discovery, "answer", lambda _self, _conn: None)
        instance.discovery.connections[0].write(b"0\r\n\r\n")
        instance.run(3 * SECOND)
        assert len(instance.discovery.calls) > 3, "without a request of the core"
        assert instance.received == ["b0:up"], "without a request of the core"
    instance.discovery.endpoints[0].state = "DRAINING"
    instance.run(instance.limits.agent_answer_us + instance.limits.agent_retry_us)
    assert instance.received[-1] == "b0:draining"


def test_a_change_to_polled_lists_leaves_the_next_call_to_the_engine() -> None:
    instance = WatchedDiscovery(pushed=True)
    instance.discovery.is_down = True
    instance.discovery.connections[0].write(b"0\r\n\r\n")
    instance.settle()
    instance.pushed = False
    instance.run(2 * instance.limits.agent_retry_us)
    assert instance.received == ["b0:up", "failed"]
    instance.pushed = True
    instance.discovery.is_down = False
    instance.watch.keep_open()
    instance.settle()
    assert instance.received[-1] == "b0:up"


class IncompleteResponse:
    """Responses that contain no complete list, on a connection that stays open."""

    @staticmethod
    def nothing(discovery: Discovery, conn: DiscoveryConnection) -> None:
        pass

    @staticmethod
    def headers_only(_discovery: Discovery, conn: DiscoveryConnection) -> None:
        conn.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

    @staticmethod
    def partial_line(discovery: Discovery, conn: DiscoveryConnection) -> None:
        IncompleteResponse.headers_only(discovery, conn)
        conn.write(b'9\r\n{"genera\r\n')


@pytest.mark.parametrize(
    "respond",
    [IncompleteResponse.nothing, IncompleteResponse.headers_only, IncompleteResponse.partial_line],
    ids=["nothing", "headers-only", "partial-line"],
)
@pytest.mark.parametrize("sends_bytes", [False, True], ids=["silent", "dripping"])
def test_after_an_unresponsive_call_the_next_list_is_there_within_6_s(
    respond: Callable[[Discovery, DiscoveryConnection], None],
    sends_bytes: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Regression: a call without a response timed out only after 6 s, and never after headers alone or while
    a line was sent byte by byte: a drain was received 2.4 s too late (close range, first site, seed 35)."""
    instance = PollingInstance()
    instance.run(SECOND)
    answer = Discovery.answer
    monkeypatch.setattr(Discovery, "answer", respond)
    instance.watch.subscribe()
    instance.settle()
    monkeypatch.setattr(Discovery, "answer", answer)
    silent_from = instance.time
    instance.discovery.endpoints[0].state = "DRAINING"
    while instance.core.endpoints.address_of("b0"):
        if sends_bytes and instance.discovery.connections and len(instance.discovery.calls) == 2:
            instance.discovery.connections[-1].write(b"1\r\n \r\n")
        instance.run(50 * MS)
        assert (
            instance.time <= silent_from + 5 * SECOND
        ), "the rest of the 6 s is reserved for discovery's response"


def test_a_call_superseded_while_it_connects_delivers_nothing() -> None:
    """Regression: a connection to the old discovery was established after the reload to another one, and the
    list of the old one was accepted as if it came from the new one."""
    instance = WatchedDiscovery()
    other = instance.server(Discovery)
    other.generation, other.endpoints = 9, [EmulatedEndpoint("b7", "127.0.0.1:9", 7)]
    old = instance.discovery
    instance.watch.subscribe()
    instance.scheduler.run_iteration(0)  # the call begins to connect
    assert instance.watch._stream is None or instance.watch._stream.closed, "it is still connecting"
    instance.watch.switch_to(other.address)
    instance.settle()
    assert len(old.calls) == 1, "the old discovery is not followed any more"
    assert not old.connections, "the old discovery is not followed any more"
    old.publish(EmulatedEndpoint("b0", "127.0.0.1:9", 0, "DRAINING"))
    instance.settle()
    assert instance.received == ["b0:up", "b7:up"]
    assert instance.watch.version == 9


def test_a_list_received_during_a_stall_is_read_and_the_watch_does_not_fail() -> None:
    """Regression: after a stall the deadline had passed and received bytes were not read, so that a working
    watch was closed and discovery was called again."""
    instance = WatchedDiscovery()
    instance.discovery.endpoints[0].state = "DRAINING"
    instance.run(2 * SECOND, step_us=100 * MS)
    instance.discovery.publish(*instance.discovery.endpoints)
    instance.time += SECOND  # the list has been written, and not been read yet
    instance.settle()
    assert instance.received == ["b0:up", "b0:draining"]
    assert len(instance.discovery.calls) == 1


@pytest.mark.parametrize("instances", [1, 3, 8, 40, 200])
@pytest.mark.parametrize(
    "missed_updates_for_us", [0, Limits().discovery_answer_us, Limits().discovery_silence_us]
)
def test_the_backoff_before_a_call_leaves_it_time_for_any_number_of_instances(
    instances: int, missed_updates_for_us: int
) -> None:
    """Regression: the backoff grew with the number of instances: 6 s for 3, and 50 s for 200."""
    bench = DecisionBench(make_settings(instances=instances, poll_endpoints=True), [up_endpoint("n0", 0)])
    backoffs = []
    for _ in range(60):
        bench.deliver(api.EndpointListFailure(missed_updates_for_us=missed_updates_for_us))
        began, calls = bench.now, len([a for _, a in bench.timeline if isinstance(a, api.Subscribe)])
        while len([a for _, a in bench.timeline if isinstance(a, api.Subscribe)]) == calls:
            bench.advance(10 * MS)
        backoffs.append(bench.now - began)
    assert (
        missed_updates_for_us + max(backoffs) <= 4400 * MS
    ), "the rest of the 6 s is reserved for the response"
    assert max(backoffs) > 3 * min(backoffs), "the calls of many instances are spread over time"


def test_another_discovery_is_asked_for_its_complete_list() -> None:
    instance = WatchedDiscovery()
    other = instance.server(Discovery)
    instance.watch.switch_to(other.address)
    instance.settle()
    assert other.calls == ["/v1/servers?follow=1&since=0"], "versions of the old service are unrelated"
