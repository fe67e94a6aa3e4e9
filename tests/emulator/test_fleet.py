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
def test_the_rules_hold_however_many_heads_there_are(kind: str, heads: int) -> None:
    for tally in days(kind, heads):
        assert tally.unanswered == tally.twice == 0
        assert tally.cold_peak <= 1.0, "a cold brick was sent more than it bears"


@pytest.mark.parametrize("kind", ["herd", "zone", "join"])
@pytest.mark.parametrize("heads", [1, 3, 20, 30])
def test_cold_bricks_bear_the_sum_of_all_heads_though_half_as_strong_as_before(kind: str, heads: int) -> None:
    """What a head learnt of a cell it learnt of another brick; each uses the greater of that and its part."""
    for tally in days(kind, heads, seeds=3, rate=9.0):
        assert tally.unanswered == tally.twice == 0
        assert tally.cold_peak <= 1.0, "chance is not counted on"


def test_a_day_is_the_same_each_time() -> None:
    assert play("herd", 10, bricks=BRICKS) == play("herd", 10, bricks=BRICKS)


def test_list_calls_leave_an_overbooked_discovery_able_to_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    with_pauses = days("herd")
    monkeypatch.setattr(tuning, "POLL_BACKOFF_PER_INSTANCE", 0)
    monkeypatch.setattr(tuning, "POLL_QUEUE_PER_INSTANCE", 0)
    without = days("herd")
    assert 4 * sum(t.calls_failed for t in with_pauses) < sum(t.calls_failed for t in without)
    assert served(with_pauses) > served(without) + 0.02


@pytest.mark.parametrize("kind", ["herd", "zone", "join"])
def test_what_the_plans_foresee_lets_cold_bricks_work(kind: str, monkeypatch: pytest.MonkeyPatch) -> None:
    foreseen = days(kind, seeds=6)  # two days alone differ by chance as much as by this
    monkeypatch.setattr(warmup, "planned_load", lambda _state, _queue: 0.0)
    assert served(foreseen) > served(days(kind, seeds=6)) + 0.015


def test_a_brick_that_takes_few_connections_costs_the_others_nothing() -> None:
    """Heads that it has no place for get a refused connection each time, and the rest go on."""
    free, scarce = days("zone"), days("zone", connections=12)
    assert served(scarce) > 0.5 * served(free)
    assert all(t.unanswered == t.twice == 0 for t in scarce)


def test_discovery_that_is_down_while_bricks_are_replaced_is_heard_again_soon() -> None:
    """Six in ten bricks go while nobody can be told."""
    for tally in days("join", down_us=6 * SECOND):
        assert tally.unanswered == tally.twice == 0
        assert tally.cold_peak <= 1.0
        assert 0 < tally.calls_failed <= 3 * 40, "each head asks a few times in six seconds"
    assert served(days("join", down_us=6 * SECOND)) > 0.7 * served(days("join"))


def test_bricks_that_take_work_and_never_answer_cost_little_more_than_their_own() -> None:
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
def test_where_lists_are_pushed_late_a_quarter_that_dies_at_once_comes_back_and_bears_it(heads: int) -> None:
    """No head is told until 3 s after; all then meet cold bricks in the same instant."""
    for tally in days("zone", heads, part=0.5, **PUSHED):
        assert tally.unanswered == tally.twice == tally.calls == 0
        assert tally.cold_peak <= 1.0


@pytest.mark.parametrize("heads", [3, 8])
def test_where_lists_are_pushed_a_fifth_that_falls_silent_costs_little_more_than_its_own(heads: int) -> None:
    silent = days("zone", heads, part=0.0, silent=0.2, **PUSHED)
    assert all(t.unanswered == t.twice == 0 for t in silent)
    assert served(silent) > 0.8 * served(days("zone", heads, part=0.0, **PUSHED))
