"""The staleness guard: no instance acts on data that is too old."""

from __future__ import annotations

import random

import pytest

from garnetlanding.store.staleness_guard import StalenessGuard
from tests.support.clock import SECOND

# Who is current

DRIFT = 0.01


def acting_late(seed: int, currency: type[StalenessGuard]) -> float:
    """One follower whose clock runs apart and whose messages are late or lost, and that stands still at
    times; a change at the writer each second. How long after a change it last acted on less, beside the
    bound."""
    rng = random.Random(seed)
    pace = 1 + rng.uniform(-DRIFT / 2, DRIFT / 2)
    one = currency(SECOND, DRIFT, 0)
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
            one.reply_received(number)
        if mine >= ask_at:
            ask_at = mine + one.query_interval_us
            asked.append((now + rng.randrange(1, SECOND), one.next_query(mine)))
        if one.is_current(mine) and known < revision:
            worst = max(worst, (now - (known + 1) * SECOND) / SECOND)
        if rng.random() < 0.002:
            asleep = now + rng.randrange(SECOND, 4 * SECOND)
    return worst


def test_no_head_acts_on_what_is_older_than_it_may_be_behind() -> None:
    worst = max(acting_late(seed, StalenessGuard) for seed in range(300))
    assert 0.5 < worst < 1.0


class FromWhenItCame(StalenessGuard):
    """A bug: an answer counts from when it came."""

    now = 0

    def is_current(self, now: int) -> bool:
        self.now = now
        return super().is_current(now)

    def reply_received(self, _number: int) -> None:
        self.current_until = self.now + self._validity_us


class AnyAnswer(StalenessGuard):
    """A bug: an answer to whatever question counts as one to the last."""

    def reply_received(self, _number: int) -> None:
        super().reply_received(self._number)


class NoEnd(StalenessGuard):
    """A bug: once current, always current."""

    def is_current(self, _now: int) -> bool:
        return self.current_until > 0


@pytest.mark.parametrize("bug", [FromWhenItCame, AnyAnswer, NoEnd])
def test_a_bug_put_in_on_purpose_is_found(bug: type[StalenessGuard]) -> None:
    assert any(acting_late(seed, bug) >= 1.0 for seed in range(60))
