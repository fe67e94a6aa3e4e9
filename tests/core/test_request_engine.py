"""The request engine: its invariants under random events and with a defective decision module."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetlanding.core.ports import (
    EndpointListing,
    Failed,
    Rejected,
    Served,
)
from garnetlanding.decision import interface as api
from garnetlanding.decision.control import Controller
from garnetlanding.decision.interface import EndpointState, Outcome
from tests.support.clock import MS, SECOND
from tests.support.decision_bench import make_settings
from tests.support.engine_instance import EngineInstance


def test_success_answers_the_client_at_once_and_a_second_finish_is_ignored() -> None:
    instance = EngineInstance()
    instance.submit("a")
    attempt = instance.transport.in_flight.pop()
    attempt.finish(Outcome.SERVED, b"v")
    assert instance.answers == {"a": Served(b"v")}, "before the iteration ends"
    attempt.finish(Outcome.RESET)
    instance.settle()
    assert not instance.core._requests
    assert instance.core.open_requests == 0


def test_after_the_last_of_four_attempts_the_rejection_comes_at_once() -> None:
    instance = EngineInstance()
    instance.submit("a", timeout_us=20 * SECOND)
    for _ in range(4):
        instance.run(2 * SECOND, 100 * MS)
        instance.finish_oldest(Outcome.RESET)
    assert instance.answers == {"a": Rejected(SECOND)}, "not delayed until the deadline"
    assert [attempt.number for attempt in instance.core.started_attempts] == [0, 1, 2, 3]


def start_hedged(instance: EngineInstance, **options: Any) -> None:
    """Submit a request and run until its hedged attempt is in flight too."""
    # The latency objective of writes is later than the hedging delay.
    instance.submit("a", request_class="write", **options)
    instance.run(300 * MS)
    assert [attempt.number for attempt in instance.core.started_attempts] == [0, 1]
    assert len(instance.transport.in_flight) == 2


def test_of_two_hedged_attempts_the_first_answer_counts_and_the_other_is_dropped() -> None:
    """Regression: the engine did not dispatch the hedged attempt although the settings allowed it."""
    instance = EngineInstance(make_settings())
    start_hedged(instance)
    first, second = instance.transport.in_flight
    second.finish(Outcome.SERVED, b"second")
    first.finish(Outcome.SERVED, b"first")  # in the same iteration
    assert instance.answers == {"a": Served(b"second")}
    instance.settle()
    assert not instance.core._requests
    assert instance.core.open_requests == 0
    assert instance.core.metrics.ended == 1
    start_hedged(instance := EngineInstance(make_settings()))
    instance.finish_oldest(Outcome.SERVED, b"first")
    assert instance.answers == {"a": Served(b"first")}
    assert len(instance.transport.stopped) == 1
    assert not instance.core._requests


def test_a_request_is_answered_once_though_the_decision_module_asks_for_another_answer() -> None:
    instance = EngineInstance(make_settings())
    start_hedged(instance)
    [request] = instance.core._requests
    first, _ = instance.transport.in_flight
    first.finish(Outcome.SERVED, b"first")
    assert instance.answers == {"a": Served(b"first")}
    assert list(instance.core._requests) == [request], "its other attempt is still in flight"
    instance.core._requests.answer(request.ticket, Failed("requested by a defective module"))
    assert instance.answers == {"a": Served(b"first")}
    assert instance.core.metrics.ended == 1


def test_at_the_deadline_both_hedged_attempts_are_stopped() -> None:
    instance = EngineInstance(make_settings())
    start_hedged(instance, timeout_us=SECOND)
    instance.run(SECOND)
    assert len(instance.transport.stopped) == 2
    assert list(instance.answers) == ["a"]
    assert not instance.core._requests


@pytest.mark.parametrize(
    ("settings", "allow_hedging"), [(make_settings(parallel_attempts=False), True), (make_settings(), False)]
)
def test_no_hedged_attempt_where_the_settings_or_the_request_forbid_it(
    settings: api.Settings, allow_hedging: bool
) -> None:
    instance = EngineInstance(settings)
    instance.submit("a", allow_hedging=allow_hedging)
    instance.run(800 * MS)
    assert len(instance.transport.in_flight) == 1


def test_no_attempt_goes_to_a_backend_that_began_to_drain_in_the_same_iteration() -> None:
    instance = EngineInstance()
    instance.core.endpoints.apply(
        EndpointListing((api.Endpoint("n0", 0, "z", EndpointState.DRAINING),), {"n0": "x:1"}, False)
    )
    instance.submit("a", timeout_us=300 * MS)
    assert not instance.transport.in_flight
    instance.run(300 * MS)
    assert instance.answers == {"a": Rejected(SECOND)}


def test_replaced_backends_and_unused_volumes_leave_no_state_behind() -> None:
    """Regression: state was kept for every replaced backend and every volume name."""
    instance = EngineInstance()
    for i in range(30):
        instance.list_endpoint(f"n{i}", EndpointState.GONE)
        instance.list_endpoint(f"n{i + 1}", EndpointState.UP, started_us=instance.time)
        instance.submit(f"a{i}", volume=f"v{i}")
        instance.finish_oldest(Outcome.SERVED, b"")
        instance.run(3 * SECOND, SECOND)
    assert list(instance.core.endpoints._entries) == list(instance.core.endpoints._addresses) == ["n30"]
    module = instance.core.module
    assert isinstance(module, Controller)
    state = module.state
    assert list(state.cells.endpoints) == ["n30"]
    assert len(state.volumes.by_name) <= 21
    assert all(set(queue.flows) <= set(state.volumes.by_name) for queue in state.cells.queues.values())


def test_a_complete_list_removes_what_it_does_not_name() -> None:
    instance = EngineInstance()
    instance.core.update_endpoints(
        EndpointListing((api.Endpoint("n1", 1, "z", EndpointState.UP),), {"n1": "y:1"}, True)
    )
    instance.settle()
    assert instance.core.endpoints.address_of("n0") is None
    assert instance.core.endpoints.address_of("n1") == "y:1"
    instance.core.endpoint_update_failed(api.EndpointListFailure())
    instance.settle()
    assert instance.core.endpoints.address_of("n1") == "y:1", "after a failure the list in force stays"


def test_requests_beyond_the_instances_own_capacity_are_rejected() -> None:
    instance = EngineInstance(open_requests=2, open_bytes=100)
    instance.submit("a")
    instance.submit("b", held_bytes=60)
    instance.submit("c")
    assert instance.answers == {"c": Rejected(SECOND)}
    instance.finish_oldest(Outcome.SERVED, b"")
    instance.submit("d", held_bytes=60)
    assert instance.answers["d"] == Rejected(SECOND)
    instance.submit("e", held_bytes=40)
    assert "e" not in instance.answers


def test_a_decision_module_that_fails_costs_no_request_its_answer(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    def broken(_now: int, _events: list[api.Event]) -> list[api.Action]:
        raise RuntimeError("defective")

    instance = EngineInstance()
    monkeypatch.setattr(instance.core.module, "handle", broken)
    instance.submit("a", timeout_us=100 * MS)
    instance.run(110 * MS)
    assert instance.answers == {"a": Failed("deadline passed")}
    assert "controller failed" in caplog.text


def test_after_a_stall_the_decision_module_answers_before_the_engine_does() -> None:
    """Regression: after a stall the module's timer and both timers of the engine were due, and the engine
    answered first."""
    instance = EngineInstance()
    instance.core.update_endpoints(EndpointListing((), {}, True))
    instance.submit("a", timeout_us=100 * MS)
    instance.time += 500 * MS
    instance.settle()
    assert instance.answers == {"a": Rejected(SECOND)}


def test_an_attempt_in_flight_at_the_deadline_is_stopped_and_times_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    instance = EngineInstance()
    ticket = instance.submit("a", timeout_us=100 * MS)
    monkeypatch.setattr(instance.core.module, "handle", lambda _now, _events: [])
    instance.run(110 * MS)
    assert [attempt.backend for attempt in instance.transport.stopped] == ["n0"]
    assert ticket not in instance.core._requests
    assert instance.core.started_attempts[0].outcome is Outcome.TIMEOUT
    assert isinstance(instance.answers["a"], Failed)


def test_an_action_that_fails_does_not_keep_the_others_from_being_performed(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    instance = EngineInstance()
    start = instance.transport.start
    monkeypatch.setattr(
        instance.transport, "start", lambda attempt: start(attempt) if attempt.operation != "bad" else 1 / 0
    )
    instance.submit("bad", timeout_us=100 * MS)
    instance.submit("good")
    assert [attempt.operation for attempt in instance.transport.in_flight] == ["good"]
    assert "action failed" in caplog.text
    monkeypatch.setattr(instance.transport, "stop", lambda _attempt: None)
    instance.run(110 * MS)
    assert isinstance(instance.answers["bad"], Rejected), "a failed action costs no answer"


def test_an_attempt_with_its_own_deadline_times_out_before_the_request_does(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    instance = EngineInstance()
    handle = instance.core.module.handle
    monkeypatch.setattr(
        instance.core.module,
        "handle",
        lambda now, events: [
            replace(a, deadline_us=now + 50 * MS) if isinstance(a, api.Send) else a
            for a in handle(now, events)
        ],
    )
    instance.submit("a", timeout_us=300 * MS)
    instance.run(50 * MS)
    assert instance.core.started_attempts[0].outcome is Outcome.TIMEOUT
    assert "a" not in instance.answers
    instance.run(60 * MS)
    assert len(instance.core.started_attempts) == 2, "the second attempt starts after the first has timed out"


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["submit", "finish", "disconnect", "drain", "up", "gone", "restart", "wait", "fail"]),
        st.integers(0, 7),
        st.sampled_from([o for o in Outcome if o is not Outcome.NEVER_DISPATCHED]),
    ),
    max_size=40,
)


@given(STEPS)
def test_under_random_events_every_request_is_answered_once_by_its_deadline(
    steps: list[tuple[str, int, Outcome]],
) -> None:
    """CheckedRequestEngine checks each attempt; this test checks that every request is answered in time."""
    instance = EngineInstance(make_settings(parallel_attempts=False, max_attempts=4, instances=2))
    tickets: dict[str, str] = {}
    due: dict[str, int] = {}
    disconnected = set()
    for n, (step, choice, outcome) in enumerate(steps):
        match step:
            case "submit":
                due[f"a{n}"] = instance.time + (choice + 1) * 100 * MS
                tickets[f"a{n}"] = instance.submit(f"a{n}", timeout_us=(choice + 1) * 100 * MS)
            case "finish" if instance.transport.in_flight:
                attempt = instance.transport.in_flight.pop(choice % len(instance.transport.in_flight))
                attempt.finish(outcome, b"v" if outcome is Outcome.SERVED else None)
            case "disconnect" if tickets:
                name = sorted(tickets)[choice % len(tickets)]
                if name not in instance.answers:
                    disconnected.add(name)
                instance.core.client_disconnected(tickets[name])
            case "drain" | "gone" | "up":
                state = {"drain": EndpointState.DRAINING, "gone": EndpointState.GONE, "up": EndpointState.UP}[
                    step
                ]
                instance.list_endpoint(f"n{choice % 2}", state)
            case "restart":
                instance.list_endpoint("n0", EndpointState.UP, started_us=instance.time)
            case "wait":
                instance.run((choice + 1) * 25 * MS, 25 * MS)
            case "fail":
                instance.core.endpoint_update_failed(api.EndpointListFailure())
        instance.settle()
        assert all(
            instance.time < due[name] + 8 * MS
            for name in due
            if name not in instance.answers and name not in disconnected
        )
    instance.run(900 * MS, 25 * MS)
    assert set(instance.answers) == set(due) - disconnected
    assert not instance.core._requests
    assert instance.core.open_requests == 0


@pytest.mark.parametrize("usage_percent", [None, 0, 25])
def test_usage_that_a_backend_reports_reaches_the_decision_module_as_a_percentage(
    usage_percent: int | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    instance = EngineInstance()
    events: list[api.Event] = []
    handle = instance.core.module.handle

    def record(now: int, delivered: list[api.Event]) -> list[api.Action]:
        events.extend(delivered)
        return handle(now, delivered)

    monkeypatch.setattr(instance.core.module, "handle", record)
    instance.submit("a")
    instance.transport.in_flight.pop(0).finish(Outcome.SERVED, b"", usage_percent)
    instance.settle()
    assert [event.usage_percent for event in events if isinstance(event, api.Result)] == [usage_percent]
