"""Forty heads and their bricks on one fake clock: sums that no head sees, with each fix and without it."""

from __future__ import annotations

from typing import Any

import pytest

from garnetlanding.decision import tuning, warmup
from garnetlanding.emulator.fleet import SECOND, Tally, play

BRICKS = 20


def days(kind: str, heads: int = 40, seeds: int = 2, **changes: Any) -> list[Tally]:
    return [play(kind, heads, 1 + seed, bricks=BRICKS, **changes) for seed in range(seeds)]


def served(tallies: list[Tally]) -> float:
    return sum(t.served for t in tallies)


@pytest.mark.parametrize("kind", ["herd", "zone", "join"])
@pytest.mark.parametrize("heads", [4, 40, 100])
def test_rules_hold_for_any_number_of_instances(kind: str, heads: int) -> None:
    for tally in days(kind, heads):
        assert tally.unanswered == tally.twice == 0
        assert tally.cold_peak <= 1.0, "a cold brick was sent more than it bears"


@pytest.mark.parametrize("kind", ["herd", "zone", "join"])
@pytest.mark.parametrize("heads", [1, 3, 20, 30])
def test_warming_backends_of_half_strength_bear_the_sum_of_all_instances(kind: str, heads: int) -> None:
    """What a head learnt of a cell it learnt of another brick; each uses the greater of that and its part."""
    for tally in days(kind, heads, seeds=3, rate=9.0):
        assert tally.unanswered == tally.twice == 0
        assert tally.cold_peak <= 1.0, "chance is not counted on"


def test_same_seed_gives_the_same_run() -> None:
    assert play("herd", 10, bricks=BRICKS) == play("herd", 10, bricks=BRICKS)


def test_poll_backoff_lets_an_overloaded_discovery_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    with_pauses = days("herd")
    monkeypatch.setattr(tuning, "POLL_BACKOFF_PER_INSTANCE", 0)
    monkeypatch.setattr(tuning, "POLL_QUEUE_PER_INSTANCE", 0)
    without = days("herd")
    assert 4 * sum(t.calls_failed for t in with_pauses) < sum(t.calls_failed for t in without)
    assert served(with_pauses) > served(without) + 0.02


@pytest.mark.parametrize("kind", ["herd", "zone", "join"])
def test_usual_rate_of_the_plans_lets_warming_backends_work(
    kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    foreseen = days(kind, seeds=6)  # two days alone differ by chance as much as by this
    monkeypatch.setattr(warmup, "planned_load", lambda _state, _queue: 0.0)
    assert served(foreseen) > served(days(kind, seeds=6)) + 0.015


def test_backend_with_few_connections_costs_the_others_nothing() -> None:
    """Heads that it has no place for get a refused connection each time, and the rest go on."""
    free, scarce = days("zone"), days("zone", connections=12)
    assert served(scarce) > 0.5 * served(free)
    assert all(t.unanswered == t.twice == 0 for t in scarce)


def test_endpoint_list_is_fresh_soon_after_a_discovery_outage() -> None:
    """Six in ten bricks go while nobody can be told."""
    for tally in days("join", down_us=6 * SECOND):
        assert tally.unanswered == tally.twice == 0
        assert tally.cold_peak <= 1.0
        assert 0 < tally.calls_failed <= 3 * 40, "each head asks a few times in six seconds"
    assert served(days("join", down_us=6 * SECOND)) > 0.7 * served(days("join"))


def test_unresponsive_backends_cost_little_more_than_their_own_requests() -> None:
    """Each head meets such a brick by itself; a tenth of them are silent for the last 17 of 24 seconds."""
    silent = days("zone", silent=0.1)
    assert all(t.unanswered == t.twice == 0 for t in silent)
    assert served(silent) > 0.85 * served(days("zone"))


PUSHED: dict[str, Any] = dict(
    pushed=True,
    warmup_initial_share=0.15,
    overload_multiple=2.0,
    overload_window_us=2 * SECOND,
    warmup_units=10.0,
    rate=40.0,
)


@pytest.mark.parametrize("heads", [3, 5, 8])
def test_late_pushed_lists_let_a_quarter_that_died_at_once_recover(heads: int) -> None:
    """No head is told until 3 s after; all then meet cold bricks in the same instant."""
    for tally in days("zone", heads, part=0.5, **PUSHED):
        assert tally.unanswered == tally.twice == tally.calls == 0
        assert tally.cold_peak <= 1.0


@pytest.mark.parametrize("heads", [3, 8])
def test_pushed_lists_bound_the_cost_of_a_fifth_that_becomes_unresponsive(heads: int) -> None:
    silent = days("zone", heads, part=0.0, silent=0.2, **PUSHED)
    assert all(t.unanswered == t.twice == 0 for t in silent)
    assert served(silent) > 0.8 * served(days("zone", heads, part=0.0, **PUSHED))
