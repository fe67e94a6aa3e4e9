"""The core alone: its rules under random events, its guards against a controller gone wrong."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetlanding.core.ports import (
    Answer,
    AttemptHandle,
    EndpointListing,
    Failed,
    Rejected,
    RequestSpec,
    Served,
)
from garnetlanding.decision import interface as api
from garnetlanding.decision.control import Controller
from garnetlanding.decision.interface import EndpointState, Outcome
from tests.support.clock import MS, SECOND
from tests.support.decision_bench import make_settings
from tests.support.simulated_instance import SimulatedInstance


class Script:
    """A backend that does nothing by itself."""

    def __init__(self) -> None:
        self.out: list[AttemptHandle] = []
        self.stopped: list[AttemptHandle] = []

    def start(self, trial: AttemptHandle) -> None:
        self.out.append(trial)

    def stop(self, trial: AttemptHandle) -> None:
        self.out.remove(trial)
        self.stopped.append(trial)


class CoreWorld(SimulatedInstance):
    def __init__(self, config: api.Settings | None = None, **limits: int) -> None:
        super().__init__(config, **limits)
        self.backend, self.answers = Script(), {}
        self.say("n0", EndpointState.UP, whole=True)

    def say(self, node: str, state: EndpointState, whole: bool = False, started: int = 0) -> None:
        entry = api.Endpoint(node, 0, "z", state, started)
        self.core.update_endpoints(EndpointListing((entry,), {node: "x:1"}, whole, at_start=whole))
        self.settle()

    def ask(
        self,
        name: str,
        wait_us: int = SECOND,
        cls: str = "read",
        size: int = 0,
        volume: str = "v",
        copies: bool = True,
    ) -> str:
        ticket = self.core.submit(
            RequestSpec(
                cls, "gold", volume, "k", 2, 0, wait_us, 1, name, held_bytes=size, allow_hedging=copies
            ),
            self.backend,
            lambda answer: self.answers.__setitem__(name, answer),
        )
        self.settle()
        return ticket

    def end(self, outcome: Outcome, value: bytes | None = None) -> AttemptHandle:
        trial = self.backend.out.pop(0)
        trial.finish(outcome, value)
        self.settle()
        return trial

    answers: dict[str, Answer]


def test_served_reaches_the_client_at_once_and_a_second_end_changes_nothing() -> None:
    w = CoreWorld()
    w.ask("a")
    trial = w.backend.out.pop()
    trial.finish(Outcome.SERVED, b"v")
    assert w.answers == {"a": Served(b"v")}, "before the turn ends"
    trial.finish(Outcome.RESET)
    w.settle()
    assert not w.core._requests and w.core.open_requests == 0


def test_at_most_four_attempts_and_the_refusal_comes_at_once() -> None:
    w = CoreWorld()
    w.ask("a", wait_us=20 * SECOND)
    for _ in range(4):
        w.run(2 * SECOND, 100 * MS)
        w.end(Outcome.RESET)
    assert w.answers == {"a": Rejected(SECOND)}, "not held back until its deadline"
    assert [t.number for t in w.core.starts] == [0, 1, 2, 3]


def with_copy(w: CoreWorld, **more: Any) -> None:
    """An item with a second copy out beside its first attempt."""
    w.ask("a", cls="write", **more)  # its aim is later than when the copy goes out
    w.run(300 * MS)
    assert [t.number for t in w.core.starts] == [0, 1] and len(w.backend.out) == 2


def test_of_two_copies_the_first_answer_counts_and_the_other_is_thrown_away() -> None:
    """The core took the second copy for a defect and called it moot, though the settings allow it."""
    w = CoreWorld(make_settings())
    with_copy(w)
    first, second = w.backend.out
    second.finish(Outcome.SERVED, b"second")
    first.finish(Outcome.SERVED, b"first")  # in the same turn
    assert w.answers == {"a": Served(b"second")}
    w.settle()
    assert not w.core._requests and w.core.open_requests == 0 and w.core.metrics.ended == 1
    with_copy(w := CoreWorld(make_settings()))
    w.end(Outcome.SERVED, b"first")
    assert w.answers == {"a": Served(b"first")} and len(w.backend.stopped) == 1 and not w.core._requests


def test_at_the_deadline_both_copies_are_stopped() -> None:
    w = CoreWorld(make_settings())
    with_copy(w, wait_us=SECOND)
    w.run(SECOND)
    assert len(w.backend.stopped) == 2 and list(w.answers) == ["a"] and not w.core._requests


@pytest.mark.parametrize(
    ("config", "copies"), [(make_settings(parallel_attempts=False), True), (make_settings(), False)]
)
def test_no_second_copy_where_the_settings_or_the_work_forbid_it(config: api.Settings, copies: bool) -> None:
    w = CoreWorld(config)
    w.ask("a", copies=copies)
    w.run(800 * MS)
    assert len(w.backend.out) == 1


def test_no_attempt_goes_to_a_server_that_began_to_drain_in_the_same_turn() -> None:
    w = CoreWorld()
    w.core.endpoints.apply(
        EndpointListing((api.Endpoint("n0", 0, "z", EndpointState.DRAINING),), {"n0": "x:1"}, False)
    )
    w.ask("a", wait_us=300 * MS)
    assert not w.backend.out
    w.run(300 * MS)
    assert w.answers == {"a": Rejected(SECOND)}


def test_replaced_servers_and_volumes_no_longer_asked_for_leave_nothing_behind() -> None:
    """On a long day all of these grew with every replacement and every name."""
    w = CoreWorld()
    for i in range(30):
        w.say(f"n{i}", EndpointState.GONE)
        w.say(f"n{i + 1}", EndpointState.UP, started=w.time)
        w.ask(f"a{i}", volume=f"v{i}")
        w.end(Outcome.SERVED, b"")
        w.run(3 * SECOND, SECOND)
    assert list(w.core.endpoints._entries) == list(w.core.endpoints._addresses) == ["n30"]
    module = w.core.module
    assert isinstance(module, Controller)
    state = module.state
    assert list(state.endpoints) == ["n30"] and len(state.volumes) <= 21
    assert all(set(queue.flows) <= set(state.volumes) for queue in state.cells.values())


def test_a_whole_list_forgets_what_it_leaves_out() -> None:
    w = CoreWorld()
    w.core.update_endpoints(
        EndpointListing((api.Endpoint("n1", 1, "z", EndpointState.UP),), {"n1": "y:1"}, True)
    )
    w.settle()
    assert w.core.endpoints.address_of("n0") is None and w.core.endpoints.address_of("n1") == "y:1"
    w.core.endpoint_update_failed()
    w.settle()
    assert w.core.endpoints.address_of("n1") == "y:1", "after a failure the old list stands"


def test_the_head_has_room_of_its_own_and_turns_away_what_exceeds_it() -> None:
    w = CoreWorld(open_items=2, open_bytes=100)
    w.ask("a")
    w.ask("b", size=60)
    w.ask("c")
    assert w.answers == {"c": Rejected(SECOND)}
    w.end(Outcome.SERVED, b"")
    w.ask("d", size=60)
    assert w.answers["d"] == Rejected(SECOND)
    w.ask("e", size=40)
    assert "e" not in w.answers


def test_a_controller_that_says_nothing_or_fails_still_costs_no_answer(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    def broken(_now: int, _events: list[api.Event]) -> list[api.Action]:
        raise RuntimeError("tags ran backwards")

    w = CoreWorld()
    monkeypatch.setattr(w.core.module, "handle", broken)
    w.ask("a", wait_us=100 * MS)
    w.run(110 * MS)
    assert w.answers == {"a": Failed("deadline passed")}
    assert "controller failed" in caplog.text


def test_after_a_stall_the_controller_still_has_its_turn_before_the_core_answers() -> None:
    """Its wake-up and both of the core's times have passed by then: the core used to answer first."""
    w = CoreWorld()
    w.core.update_endpoints(EndpointListing((), {}, True))
    w.ask("a", wait_us=100 * MS)
    w.time += 500 * MS
    w.settle()
    assert w.answers == {"a": Rejected(SECOND)}


def test_an_attempt_still_out_at_the_deadline_is_stopped_and_counts_as_timed_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    w = CoreWorld()
    ticket = w.ask("a", wait_us=100 * MS)
    monkeypatch.setattr(w.core.module, "handle", lambda _now, _events: [])
    w.run(110 * MS)
    assert [t.node for t in w.backend.stopped] == ["n0"] and ticket not in w.core._requests
    assert w.core.starts[0].outcome is Outcome.TIMEOUT and isinstance(w.answers["a"], Failed)


def test_an_action_that_fails_does_not_take_the_others_with_it(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    w = CoreWorld()
    start = w.backend.start
    monkeypatch.setattr(w.backend, "start", lambda trial: start(trial) if trial.work != "bad" else 1 / 0)
    w.ask("bad", wait_us=100 * MS)
    w.ask("good")
    assert [t.work for t in w.backend.out] == ["good"] and "action failed" in caplog.text
    monkeypatch.setattr(w.backend, "stop", lambda _trial: None)
    w.run(110 * MS)
    assert isinstance(w.answers["bad"], Rejected), "it still gets its answer"


def test_an_attempt_may_have_a_time_of_its_own(monkeypatch: pytest.MonkeyPatch) -> None:
    w = CoreWorld()
    handle = w.core.module.handle
    monkeypatch.setattr(
        w.core.module,
        "handle",
        lambda now, events: [
            replace(a, until_us=now + 50 * MS) if isinstance(a, api.Send) else a for a in handle(now, events)
        ],
    )
    w.ask("a", wait_us=300 * MS)
    w.run(50 * MS)
    assert w.core.starts[0].outcome is Outcome.TIMEOUT and "a" not in w.answers
    w.run(60 * MS)
    assert len(w.core.starts) == 2, "the old attempt is off before the next goes out"


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["ask", "end", "leave", "drain", "up", "gone", "restart", "pass", "fail"]),
        st.integers(0, 7),
        st.sampled_from([o for o in Outcome if o is not Outcome.NEVER_DISPATCHED]),
    ),
    max_size=40,
)


@given(STEPS)
def test_every_item_ends_once_under_the_rules(steps: list[tuple[str, int, Outcome]]) -> None:
    """CheckedCore checks each start; here: every item is answered, by its deadline, once."""
    w = CoreWorld(make_settings(parallel_attempts=False, max_attempts=4, instances=2))
    tickets: dict[str, str] = {}
    due: dict[str, int] = {}
    left = set()
    for n, (step, pick, outcome) in enumerate(steps):
        match step:
            case "ask":
                due[f"a{n}"] = w.time + (pick + 1) * 100 * MS
                tickets[f"a{n}"] = w.ask(f"a{n}", wait_us=(pick + 1) * 100 * MS)
            case "end" if w.backend.out:
                trial = w.backend.out.pop(pick % len(w.backend.out))
                trial.finish(outcome, b"v" if outcome is Outcome.SERVED else None)
            case "leave" if tickets:
                name = sorted(tickets)[pick % len(tickets)]
                if name not in w.answers:
                    left.add(name)
                w.core.client_disconnected(tickets[name])
            case "drain" | "gone" | "up":
                state = {"drain": EndpointState.DRAINING, "gone": EndpointState.GONE, "up": EndpointState.UP}[
                    step
                ]
                w.say(f"n{pick % 2}", state)
            case "restart":
                w.say("n0", EndpointState.UP, started=w.time)
            case "pass":
                w.run((pick + 1) * 25 * MS, 25 * MS)
            case "fail":
                w.core.endpoint_update_failed()
        w.settle()
        assert all(w.time < due[name] + 8 * MS for name in due if name not in w.answers and name not in left)
    w.run(900 * MS, 25 * MS)
    assert set(w.answers) == set(due) - left and not w.core._requests and w.core.open_requests == 0
