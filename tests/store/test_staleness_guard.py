"""The staleness guard: no instance acts on data that is too old."""

from __future__ import annotations

import random

import pytest

from garnetlanding.store.staleness_guard import StalenessGuard
from tests.support.clock import SECOND

DRIFT = 0.01


def longest_stale_action(seed: int, guard_type: type[StalenessGuard]) -> float:
    """Return how long after a change a follower last acted without it, in bounds of staleness.

    Its clock drifts, its queries and replies are late or lost, and it stands still at times; the writer makes
    a change each second.
    """
    rng = random.Random(seed)
    pace = 1 + rng.uniform(-DRIFT / 2, DRIFT / 2)
    guard = guard_type(SECOND, DRIFT, 0)
    asked, answers = list[tuple[int, int]](), list[tuple[int, int, int]]()  # when it comes, number, revision
    known, asleep, ask_at, worst = 0, 0, 0, 0.0
    for now in range(0, 30 * SECOND, SECOND // 100):
        revision = now // SECOND
        for when, number in [a for a in asked if a[0] <= now]:
            asked.remove((when, number))
            if rng.random() < 0.8:
                answers.append((now + rng.randrange(1, 2 * SECOND), number, revision))
        if now < asleep:
            continue
        mine = int(now * pace)
        for when, number, told in sorted(a for a in answers if a[0] <= now):
            answers.remove((when, number, told))
            known = max(known, told)
            guard.reply_received(number)
        if mine >= ask_at:
            ask_at = mine + guard.query_interval_us
            asked.append((now + rng.randrange(1, SECOND), guard.next_query(mine)))
        if guard.is_current(mine) and known < revision:
            worst = max(worst, (now - (known + 1) * SECOND) / SECOND)
        if rng.random() < 0.002:
            asleep = now + rng.randrange(SECOND, 4 * SECOND)
    return worst


def test_guarded_instance_never_acts_on_a_copy_staler_than_its_bound() -> None:
    worst = max(longest_stale_action(seed, StalenessGuard) for seed in range(300))
    assert 0.5 < worst < 1.0


class ValidFromReceipt(StalenessGuard):
    """A fault: a reply counts from when it came."""

    now = 0

    def is_current(self, now: int) -> bool:
        self.now = now
        return super().is_current(now)

    def reply_received(self, _number: int) -> None:
        self.current_until = self.now + self._validity_us


class AnyReplyForTheLastQuery(StalenessGuard):
    """A fault: a reply to any query counts as one to the last."""

    def reply_received(self, _number: int) -> None:
        super().reply_received(self._number)


class NeverStale(StalenessGuard):
    """A fault: once current, always current."""

    def is_current(self, _now: int) -> bool:
        return self.current_until > 0


@pytest.mark.parametrize("broken_guard", [ValidFromReceipt, AnyReplyForTheLastQuery, NeverStale])
def test_broken_guard_exceeds_the_bound(broken_guard: type[StalenessGuard]) -> None:
    assert any(longest_stale_action(seed, broken_guard) >= 1.0 for seed in range(60))
