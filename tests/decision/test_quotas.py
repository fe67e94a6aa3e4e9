"""Quotas of shared limits and budgets, and suspicions reported by other instances."""

from __future__ import annotations

import pytest

from garnetlanding.decision import interface as api
from garnetlanding.decision.concurrency import concurrency_limit
from tests.support.clock import MS, SECOND
from tests.support.decision_bench import DecisionBench, make_settings, up_endpoint


def test_suspected_backend_gets_one_attempt_at_a_time_until_the_suspicion_expires() -> None:
    bench = DecisionBench(make_settings(parallel_attempts=False), [up_endpoint("n0", 0)])
    bench.deliver(api.PeerSuspicions({"n0": bench.now + 100 * MS}))
    for name in ("a", "b"):
        bench.arrive(name, units=1)
    assert len(bench.sends()) == 1
    bench.advance(90 * MS)
    assert len(bench.sends()) == 1
    bench.advance(20 * MS)
    assert len(bench.sends()) == 2


def test_concurrency_quota_bounds_the_limit_until_it_is_replaced() -> None:
    bench = DecisionBench(make_settings(), [up_endpoint("n0", 0)])
    health = bench.state.cells.queues[0].health
    assert health is not None
    bench.deliver(api.QuotaUpdate({}, {api.concurrency_budget_name("n0"): 2}))
    assert concurrency_limit(bench.state, health) == 2.0
    bench.deliver(api.QuotaUpdate({}))
    assert concurrency_limit(bench.state, health) == 2.0, "an update without budgets changes none"
    bench.deliver(api.QuotaUpdate({}, {}))
    assert concurrency_limit(bench.state, health) == 4.0, "a budget that is not named is unbounded"


def sent_while_warming_up(quota: float) -> int:
    """Return how many requests of a steady load are sent within a window after a backend's start."""
    bench = DecisionBench(make_settings(), [])
    bench.deliver(api.EndpointListUpdate((up_endpoint("n0", 0, started=bench.now),), complete=True))
    bench.deliver(api.QuotaUpdate({}, {api.warmup_budget_name("n0"): quota}))
    for i in range(100):
        bench.arrive(f"r{i}", volume=f"v{i % 3}", units=1, plan="tin", serving_instances=3)
        if bench.sends(f"r{i}"):
            bench.finish_attempt(f"r{i}")
        bench.advance(20 * MS)
    return len(bench.sends())


def test_warmup_budget_follows_its_quota() -> None:
    # 9 units in a window of 2 s for three instances, whose equal quota is 1.
    assert sent_while_warming_up(1.0) <= 5
    assert 7 <= sent_while_warming_up(3.0) <= 10


def test_pause_before_a_poll_is_longer_with_a_smaller_quota() -> None:
    pauses = []
    for quota in (1.0, 0.25):
        bench = DecisionBench(make_settings(poll_endpoints=True), [up_endpoint("n0", 0)])
        bench.deliver(api.QuotaUpdate({}, {api.POLL_BUDGET: quota}))
        failed_at = bench.now
        bench.deliver(api.EndpointListFailure())
        bench.advance(6 * SECOND)
        polls = [at for at, action in bench.timeline if isinstance(action, api.Subscribe) and at > failed_at]
        pauses.append(polls[0] - failed_at)
    assert pauses[1] == pytest.approx(4 * pauses[0], abs=4)
