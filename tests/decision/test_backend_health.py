"""Node health: silence, resets, cold nodes, new objects."""

from __future__ import annotations

import pytest

from garnetlanding.decision import interface as api
from tests.support.clock import MS, SECOND
from tests.support.decision_bench import READ, DecisionBench, make_settings, up_endpoint


def busy(hosts: int, latency: int, answers: int = 12) -> DecisionBench:
    """A host whose node has answered so often, each time after `latency`."""
    bench = DecisionBench(make_settings(instances=hosts), [up_endpoint("n0", 0)])
    for i in range(answers):
        bench.ask(f"b{i}", volume=f"b{i}", request_class="write", units=1)
        bench.run(latency)
        bench.end(f"b{i}", took=latency)
    return bench


def test_scattered_resets_leave_an_answering_backend_warm() -> None:
    bench = DecisionBench(make_settings(), [up_endpoint("n0", 0)])
    for i in range(20):
        bench.ask(f"r{i}")
        bench.run(10 * MS)
        bench.end(f"r{i}", api.Outcome.RESET if i % 3 else api.Outcome.SERVED, over=i % 3 == 0)
    health = bench.c.state.cells[0].health
    assert health is not None
    assert health.warming_since < bench.now - bench.c.settings.warmup_us


def test_backend_with_timeouts_gets_no_low_priority_request_until_its_latency_fades() -> None:
    bench = busy(150, 20 * MS)
    bench.ask("h", request_class="write")
    bench.run(1400 * MS)
    for attempt in range(len(bench.sends("h"))):
        bench.end("h", api.Outcome.TIMEOUT, attempt, took=1400 * MS)
    bench.ask("w", volume="w", plan="tin", units=6)
    assert not bench.sends("w")
    bench.run(5 * SECOND)
    bench.ask("x", volume="w", plan="tin", units=6)
    assert len(bench.sends("x")) == 1


def test_one_unanswered_request_does_not_stop_dispatch_to_a_backend() -> None:
    bench = DecisionBench(make_settings(), [up_endpoint("n0", 0)])
    bench.ask("a")
    bench.run(240 * MS)
    bench.ask("b")
    assert len(bench.sends("b")) == 1


def test_request_that_no_backend_has_seen_is_refused_before_half_its_deadline() -> None:
    """A refusal after more than half of its time costs a client that nobody has served 0.3 of the worth."""
    bench = DecisionBench(make_settings(parallel_attempts=False), [up_endpoint("n0", 0)])
    bench.ask("held", cell=1)  # no node has this cell
    bench.ask("unmet", cell=0)
    bench.end("unmet", api.Outcome.UNREACHABLE)
    bench.ask("seen", cell=0)
    bench.end("seen", api.Outcome.RESET)
    bench.ask("out", cell=0)
    bench.run(0)
    before = bench.now
    while not bench.answers("held"):
        bench.run(10 * MS)
    assert bench.now - before <= READ.deadline_us // 2
    assert not bench.answers("out")
    assert not bench.answers("seen")


def test_unresponsive_backend_that_refuses_connections_warms_up_afterwards() -> None:
    bench = DecisionBench(make_settings(), [up_endpoint("n0", 0)])
    health = bench.c.state.cells[0].health
    assert health is not None
    for name in ("a", "b", "c"):
        assert health.warming_since < 0, "some connects break by chance"
        bench.ask(name, volume=name, plan="tin", hosts=3)
        bench.run(250 * MS)
        bench.end(name, api.Outcome.UNREACHABLE)
    assert health.warming_since == bench.now
    for i in range(40):
        bench.ask(f"c{i}", volume="c", units=1, plan="tin", hosts=3)
        bench.end(f"c{i}")
    assert sum(1 for s in bench.sends() if s.request.startswith("c")) <= 4


def test_low_priority_requests_wait_at_a_slow_backend_among_150_instances() -> None:
    """Every host's least of one out would fill the node: beyond the reserve they yield to the dear."""
    bench = busy(150, 220 * MS)
    for i in range(30):  # far beyond the volume's reserve, at the lowest price
        bench.ask(f"cheap{i}", volume="c", plan="tin", units=6)
    cheap = len([s for s in bench.sends() if s.request.startswith("cheap")])
    bench.ask("dear", volume="d", units=1)
    assert len(bench.sends("dear")) == 1
    assert cheap <= 1


def test_low_priority_request_is_sent_to_a_slow_backend_among_three_instances() -> None:
    bench = busy(3, 220 * MS)
    bench.ask("cheap", volume="c", plan="tin", units=1)
    assert len(bench.sends("cheap")) == 1


def test_overdue_attempt_is_hedged_once_and_useless_hedges_use_the_budget_up() -> None:
    bench = DecisionBench(make_settings(), [up_endpoint(f"n{c}", c) for c in range(9)])
    for i in range(40):
        bench.ask(f"b{i}", cell=0, units=1)
        bench.run(20 * MS)
        bench.end(f"b{i}", took=20 * MS)
    for i in range(8):
        bench.ask(f"lost{i}", cell=i, units=1)
        bench.run(280 * MS)
    copied = [i for i in range(8) if len(bench.sends(f"lost{i}")) == 2]
    assert 1 <= len(copied) <= 4
    assert all(len(bench.sends(f"lost{i}")) <= 2 for i in range(8))


@pytest.mark.parametrize("lost", [True, False], ids=["lost", "late"])
def test_hedges_are_earned_by_lost_answers_and_not_by_late_ones(lost: bool) -> None:
    """A node that serves in turn answers the first attempt first: a copy there is work for nothing."""
    bench = DecisionBench(make_settings(), [up_endpoint("n0", 0)])
    for i in range(1000):
        bench.ask(f"r{i}", units=1)
        bench.run(280 * MS if i % 20 == 0 else 20 * MS)
        if lost and len(bench.sends(f"r{i}")) == 2:
            bench.end(f"r{i}", attempt=1, took=20 * MS)
        else:
            bench.end(f"r{i}", took=280 * MS if i % 20 == 0 else 20 * MS)
    copied = sum(len(bench.sends(f"r{i}")) == 2 for i in range(1000))
    assert copied > 5 if lost else copied <= 3, "three are there at first"


def test_no_hedge_without_parallel_attempts() -> None:
    bench = DecisionBench(make_settings(parallel_attempts=False), [up_endpoint("n0", 0)])
    bench.ask("a")
    bench.run(SECOND)
    assert len(bench.sends("a")) == 1


def test_rejections_count_as_a_long_queueing_delay() -> None:
    bench = busy(150, 20 * MS)
    for i in range(4):
        bench.ask(f"full{i}", volume=f"f{i}")
        bench.end(f"full{i}", api.Outcome.FULL)
    bench.ask("cheap", volume="c", plan="tin", units=6)
    assert not bench.sends("cheap")


def test_repeated_rejections_of_one_request_do_not_count_against_the_backend() -> None:
    """Bricks turn some reads away for themselves, at once, while they serve all others quickly."""
    bench = busy(150, 20 * MS)
    for i in range(4):
        bench.ask(f"full{i}", volume=f"f{i}")
        for attempt in range(3):
            bench.end(f"full{i}", api.Outcome.FULL, attempt=attempt)
            bench.run(100 * MS)
        bench.ask(f"quick{i}", volume=f"q{i}", plan="tin", units=4)
        bench.run(20 * MS)
        assert bench.sends(f"quick{i}")
        bench.end(f"quick{i}", took=20 * MS)


def test_instance_keeps_to_its_share_of_the_warmup_budget() -> None:
    """Each host takes its part of what a cold node always bears, in every window."""
    bench = DecisionBench(make_settings(), [])
    bench.tell(api.EndpointListUpdate((up_endpoint("n0", 0, started=bench.now),), complete=True))
    for i in range(60):
        bench.ask(f"c{i}", volume=f"v{i % 3}", units=1, plan="tin", hosts=3)
        if bench.sends(f"c{i}"):
            bench.end(f"c{i}")
        bench.run(20 * MS)
    assert 1 <= len(bench.sends()) <= 5  # 9 units x warmth, over three hosts


def test_new_object_avoids_an_unresponsive_backend() -> None:
    bench = DecisionBench(make_settings(), [up_endpoint("n0", 0), up_endpoint("n1", 1)])
    for i in range(4):
        bench.ask(f"h{i}", cell=0, request_class="write")
    bench.run(700 * MS)
    for i in range(4):
        bench.ask(f"new{i}", cell=None, request_class="write")
    assert {s.backend for s in bench.sends() if s.request.startswith("new")} == {"n1"}


def test_new_object_goes_to_backends_that_were_slow_once_or_never_tried() -> None:
    """One slow answer long ago kept a node out for good, and an untried one counted as slow as the slowest:
    each head put all its new objects on the few that it had found quick."""
    bench = DecisionBench(make_settings(), [up_endpoint("n0", 0), up_endpoint("n1", 1), up_endpoint("n2", 2)])
    bench.ask("slow", cell=0)
    bench.end("slow", took=800 * MS)
    for i in range(4):
        bench.ask(f"fair{i}", cell=1, volume="w")
        bench.end(f"fair{i}", took=250 * MS)
    bench.run(20 * SECOND)
    bench.ask("fair", cell=1, volume="w")
    bench.end("fair", took=280 * MS)
    for i in range(9):
        bench.ask(f"new{i}", cell=None, request_class="write", volume=f"x{i}")
    assert {s.backend for s in bench.sends() if s.request.startswith("new")} == {"n0", "n1", "n2"}


def test_requests_beyond_the_warmup_budget_are_refused_at_once_lowest_priority_first() -> None:
    bench = DecisionBench(make_settings(warmup_units=3.0), [])
    bench.tell(api.EndpointListUpdate((up_endpoint("n0", 0, started=bench.now),), complete=True))
    for i in range(8):
        bench.ask(f"cheap{i}", volume="c", units=1, plan="tin", hosts=3)
    bench.ask("dear", volume="d", units=1, hosts=3)
    refused = [a.request for _, a in bench.log if isinstance(a, api.Reject)]
    assert refused
    assert all(name.startswith("cheap") for name in refused)
    bench.run(300 * MS)
    assert bench.sends("dear")
    assert not bench.answers("dear")


def test_queued_request_waits_for_the_backend_that_replaces_a_draining_one() -> None:
    bench = DecisionBench(make_settings(), [up_endpoint("n0", 0)])
    bench.tell(api.EndpointListUpdate((api.Endpoint("n0", 0, "z", api.EndpointState.DRAINING),)))
    bench.ask("a", units=1)
    assert not bench.sends()
    bench.tell(api.EndpointListUpdate((up_endpoint("n9", 0),)))
    assert [s.backend for s in bench.sends("a")] == ["n9"]


def test_latency_of_a_large_request_does_not_shrink_the_concurrency_limit() -> None:
    bench = busy(3, 30 * MS)
    health = bench.c.state.cells[0].health
    assert health is not None
    before = health.latency_us
    bench.ask("large", units=6)
    bench.run(170 * MS)
    bench.end("large", took=170 * MS)
    assert health.latency_us <= before * 1.01
    assert health.depth_factor == 1.0


def test_polls_after_many_errors_stay_frequent_enough_to_learn_of_a_drain_in_6_s() -> None:
    """What discovery has to tell counts as told after 6 s, also to a host that waits to ask again."""
    bench = DecisionBench(make_settings(poll_endpoints=True), [up_endpoint("n0", 0)])
    for _ in range(30):
        failed_at = bench.now
        bench.tell(api.EndpointListFailure())
        bench.run(6 * SECOND)
        assert [t for t, a in bench.log if isinstance(a, api.Subscribe) and t >= failed_at]
