"""Backend health: unresponsive and slow backends, resets, warm-up, placement of new objects."""

from __future__ import annotations

import pytest

from garnetlanding.decision import interface as api
from tests.support.clock import MS, SECOND
from tests.support.decision_bench import READ, DecisionBench, make_settings, up_endpoint


def bench_with_latency(instances: int, latency_us: int, responses: int = 12) -> DecisionBench:
    """An instance whose backend has responded a number of times, each time after `latency_us`."""
    bench = DecisionBench(make_settings(instances=instances), [up_endpoint("n0", 0)])
    for i in range(responses):
        bench.arrive(f"b{i}", volume=f"b{i}", request_class="write", units=1)
        bench.advance(latency_us)
        bench.finish_attempt(f"b{i}", duration_us=latency_us)
    return bench


def test_scattered_resets_leave_a_responding_backend_warm() -> None:
    bench = DecisionBench(make_settings(), [up_endpoint("n0", 0)])
    for i in range(20):
        bench.arrive(f"r{i}")
        bench.advance(10 * MS)
        bench.finish_attempt(f"r{i}", api.Outcome.RESET if i % 3 else api.Outcome.SERVED, answered=i % 3 == 0)
    health = bench.state.cells.queues[0].health
    assert health is not None
    assert health.warmup_started_at < bench.now - bench.controller.settings.warmup_us


def test_backend_with_timeouts_gets_no_low_priority_request_until_its_latency_fades() -> None:
    bench = bench_with_latency(150, 20 * MS)
    bench.arrive("h", request_class="write")
    bench.advance(1400 * MS)
    for attempt in range(len(bench.sends("h"))):
        bench.finish_attempt("h", api.Outcome.TIMEOUT, attempt, duration_us=1400 * MS)
    bench.arrive("w", volume="w", plan="tin", units=6)
    assert not bench.sends("w")
    bench.advance(5 * SECOND)
    bench.arrive("x", volume="w", plan="tin", units=6)
    assert len(bench.sends("x")) == 1


def test_one_request_without_response_does_not_stop_dispatch_to_a_backend() -> None:
    bench = DecisionBench(make_settings(), [up_endpoint("n0", 0)])
    bench.arrive("a")
    bench.advance(240 * MS)
    bench.arrive("b")
    assert len(bench.sends("b")) == 1


def test_undelivered_request_is_rejected_before_half_its_deadline() -> None:
    """A rejection after more than half of its time leaves a client too little time for a retry."""
    bench = DecisionBench(make_settings(parallel_attempts=False), [up_endpoint("n0", 0)])
    bench.arrive("queued", cell=1)  # no backend serves this cell
    bench.arrive("undelivered", cell=0)
    bench.finish_attempt("undelivered", api.Outcome.UNREACHABLE)
    bench.arrive("delivered", cell=0)
    bench.finish_attempt("delivered", api.Outcome.RESET)
    bench.arrive("in flight", cell=0)
    bench.advance(0)
    arrived_at = bench.now
    while not bench.final_answers("queued"):
        bench.advance(10 * MS)
    assert bench.now - arrived_at <= READ.deadline_us // 2
    assert not bench.final_answers("in flight")
    assert not bench.final_answers("delivered")


def test_unresponsive_backend_that_refuses_connections_warms_up_afterwards() -> None:
    bench = DecisionBench(make_settings(), [up_endpoint("n0", 0)])
    health = bench.state.cells.queues[0].health
    assert health is not None
    for name in ("a", "b", "c"):
        assert health.warmup_started_at < 0, "a few connection failures may be chance"
        bench.arrive(name, volume=name, plan="tin", serving_instances=3)
        bench.advance(250 * MS)
        bench.finish_attempt(name, api.Outcome.UNREACHABLE)
    assert health.warmup_started_at == bench.now
    for i in range(40):
        bench.arrive(f"c{i}", volume="c", units=1, plan="tin", serving_instances=3)
        bench.finish_attempt(f"c{i}")
    assert sum(1 for s in bench.sends() if s.request.startswith("c")) <= 4


def test_low_priority_requests_wait_at_a_slow_backend_among_150_instances() -> None:
    """One attempt of each instance would fill the backend, so only requests of high priority are sent."""
    bench = bench_with_latency(150, 220 * MS)
    for i in range(30):  # far beyond the volume's reserve, at the lowest priority
        bench.arrive(f"low{i}", volume="c", plan="tin", units=6)
    low_priority = len([s for s in bench.sends() if s.request.startswith("low")])
    bench.arrive("high", volume="d", units=1)
    assert len(bench.sends("high")) == 1
    assert low_priority <= 1


def test_low_priority_request_is_sent_to_a_slow_backend_among_three_instances() -> None:
    bench = bench_with_latency(3, 220 * MS)
    bench.arrive("low", volume="c", plan="tin", units=1)
    assert len(bench.sends("low")) == 1


def test_overdue_attempt_is_hedged_once_and_useless_hedges_use_the_budget_up() -> None:
    bench = DecisionBench(make_settings(), [up_endpoint(f"n{c}", c) for c in range(9)])
    for i in range(40):
        bench.arrive(f"b{i}", cell=0, units=1)
        bench.advance(20 * MS)
        bench.finish_attempt(f"b{i}", duration_us=20 * MS)
    for i in range(8):
        bench.arrive(f"lost{i}", cell=i, units=1)
        bench.advance(280 * MS)
    hedged = [i for i in range(8) if len(bench.sends(f"lost{i}")) == 2]
    assert 1 <= len(hedged) <= 4
    assert all(len(bench.sends(f"lost{i}")) <= 2 for i in range(8))


@pytest.mark.parametrize("lost", [True, False], ids=["lost", "late"])
def test_hedge_budget_grows_by_lost_responses_and_not_by_late_ones(lost: bool) -> None:
    """A backend that serves requests in order responds to the first attempt first, so a hedge is wasted."""
    bench = DecisionBench(make_settings(), [up_endpoint("n0", 0)])
    for i in range(1000):
        bench.arrive(f"r{i}", units=1)
        bench.advance(280 * MS if i % 20 == 0 else 20 * MS)
        if lost and len(bench.sends(f"r{i}")) == 2:
            bench.finish_attempt(f"r{i}", attempt=1, duration_us=20 * MS)
        else:
            bench.finish_attempt(f"r{i}", duration_us=280 * MS if i % 20 == 0 else 20 * MS)
    hedged = sum(len(bench.sends(f"r{i}")) == 2 for i in range(1000))
    assert hedged > 5 if lost else hedged <= 3, "the initial tokens allow three"


def test_no_hedge_without_parallel_attempts() -> None:
    bench = DecisionBench(make_settings(parallel_attempts=False), [up_endpoint("n0", 0)])
    bench.arrive("a")
    bench.advance(SECOND)
    assert len(bench.sends("a")) == 1


def test_rejections_count_as_a_long_queueing_delay() -> None:
    bench = bench_with_latency(150, 20 * MS)
    for i in range(4):
        bench.arrive(f"full{i}", volume=f"f{i}")
        bench.finish_attempt(f"full{i}", api.Outcome.FULL)
    bench.arrive("low", volume="c", plan="tin", units=6)
    assert not bench.sends("low")


def test_repeated_rejections_of_one_request_do_not_count_against_the_backend() -> None:
    """A backend may reject particular reads at once, while it serves all others fast."""
    bench = bench_with_latency(150, 20 * MS)
    for i in range(4):
        bench.arrive(f"full{i}", volume=f"f{i}")
        for attempt in range(3):
            bench.finish_attempt(f"full{i}", api.Outcome.FULL, attempt=attempt)
            bench.advance(100 * MS)
        bench.arrive(f"fast{i}", volume=f"q{i}", plan="tin", units=4)
        bench.advance(20 * MS)
        assert bench.sends(f"fast{i}")
        bench.finish_attempt(f"fast{i}", duration_us=20 * MS)


def test_instance_keeps_to_its_quota_of_the_warmup_budget() -> None:
    """Each instance uses its quota of what a warming backend can always serve, in every window."""
    bench = DecisionBench(make_settings(), [])
    bench.deliver(api.EndpointListUpdate((up_endpoint("n0", 0, started=bench.now),), complete=True))
    for i in range(60):
        bench.arrive(f"c{i}", volume=f"v{i % 3}", units=1, plan="tin", serving_instances=3)
        if bench.sends(f"c{i}"):
            bench.finish_attempt(f"c{i}")
        bench.advance(20 * MS)
    assert 1 <= len(bench.sends()) <= 5  # 9 units x warmth, over three instances


def test_new_object_avoids_an_unresponsive_backend() -> None:
    bench = DecisionBench(make_settings(), [up_endpoint("n0", 0), up_endpoint("n1", 1)])
    for i in range(4):
        bench.arrive(f"h{i}", cell=0, request_class="write")
    bench.advance(700 * MS)
    for i in range(4):
        bench.arrive(f"new{i}", cell=None, request_class="write")
    assert {s.backend for s in bench.sends() if s.request.startswith("new")} == {"n1"}


def test_new_object_goes_to_backends_that_were_slow_once_or_never_tried() -> None:
    """Otherwise each instance places all new objects on the few backends that it has measured as fast."""
    bench = DecisionBench(make_settings(), [up_endpoint("n0", 0), up_endpoint("n1", 1), up_endpoint("n2", 2)])
    bench.arrive("slow", cell=0)
    bench.finish_attempt("slow", duration_us=800 * MS)
    for i in range(4):
        bench.arrive(f"medium{i}", cell=1, volume="w")
        bench.finish_attempt(f"medium{i}", duration_us=250 * MS)
    bench.advance(20 * SECOND)
    bench.arrive("medium", cell=1, volume="w")
    bench.finish_attempt("medium", duration_us=280 * MS)
    for i in range(9):
        bench.arrive(f"new{i}", cell=None, request_class="write", volume=f"x{i}")
    assert {s.backend for s in bench.sends() if s.request.startswith("new")} == {"n0", "n1", "n2"}


def test_requests_beyond_the_warmup_budget_are_shed_at_once_lowest_priority_first() -> None:
    bench = DecisionBench(make_settings(warmup_units=3.0), [])
    bench.deliver(api.EndpointListUpdate((up_endpoint("n0", 0, started=bench.now),), complete=True))
    for i in range(8):
        bench.arrive(f"low{i}", volume="c", units=1, plan="tin", serving_instances=3)
    bench.arrive("high", volume="d", units=1, serving_instances=3)
    rejected = [a.request for _, a in bench.timeline if isinstance(a, api.Reject)]
    assert rejected
    assert all(name.startswith("low") for name in rejected)
    bench.advance(300 * MS)
    assert bench.sends("high")
    assert not bench.final_answers("high")


def test_queued_request_waits_for_the_backend_that_replaces_a_draining_one() -> None:
    bench = DecisionBench(make_settings(), [up_endpoint("n0", 0)])
    bench.deliver(api.EndpointListUpdate((api.Endpoint("n0", 0, "z", api.EndpointState.DRAINING),)))
    bench.arrive("a", units=1)
    assert not bench.sends()
    bench.deliver(api.EndpointListUpdate((up_endpoint("n9", 0),)))
    assert [s.backend for s in bench.sends("a")] == ["n9"]


def test_latency_of_a_large_request_does_not_shrink_the_concurrency_limit() -> None:
    bench = bench_with_latency(3, 30 * MS)
    health = bench.state.cells.queues[0].health
    assert health is not None
    before = health.latency_us
    bench.arrive("large", units=6)
    bench.advance(170 * MS)
    bench.finish_attempt("large", duration_us=170 * MS)
    assert health.latency_us <= before * 1.01
    assert health.concurrency_factor == 1.0


def test_polls_after_many_errors_stay_frequent_enough_to_learn_of_a_drain_in_6_s() -> None:
    """An instance must learn of a change within 6 s, also while it backs off from polling."""
    bench = DecisionBench(make_settings(poll_endpoints=True), [up_endpoint("n0", 0)])
    for _ in range(30):
        failed_at = bench.now
        bench.deliver(api.EndpointListFailure())
        bench.advance(6 * SECOND)
        assert [t for t, a in bench.timeline if isinstance(a, api.Subscribe) and t >= failed_at]
