"""Budgets: token buckets for volumes, for retries and for hedged requests."""

from __future__ import annotations

from garnetlanding.decision import interface as api
from garnetlanding.decision import tuning
from garnetlanding.decision.estimators import SlidingWindowSum
from garnetlanding.decision.units import SECOND


class TokenBucket:
    """A token bucket that fills at `rate` tokens a second up to `capacity`."""

    __slots__ = ("capacity", "filled_at", "level", "rate")

    def __init__(self, rate: float, capacity: float, now: int, level: float) -> None:
        self.rate = rate
        self.capacity = capacity
        self.filled_at = now
        self.level = level

    def available(self, now: int) -> float:
        """Fill the bucket up to the time `now` and return its level."""
        self.level = min(self.capacity, self.level + self.rate * (now - self.filled_at) / SECOND)
        self.filled_at = now
        return self.level

    def refit(self, now: int, rate: float, capacity: float) -> None:
        """Fill at another rate up to another level from now on; tokens above that level are lost."""
        self.available(now)
        self.rate = max(rate, 1e-9)
        self.capacity = capacity
        self.level = min(self.level, capacity)


class RetryBudget:
    """Attempts beyond a request's first: some are free, more are earned by arrivals (retry_budget_*)."""

    __slots__ = ("_arrivals", "_retries")

    def __init__(self, window_us: int) -> None:
        # Twice the window: a total is taken up to a clock tick to either side of it.
        self._arrivals = SlidingWindowSum(2 * window_us)
        self._retries = SlidingWindowSum(2 * window_us)

    def record_arrival(self, now: int) -> None:
        """Count an arrival."""
        self._arrivals.add(now)

    def record_retry(self, now: int) -> None:
        """Count an attempt beyond a request's first."""
        self._retries.add(now)

    def allows_retry(self, now: int, settings: api.Settings, share: float) -> bool:
        """Return whether one more fits in; `share`: this instance's part of the free ones, 1 if even.

        Arrivals are counted over a tick less than the window and retries over a tick more, so that an
        observer whose clock is off by a tick finds the budget kept.
        """
        since = now - settings.retry_budget_window_us
        free = settings.retry_budget_floor * settings.process_quota * share
        earned = free + settings.retry_budget_ratio * self._arrivals.total(since + settings.tick_us)
        if settings.retry_budget_window_us == 0:
            return True
        return self._retries.total(since - settings.tick_us) + 1 <= earned


class HedgeBudget:
    """Hedged requests: earned by arrivals where answers get lost and by hedges that answered first."""

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens = tuning.HEDGE_CAPACITY

    def earn_by_arrival(self, lost_share: float) -> None:
        """Add what an arrival earns while that share of the answers gets lost."""
        self._tokens = min(tuning.HEDGE_CAPACITY, self._tokens + min(tuning.HEDGE_EARNED, lost_share))

    def earn_by_win(self) -> None:
        """Add what an answer earns that came before the one of an earlier attempt."""
        self._tokens = min(tuning.HEDGE_CAPACITY, self._tokens + tuning.HEDGE_WON)

    def has_token(self) -> bool:
        """Return whether one more hedge is allowed."""
        return self._tokens >= 1

    def spend(self) -> None:
        """Take the token of one hedge."""
        self._tokens -= 1
