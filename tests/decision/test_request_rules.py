"""Rules for single requests: priority, order of retries, late retries, streaming, disabled backends."""

from __future__ import annotations

from dataclasses import replace

from garnetlanding.decision import interface as api
from tests.support.clock import MS, SECOND
from tests.support.decision_bench import (
    READ,
    DecisionBench,
    make_settings,
    sent_requests,
    up_endpoint,
)

CHEAP = replace(READ, name="cheap", priority_weight=0.5)


def test_units_beyond_the_reserve_lower_the_priority_weight() -> None:
    bench = DecisionBench(make_settings(), [])
    for name in ("a", "b", "beyond"):  # the reserve holds 8 + 6 units
        bench.arrive(name, units=6)
    weights = {name: request.priority_weight for name, request in bench.state.requests.by_id.items()}
    assert weights == {"a": 2.0, "b": 2.0, "beyond": 2.0 * 0.4}


def test_retry_by_the_client_keeps_the_objective_of_its_first_attempt() -> None:
    bench = DecisionBench(make_settings(), [up_endpoint("n0", 0)])
    bench.arrive("first", timeout_us=1500 * MS)
    bench.arrive("retry", timeout_us=1100 * MS)
    first, retry = (bench.state.requests.by_id[name] for name in ("first", "retry"))
    assert first.objective_at == bench.now + 300 * MS
    assert retry.objective_at == bench.now - 400 * MS + 300 * MS


def test_client_with_a_long_timeout_does_not_make_requests_of_others_count_as_retries() -> None:
    """Regression: one request with a timeout beyond its class's deadline made the instance reject every later
    request of that class, of whatever client and volume, as one that could only be late."""
    bench = DecisionBench(make_settings(), [up_endpoint("n0", 0)])
    bench.arrive("before", timeout_us=READ.deadline_us)
    bench.finish_attempt("before", duration_us=5 * MS)
    bench.arrive("long", timeout_us=20 * READ.deadline_us, volume="other")
    bench.arrive("after", timeout_us=READ.deadline_us)
    assert bench.state.requests.by_id["after"].objective_at == bench.now + 300 * MS
    assert len(bench.sends("after")) == 1


def test_retry_goes_to_the_front_of_its_flow_and_keeps_its_tags() -> None:
    bench = DecisionBench(make_settings(parallel_attempts=False), [up_endpoint("n0", 0)])
    bench.arrive("a")
    for name in ("f0", "f1", "f2"):
        bench.arrive(name, volume="filler")
    for name in ("b", "c", "d"):
        bench.arrive(name)
    bench.finish_attempt("a", api.Outcome.ERROR, duration_us=5 * MS)  # "b" takes its slot
    bench.advance(50 * MS)
    assert sent_requests(bench.finish_attempt("f0", duration_us=5 * MS)) == ["a"]
    assert sent_requests(bench.finish_attempt("f1", duration_us=5 * MS)) == ["c"]


def test_retry_that_would_be_answered_too_late_is_rejected_at_once() -> None:
    bench = DecisionBench(make_settings(parallel_attempts=False), [up_endpoint("n0", 0)])
    bench.arrive("slow", timeout_us=300 * MS)
    bench.finish_attempt("slow", duration_us=200 * MS)
    bench.arrive("a", timeout_us=300 * MS)
    bench.advance(150 * MS)
    assert not bench.final_answers("a")
    bench.finish_attempt("a", api.Outcome.ERROR, duration_us=150 * MS)
    assert len(bench.sends("a")) == 1
    assert [type(answer) for answer in bench.final_answers("a")] == [api.Reject]


def test_request_whose_response_is_streamed_gets_no_other_answer_after_its_deadline() -> None:
    bench = DecisionBench(make_settings(), [up_endpoint("n0", 0)])
    bench.arrive("a")
    bench.deliver(api.StreamStarted("a", 0))
    bench.advance(2 * READ.deadline_us)
    assert not bench.final_answers("a")


def test_request_that_must_be_late_is_shed_before_a_cheaper_one_in_time() -> None:
    settings = make_settings(classes={"read": READ, "cheap": CHEAP}, parallel_attempts=False)
    bench = DecisionBench(settings, [up_endpoint("n0", 0)])
    bench.arrive("measured", units=1)
    bench.finish_attempt("measured", duration_us=70 * MS)  # 70 ms per unit
    for name in ("f0", "f1", "f2", "f3"):
        bench.arrive(name, volume="filler", units=1)
    bench.arrive("cheap", volume="c", request_class="cheap", units=1)
    bench.arrive("large", volume="l", units=6)  # 420 ms, of an objective of 300 ms
    assert bench.final_answers("large")
    assert not bench.final_answers("cheap")


def test_requests_of_a_disabled_backend_are_rejected_at_once() -> None:
    bench = DecisionBench(make_settings(), [up_endpoint("n0", 0)])
    disabled = replace(up_endpoint("n0", 0), state=api.EndpointState.DRAINING, admin_disabled=True)
    bench.deliver(api.EndpointListUpdate((disabled,)))
    bench.arrive("a")
    assert [type(answer) for answer in bench.final_answers("a")] == [api.Reject]


def test_newest_process_that_is_up_serves_a_cell() -> None:
    entries = [up_endpoint("old", 0, started=SECOND), up_endpoint("new", 0, started=2 * SECOND)]
    for listed in (entries, entries[::-1]):
        bench = DecisionBench(make_settings(), listed)
        bench.arrive("a", units=1)
        assert [send.backend for send in bench.sends("a")] == ["new"]


def test_hedged_attempt_takes_over_the_slot_of_the_overdue_one() -> None:
    bench = DecisionBench(make_settings(), [up_endpoint("n0", 0)])
    health = bench.state.cells.queues[0].health
    assert health is not None
    bench.arrive("a", request_class="write")
    bench.advance(400 * MS)
    assert len(bench.sends("a")) == 2
    assert health.in_flight == 1
    bench.finish_attempt("a", api.Outcome.TIMEOUT, attempt=0)
    assert health.in_flight == 1, "its slot is not released twice"
    bench.finish_attempt("a", attempt=1)
    assert health.in_flight == 0


def test_new_objects_avoid_a_backend_that_returns_errors() -> None:
    settings = make_settings(max_attempts=1, parallel_attempts=False)
    bench = DecisionBench(settings, [up_endpoint("n0", 0), up_endpoint("n1", 1)])
    for i in range(20):
        bench.arrive(f"error{i}", cell=0, volume=f"e{i}")
        bench.finish_attempt(f"error{i}", api.Outcome.ERROR, duration_us=MS)
    for i in range(12):
        bench.arrive(f"new{i}", cell=None, request_class="write", volume=f"n{i}")
        bench.finish_attempt(f"new{i}")
    assert {send.backend for send in bench.sends() if send.request.startswith("new")} == {"n1"}
