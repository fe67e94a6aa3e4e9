"""Forty instances and their backends on one fake clock: sums that no instance sees, each fix on and off."""

from __future__ import annotations

from typing import Any

import pytest

from garnetlanding.decision import tuning, warmup
from garnetlanding.emulator.fleet import SECOND, Tally, play

BACKENDS = 20


def days(fault: str, instances: int = 40, seeds: int = 2, **changes: Any) -> list[Tally]:
    return [play(fault, instances, 1 + seed, backends=BACKENDS, **changes) for seed in range(seeds)]


def served(tallies: list[Tally]) -> float:
    return sum(t.served_share for t in tallies)


@pytest.mark.parametrize("fault", ["herd", "zone", "join"])
@pytest.mark.parametrize("instances", [4, 40, 100])
def test_rules_hold_for_any_number_of_instances(fault: str, instances: int) -> None:
    for tally in days(fault, instances):
        assert tally.unanswered == tally.answered_twice == 0
        assert tally.max_warmup_load <= 1.0, "a warming backend was sent more than it bears"


@pytest.mark.parametrize("fault", ["herd", "zone", "join"])
@pytest.mark.parametrize("instances", [1, 3, 20, 30])
def test_warming_backends_of_half_strength_bear_the_sum_of_all_instances(fault: str, instances: int) -> None:
    """An instance's estimate stems from another backend; each uses the greater of it and its quota share."""
    for tally in days(fault, instances, seeds=3, service_rate=9.0):
        assert tally.unanswered == tally.answered_twice == 0
        assert tally.max_warmup_load <= 1.0, "chance is not counted on"


def test_same_seed_gives_the_same_run() -> None:
    assert play("herd", 10, backends=BACKENDS) == play("herd", 10, backends=BACKENDS)


def test_poll_backoff_lets_an_overloaded_discovery_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    with_pauses = days("herd")
    monkeypatch.setattr(tuning, "POLL_BACKOFF_PER_INSTANCE_US", 0)
    monkeypatch.setattr(tuning, "OVERLOADED_BACKOFF_PER_INSTANCE_US", 0)
    without = days("herd")
    assert 4 * sum(t.list_calls_failed for t in with_pauses) < sum(t.list_calls_failed for t in without)
    assert served(with_pauses) > served(without) + 0.02


@pytest.mark.parametrize("fault", ["herd", "zone", "join"])
def test_usual_rate_of_the_plans_lets_warming_backends_work(
    fault: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    foreseen = days(fault, seeds=6)  # two days alone differ by chance as much as by this
    monkeypatch.setattr(warmup, "planned_load", lambda _state, _queue: 0.0)
    assert served(foreseen) > served(days(fault, seeds=6)) + 0.015


def test_backend_with_few_connections_costs_the_others_nothing() -> None:
    """Instances that it has no connection left for get a refused connection each time, and the rest go on."""
    free, scarce = days("zone"), days("zone", connection_limit=12)
    assert served(scarce) > 0.5 * served(free)
    assert all(t.unanswered == t.answered_twice == 0 for t in scarce)


def test_endpoint_list_is_fresh_soon_after_a_discovery_outage() -> None:
    """Six in ten backends are replaced while discovery answers nobody."""
    for tally in days("join", discovery_outage_us=6 * SECOND):
        assert tally.unanswered == tally.answered_twice == 0
        assert tally.max_warmup_load <= 1.0
        assert 0 < tally.list_calls_failed <= 3 * 40, "each instance polls a few times in six seconds"
    assert served(days("join", discovery_outage_us=6 * SECOND)) > 0.7 * served(days("join"))


def test_unresponsive_backends_cost_little_more_than_their_own_requests() -> None:
    """Each instance finds them by itself; a tenth of the backends for the last 17 of 24 seconds."""
    silent = days("zone", unresponsive_share=0.1)
    assert all(t.unanswered == t.answered_twice == 0 for t in silent)
    assert served(silent) > 0.85 * served(days("zone"))


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
    """No instance learns of it until 3 s after; all then send to warming backends in the same instant."""
    for tally in days("zone", instances, affected_share=0.5, **PUSHED):
        assert tally.unanswered == tally.answered_twice == tally.list_calls == 0
        assert tally.max_warmup_load <= 1.0


@pytest.mark.parametrize("instances", [3, 8])
def test_pushed_lists_bound_the_cost_of_a_fifth_that_becomes_unresponsive(instances: int) -> None:
    silent = days("zone", instances, affected_share=0.0, unresponsive_share=0.2, **PUSHED)
    assert all(t.unanswered == t.answered_twice == 0 for t in silent)
    assert served(silent) > 0.8 * served(days("zone", instances, affected_share=0.0, **PUSHED))
