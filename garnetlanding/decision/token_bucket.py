"""Token buckets, and the budgets of retries and hedged requests."""

from __future__ import annotations

from garnetlanding.decision import interface as api
from garnetlanding.decision import tuning
from garnetlanding.decision.estimators import SlidingWindowSum
from garnetlanding.decision.time_constants import SECOND


class TokenBucket:
    """A token bucket that fills at `rate` tokens per second up to `capacity`.

    `level` is the number of tokens at the time `refilled_at`; spend tokens by lowering it.
    """

    __slots__ = ("capacity", "level", "rate", "refilled_at")

    def __init__(self, rate: float, capacity: float, now: int, level: float) -> None:
        self.rate = rate
        self.capacity = capacity
        self.refilled_at = now
        self.level = level

    def refill(self, now: int) -> float:
        """Add the tokens earned up to `now` and return the new level."""
        self.level = min(self.capacity, self.level + self.rate * (now - self.refilled_at) / SECOND)
        self.refilled_at = now
        return self.level

    def reconfigure(self, now: int, rate: float, capacity: float) -> None:
        """Change rate and capacity from now on; tokens above the new capacity are lost."""
        self.refill(now)
        self.rate = max(rate, tuning.MIN_DIVISOR)
        self.capacity = capacity
        self.level = min(self.level, capacity)


class RetryBudget:
    """Bounds retries within a sliding window: a fixed number and a fraction of the arrivals."""

    __slots__ = ("_arrivals", "_retries")

    def __init__(self, window_us: int) -> None:
        # Amounts are kept for twice the window, since totals reach up to a clock tick beyond it.
        self._arrivals = SlidingWindowSum(2 * window_us)
        self._retries = SlidingWindowSum(2 * window_us)

    def record_arrival(self, now: int) -> None:
        """Count an arrival."""
        self._arrivals.add(now)

    def record_retry(self, now: int) -> None:
        """Count an attempt after a request's first."""
        self._retries.add(now)

    def allows_retry(self, now: int, settings: api.Settings, quota: float) -> bool:
        """Return whether the budget allows one more retry.

        `quota` is this instance's quota of the fixed number of retries, as a multiple of an equal quota.
        Arrivals are counted over one tick less than the window and retries over one tick more, so that the
        budget also holds by a clock that differs by a tick.
        """
        since = now - settings.retry_budget_window_us
        fixed = settings.retry_budget_floor * settings.process_quota * quota
        allowed = fixed + settings.retry_budget_ratio * self._arrivals.total(since + settings.tick_us)
        if settings.retry_budget_window_us == 0:
            return True
        return self._retries.total(since - settings.tick_us) + 1 <= allowed


class HedgeBudget:
    """Bounds hedged requests: arrivals add tokens while responses are lost, and so do hedges that win."""

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens = tuning.HEDGE_MAX_TOKENS

    def record_arrival(self, loss_rate: float) -> None:
        """Add the tokens of an arrival, by the fraction of the responses that are lost."""
        self._tokens = min(
            tuning.HEDGE_MAX_TOKENS, self._tokens + min(tuning.HEDGE_MAX_TOKENS_PER_ARRIVAL, loss_rate)
        )

    def record_win(self) -> None:
        """Add the tokens for a hedged attempt that was served before the earlier attempt."""
        self._tokens = min(tuning.HEDGE_MAX_TOKENS, self._tokens + tuning.HEDGE_TOKENS_PER_WIN)

    def has_token(self) -> bool:
        """Return whether one more hedge is allowed."""
        return self._tokens >= 1

    def spend(self) -> None:
        """Spend the token of one hedge."""
        self._tokens -= 1
