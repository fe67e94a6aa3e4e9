"""Watches and polls of discovery that break, fall silent or come late."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from garnetlanding.core.endpoint_registry import EndpointRegistry
from garnetlanding.core.ports import EndpointListing
from garnetlanding.decision import interface as api
from garnetlanding.decision.interface import Endpoint, EndpointState
from garnetlanding.discovery.watch import Watch, WatchCallbacks, WatchRuntime
from garnetlanding.emulator.discovery import Box, Discovery, DiscoveryConn
from garnetlanding.limits import Limits
from tests.support.clock import MS, SECOND
from tests.support.decision_bench import DecisionBench, make_settings, up_endpoint
from tests.support.simulated_instance import SimulatedInstance


class WatchWorld(SimulatedInstance):
    def __init__(self, pushed: bool = False) -> None:
        super().__init__()
        self.pushed = pushed
        self.discovery = self.server(Discovery)
        self.discovery.boxes = [Box("b0", "127.0.0.1:9", 0)]
        self.heard: list[str] = []
        callbacks = WatchCallbacks(
            lambda listing: self.heard.extend(e.node + ":" + e.state.value for e in listing.entries),
            self.failed,
            lambda data: self.persist(data),
            lambda: self.pushed,
        )
        runtime = WatchRuntime(self.scheduler, self.pool, self.limits, lambda us: us)
        self.watch = Watch(runtime, callbacks, self.discovery.address, 41)
        self.unheard: list[int] = []
        if pushed:
            self.watch.keep_open()
        else:
            self.watch.subscribe()
        self.settle()

    def persist(self, data: dict[str, Any]) -> None:
        """Forget the list: nothing here restarts."""

    def failed(self, queued: bool, unheard_us: int) -> None:
        self.heard.append("queued" if queued else "failed")
        self.unheard.append(unheard_us)


class HeadWorld(SimulatedInstance):
    """A watch with the core and the module behind it, which say when to call again."""

    def __init__(self, hosts: int = 6) -> None:
        super().__init__(make_settings(instances=hosts, poll_endpoints=True))
        self.discovery = self.server(Discovery)
        self.discovery.boxes = [Box("b0", "127.0.0.1:9", 0)]
        callbacks = WatchCallbacks(
            self.core.update_endpoints, self.core.endpoint_update_failed, lambda _data: None
        )
        runtime = WatchRuntime(self.scheduler, self.pool, self.limits, lambda us: us)
        self.watch = self.core.subscriptions = Watch(runtime, callbacks, self.discovery.address)
        self.list(*self.discovery.boxes)


def test_a_watch_starts_at_the_known_version_and_tells_changes() -> None:
    w = WatchWorld()
    assert w.discovery.calls == ["/v1/servers?follow=1&since=41"]
    w.discovery.tell(Box("b0", "127.0.0.1:9", 0, "DRAINING"))
    w.discovery.conns[0].write(b"1\r\n\n\r\n")  # nothing has changed
    w.settle()
    assert w.heard == ["b0:up", "b0:draining"]
    w.watch.subscribe()  # asked again while it runs: one call more, no failure
    w.settle()
    assert w.discovery.calls[1].endswith("since=2") and "failed" not in w.heard


def test_a_watch_that_falls_silent_has_failed() -> None:
    """A machine that is cut off keeps its connections open and says nothing."""
    w = WatchWorld()
    w.run(2500 * MS, step_us=100 * MS)
    assert "failed" not in w.heard
    w.discovery.conns[0].write(b"1\r\n\n\r\n")
    w.run(2500 * MS, step_us=100 * MS)
    assert "failed" not in w.heard
    w.run(500 * MS, step_us=100 * MS)
    assert w.heard[-1] == "failed" and w.heard.count("failed") == 1
    assert w.unheard == [w.limits.discovery_silence_us]


@pytest.mark.parametrize(
    "say",
    [
        b"0\r\n\r\n",
        b"2\r\n{\n\r\n",
        b"zz\r\n",
        b"3\r\n[]\n\r\n",
        b"3\r\n{}\n\r\n",
    ],
)
def test_a_watch_that_ends_or_says_nonsense_has_failed_once(say: bytes) -> None:
    w = WatchWorld()
    w.discovery.conns[0].write(say)
    w.settle()
    assert w.heard == ["b0:up", "failed"] and not w.discovery.conns


def test_changes_of_an_older_list_do_not_bring_back_what_is_gone() -> None:
    w = WatchWorld()
    w.discovery.version = 6
    w.discovery.tell(Box("b0", "127.0.0.1:9", 0, "DRAINING"))
    w.settle()
    w.discovery.version = 3
    w.discovery.tell(Box("b0", "127.0.0.1:9", 0))
    w.settle()
    assert w.heard == ["b0:up", "b0:draining", "failed"]
    w.watch.subscribe()
    w.settle()
    assert w.discovery.calls[-1].endswith("since=0")  # the whole list, whatever its version


def test_odd_entries_are_named_and_the_last_word_on_a_server_holds() -> None:
    directory = EndpointRegistry()

    def listing(*entries: Endpoint, whole: bool = True) -> EndpointListing:
        return EndpointListing(entries, {e.node: "10.0.0.1:1" for e in entries}, whole)

    assert directory.apply(listing(up_endpoint("a", 0), up_endpoint("b", 1))) == []
    drains = Endpoint("a", 0, "z", EndpointState.DRAINING)
    assert directory.apply(listing(up_endpoint("a", 0), drains, whole=False)) == ["a is named twice"]
    assert directory.address_of("a") is None and directory.address_of("b")
    assert directory.apply(listing(up_endpoint("b", 7), whole=False)) == ["b moved from cell 1 to 7"]
    assert directory.apply(listing()) == ["whole list is empty, 2 servers were known"]
    assert directory.address_of("b") is None


def test_a_call_that_fails_is_told_and_the_next_may_succeed() -> None:
    w = WatchWorld()
    w.discovery.down = True
    w.watch.subscribe()
    w.settle()
    assert w.heard[-1] == "failed"
    w.discovery.listener.stop_accepting()
    w.watch.subscribe()
    w.settle()
    assert w.heard[-2:] == ["failed", "failed"]


def test_a_defect_behind_the_watch_is_a_failure_too(monkeypatch: pytest.MonkeyPatch) -> None:
    """Were it not told, nobody would ask again, and drains would go unheard."""
    w = WatchWorld()
    monkeypatch.setattr(w, "persist", lambda _data: 1 / 0)
    w.discovery.tell(Box("b0", "127.0.0.1:9", 0, "DRAINING"))
    w.settle()
    assert w.heard[-1] == "failed"


def test_a_call_keeps_its_turn_where_discovery_is_overbooked(monkeypatch: pytest.MonkeyPatch) -> None:
    """Discovery takes calls in turn and turns them down itself after 2 s. Forty heads that each gave up after
    1.5 s, and asked again, lost their turn each time, and their calls still took it up."""
    w = WatchWorld()
    answer = Discovery.answer
    monkeypatch.setattr(Discovery, "answer", lambda _self, _conn: None)
    w.watch.subscribe()
    w.run(2100 * MS, step_us=100 * MS)
    assert "failed" not in w.heard
    w.discovery.down = True
    latest = w.discovery.conns[-1]
    assert isinstance(latest, DiscoveryConn)
    answer(w.discovery, latest)
    w.settle()
    assert w.heard[-1] == "queued", "it had waited its turn for nothing: the next is to come later"
    monkeypatch.undo()
    w.watch.subscribe()
    w.settle()
    assert w.heard[-1] == "failed", "turned down at once: there is no queue"


def test_a_call_that_gets_no_answer_fails_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    w = WatchWorld()
    monkeypatch.setattr(Discovery, "answer", lambda _self, _conn: None)
    w.watch.subscribe()
    w.run(w.limits.discovery_answer_us, step_us=100 * MS)
    assert w.heard[-1] == "failed"


def test_a_pushed_list_is_followed_unasked_and_again_whatever_became_of_the_watch() -> None:
    """Where lists are pushed the core asks for none, so nobody followed the list: drains went unheard."""
    w = WatchWorld(pushed=True)
    assert w.heard == ["b0:up"]
    w.watch.keep_open()  # new settings of the same form: the watch that stands goes on
    w.settle()
    assert len(w.discovery.calls) == 1
    w.discovery.boxes[0].state = "DRAINING"
    w.discovery.conns[0].write(b"0\r\n\r\n")
    w.run(w.limits.agent_retry_us)
    assert w.heard == ["b0:up", "b0:draining"] and len(w.discovery.calls) == 2


def test_a_silent_agent_is_asked_again_until_it_answers(monkeypatch: pytest.MonkeyPatch) -> None:
    w = WatchWorld(pushed=True)
    with monkeypatch.context() as silent:
        silent.setattr(Discovery, "answer", lambda _self, _conn: None)
        w.discovery.conns[0].write(b"0\r\n\r\n")
        w.run(3 * SECOND)
        assert len(w.discovery.calls) > 3 and w.heard == ["b0:up"], "the core need not ask"
    w.discovery.boxes[0].state = "DRAINING"
    w.run(w.limits.agent_answer_us + w.limits.agent_retry_us)
    assert w.heard[-1] == "b0:draining"


def test_settings_that_say_lists_are_asked_for_leave_the_next_call_to_the_core() -> None:
    w = WatchWorld(pushed=True)
    w.discovery.down = True
    w.discovery.conns[0].write(b"0\r\n\r\n")
    w.settle()
    w.pushed = False
    w.run(2 * w.limits.agent_retry_us)
    assert w.heard == ["b0:up", "failed"]
    w.pushed = True
    w.discovery.down = False
    w.watch.keep_open()
    w.settle()
    assert w.heard[-1] == "b0:up"


class Silence:
    """Ways of an answer that leave a head without its list, though the connection stands."""

    @staticmethod
    def nothing(discovery: Discovery, conn: DiscoveryConn) -> None:
        pass

    @staticmethod
    def a_head_alone(discovery: Discovery, conn: DiscoveryConn) -> None:
        conn.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

    @staticmethod
    def part_of_a_line(discovery: Discovery, conn: DiscoveryConn) -> None:
        Silence.a_head_alone(discovery, conn)
        conn.write(b'9\r\n{"genera\r\n')


@pytest.mark.parametrize("way", [Silence.nothing, Silence.a_head_alone, Silence.part_of_a_line])
@pytest.mark.parametrize("drips", [False, True])
def test_whatever_silences_a_call_the_next_list_is_there_within_6_s(
    way: Callable[[Discovery, DiscoveryConn], None], drips: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A call that hung was waited for 6 s, and a head of an answer or a line in drips kept it for good: a
    drain was heard of 2.4 s after it counted as told (close range, first site, seed 35, two heads of six)."""
    w = HeadWorld()
    w.run(SECOND)
    answer = Discovery.answer
    monkeypatch.setattr(Discovery, "answer", way)
    w.watch.subscribe()
    w.settle()
    monkeypatch.setattr(Discovery, "answer", answer)
    silent_from = w.time
    w.discovery.boxes[0].state = "DRAINING"
    while w.core.endpoints.address_of("b0"):
        if drips and w.discovery.conns and len(w.discovery.calls) == 2:
            w.discovery.conns[-1].write(b"1\r\n \r\n")
        w.run(50 * MS)
        assert w.time <= silent_from + 5 * SECOND, "of the 6 s the rest is for discovery's answer"


def test_a_call_given_up_while_it_connects_says_nothing_any_more() -> None:
    """Its connection came up after the reload to another discovery, asked there for changes since nothing,
    and what the old one said of its own list was taken for the new one's."""
    w = WatchWorld()
    other = w.server(Discovery)
    other.version, other.boxes = 9, [Box("b7", "127.0.0.1:9", 7)]
    old = w.discovery
    w.watch.subscribe()
    for _ in range(100):
        w.scheduler.turn(0)
        if w.watch._stream is None or w.watch._stream.closed:
            break  # it is on its way, and not yet up
    w.watch.switch_to(other.address)
    w.settle()
    assert len(old.calls) == 1 and not old.conns, "nobody follows the old one"
    old.tell(Box("b0", "127.0.0.1:9", 0, "DRAINING"))
    w.settle()
    assert w.heard == ["b0:up", "b7:up"] and w.watch.version == 9


def test_a_list_that_came_while_the_head_stood_still_is_read_and_no_silence() -> None:
    """The clock had passed the deadline when the process ran again, and the bytes that had come were not
    looked at: a watch that stood was given up, and its call made once more."""
    w = WatchWorld()
    w.discovery.boxes[0].state = "DRAINING"
    w.run(2 * SECOND, step_us=100 * MS)
    w.discovery.tell(*w.discovery.boxes)
    w.time += SECOND  # written, not yet read
    w.settle()
    assert w.heard == ["b0:up", "b0:draining"] and len(w.discovery.calls) == 1


@pytest.mark.parametrize("hosts", [1, 3, 8, 40, 200])
@pytest.mark.parametrize("unheard_us", [0, Limits().discovery_answer_us, Limits().discovery_silence_us])
def test_the_pause_before_a_call_leaves_it_time_however_many_heads_there_are(
    hosts: int, unheard_us: int
) -> None:
    """It grew with the number of heads, to 50 s for 200, and to 6 s for 3."""
    bench = DecisionBench(make_settings(instances=hosts, poll_endpoints=True), [up_endpoint("n0", 0)])
    pauses = []
    for _ in range(60):
        bench.tell(api.EndpointListUpdate(failed=True, unheard_us=unheard_us))
        began, calls = bench.now, len([a for _, a in bench.log if isinstance(a, api.Subscribe)])
        while len([a for _, a in bench.log if isinstance(a, api.Subscribe)]) == calls:
            bench.run(10 * MS)
        pauses.append(bench.now - began)
    assert unheard_us + max(pauses) <= 4400 * MS, "the rest of the 6 s is for the call to be answered"
    assert max(pauses) > 3 * min(pauses), "and the calls of many heads are spread"
