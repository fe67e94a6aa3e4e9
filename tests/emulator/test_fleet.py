"""Simulates fleets on a fake clock and checks totals that no instance sees, some with a rule switched off."""

from __future__ import annotations

from typing import Any

import pytest

from garnetlanding.decision import tuning, warmup
from garnetlanding.emulator.fleet import SECOND, FleetTotals, simulate_fleet

BACKENDS = 20


def simulate_runs(fault: str, instances: int = 40, seeds: int = 2, **changes: Any) -> list[FleetTotals]:
    return [simulate_fleet(fault, instances, 1 + seed, backends=BACKENDS, **changes) for seed in range(seeds)]


def served(runs: list[FleetTotals]) -> float:
    return sum(totals.served_share for totals in runs)


@pytest.mark.parametrize("fault", ["herd", "zone", "join"])
@pytest.mark.parametrize("instances", [4, 40, 100])
def test_rules_hold_for_any_number_of_instances(fault: str, instances: int) -> None:
    for totals in simulate_runs(fault, instances):
        assert totals.unanswered == totals.answered_twice == 0
        assert totals.max_warmup_load <= 1.0, "a backend in warm-up got more than its limit"


@pytest.mark.parametrize("fault", ["herd", "zone", "join"])
@pytest.mark.parametrize("instances", [1, 3, 20, 30])
def test_load_of_all_instances_does_not_overload_slow_backends_in_warmup(fault: str, instances: int) -> None:
    """Backends slower than the instances' estimate, which comes from other backends, are not overloaded.

    Each instance limits its load by the greater of the estimate and its share of the quota.
    """
    for totals in simulate_runs(fault, instances, seeds=3, service_rate=9.0):
        assert totals.unanswered == totals.answered_twice == 0
        assert totals.max_warmup_load <= 1.0, "the limit holds for every seed"


def test_same_seed_gives_the_same_run() -> None:
    assert simulate_fleet("herd", 10, backends=BACKENDS) == simulate_fleet("herd", 10, backends=BACKENDS)


def test_poll_backoff_lets_an_overloaded_discovery_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    with_pauses = simulate_runs("herd")
    monkeypatch.setattr(tuning, "POLL_BACKOFF_PER_INSTANCE_US", 0)
    monkeypatch.setattr(tuning, "OVERLOADED_BACKOFF_PER_INSTANCE_US", 0)
    without = simulate_runs("herd")
    assert 4 * sum(totals.list_calls_failed for totals in with_pauses) < sum(
        totals.list_calls_failed for totals in without
    )
    assert served(with_pauses) > served(without) + 0.02


@pytest.mark.parametrize("fault", ["herd", "zone", "join"])
def test_usual_rate_of_the_plans_lets_backends_in_warmup_work(
    fault: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    planned = simulate_runs(fault, seeds=6)  # with two seeds the effect is no greater than chance
    monkeypatch.setattr(warmup, "planned_load", lambda _state, _queue: 0.0)
    assert served(planned) > served(simulate_runs(fault, seeds=6)) + 0.015


def test_backends_with_few_connections_leave_the_fleet_half_its_value() -> None:
    """A backend at its connection limit refuses further instances on every attempt, but serves the others."""
    unlimited, limited = simulate_runs("zone"), simulate_runs("zone", connection_limit=12)
    assert served(limited) > 0.5 * served(unlimited)
    assert all(totals.unanswered == totals.answered_twice == 0 for totals in limited)


def test_endpoint_list_is_fresh_soon_after_a_discovery_outage() -> None:
    """Six in ten backends are replaced while discovery answers no call."""
    for totals in simulate_runs("join", discovery_outage_us=6 * SECOND):
        assert totals.unanswered == totals.answered_twice == 0
        assert totals.max_warmup_load <= 1.0
        assert 0 < totals.list_calls_failed <= 3 * 40, "each instance polls a few times in six seconds"
    assert served(simulate_runs("join", discovery_outage_us=6 * SECOND)) > 0.7 * served(simulate_runs("join"))


def test_unresponsive_backends_cost_little_more_than_their_own_requests() -> None:
    """A tenth of the backends is unresponsive for the last 17 of 24 s; each instance detects that itself."""
    silent = simulate_runs("zone", unresponsive_share=0.1)
    assert all(totals.unanswered == totals.answered_twice == 0 for totals in silent)
    assert served(silent) > 0.85 * served(simulate_runs("zone"))


PUSHED: dict[str, Any] = dict(
    pushed_lists=True,
    warmup_initial_fraction=0.15,
    overload_multiple=2.0,
    overload_window_us=2 * SECOND,
    warmup_units=10.0,
    service_rate=40.0,
)


@pytest.mark.parametrize("instances", [3, 5, 8])
def test_late_pushed_lists_let_a_quarter_that_died_at_once_recover(instances: int) -> None:
    """All instances learn of it 3 s later, and then send to backends in warm-up at the same moment."""
    for totals in simulate_runs("zone", instances, affected_share=0.5, **PUSHED):
        assert totals.unanswered == totals.answered_twice == totals.list_calls == 0
        assert totals.max_warmup_load <= 1.0


@pytest.mark.parametrize("instances", [3, 8])
def test_pushed_lists_bound_the_cost_of_a_fifth_that_becomes_unresponsive(instances: int) -> None:
    silent = simulate_runs("zone", instances, affected_share=0.0, unresponsive_share=0.2, **PUSHED)
    assert all(totals.unanswered == totals.answered_twice == 0 for totals in silent)
    assert served(silent) > 0.8 * served(simulate_runs("zone", instances, affected_share=0.0, **PUSHED))
