"""The staleness guard: a follower does not use a copy that is too old."""

from __future__ import annotations

import random

import pytest

from garnetlanding.store.staleness_guard import StalenessGuard
from tests.support.clock import SECOND

DRIFT = 0.01


def max_staleness_in_use(seed: int, guard_type: type[StalenessGuard]) -> float:
    """Return the maximum age of a missing change while the copy was in use, in multiples of the bound.

    The writer makes a change each second. The follower's clock drifts, its queries and replies are delayed or
    lost, and it is paused at times.
    """
    rng = random.Random(seed)
    clock_rate = 1 + rng.uniform(-DRIFT / 2, DRIFT / 2)
    guard = guard_type(SECOND, DRIFT, 0)
    queries: list[tuple[int, int]] = []  # time of arrival, number
    replies: list[tuple[int, int, int]] = []  # time of arrival, number, revision
    copied_revision, paused_until, next_query_at, max_staleness = 0, 0, 0, 0.0
    for now in range(0, 30 * SECOND, SECOND // 100):
        writer_revision = now // SECOND
        for arrives_at, number in [query for query in queries if query[0] <= now]:
            queries.remove((arrives_at, number))
            if rng.random() < 0.8:
                replies.append((now + rng.randrange(1, 2 * SECOND), number, writer_revision))
        if now < paused_until:
            continue
        local_now = int(now * clock_rate)
        for arrives_at, number, revision in sorted(reply for reply in replies if reply[0] <= now):
            replies.remove((arrives_at, number, revision))
            copied_revision = max(copied_revision, revision)
            guard.reply_received(number)
        if local_now >= next_query_at:
            next_query_at = local_now + guard.query_interval_us
            queries.append((now + rng.randrange(1, SECOND), guard.next_query(local_now)))
        if guard.is_current(local_now) and copied_revision < writer_revision:
            missing_since = (copied_revision + 1) * SECOND
            max_staleness = max(max_staleness, (now - missing_since) / SECOND)
        if rng.random() < 0.002:
            paused_until = now + rng.randrange(SECOND, 4 * SECOND)
    return max_staleness


def test_a_copy_staler_than_the_bound_is_never_used() -> None:
    max_staleness = max(max_staleness_in_use(seed, StalenessGuard) for seed in range(300))
    assert 0.5 < max_staleness < 1.0


class ValidFromReceipt(StalenessGuard):
    """A faulty guard: a reply proves freshness as of its arrival."""

    now = 0

    def is_current(self, now: int) -> bool:
        self.now = now
        return super().is_current(now)

    def reply_received(self, _number: int) -> None:
        self.fresh_until = self.now + self._validity_us


class AnyReplyForTheLastQuery(StalenessGuard):
    """A faulty guard: a reply to any query counts as the reply to the newest."""

    def reply_received(self, _number: int) -> None:
        super().reply_received(self._last_number)


class NeverStale(StalenessGuard):
    """A faulty guard: once fresh, the copy counts as fresh forever."""

    def is_current(self, _now: int) -> bool:
        return self.fresh_until > 0


@pytest.mark.parametrize("broken_guard", [ValidFromReceipt, AnyReplyForTheLastQuery, NeverStale])
def test_broken_guard_exceeds_the_bound(broken_guard: type[StalenessGuard]) -> None:
    assert any(max_staleness_in_use(seed, broken_guard) >= 1.0 for seed in range(60))


def test_validity_starts_at_the_query_and_is_shortened_by_the_clock_drift() -> None:
    guard = StalenessGuard(SECOND, DRIFT, now=0)
    assert not guard.is_current(0), "a follower is stale until the first reply"
    guard.reply_received(guard.next_query(100))
    assert guard.fresh_until == 100 + int(SECOND / (1 + DRIFT))
    assert guard.is_current(guard.fresh_until - 1)
    assert not guard.is_current(guard.fresh_until)


def test_a_late_reply_to_an_older_query_does_not_shorten_the_validity() -> None:
    guard = StalenessGuard(SECOND, DRIFT, now=0)
    older, newer = guard.next_query(0), guard.next_query(SECOND // 4)
    guard.reply_received(newer)
    fresh_until = guard.fresh_until
    guard.reply_received(older)
    assert guard.fresh_until == fresh_until


def test_queries_too_old_to_prove_freshness_are_discarded() -> None:
    guard = StalenessGuard(SECOND, DRIFT, now=0)
    for number in range(1000):
        guard.next_query(number * guard.query_interval_us)
    assert len(guard._sent_at) <= 4
