"""Running statistics: sliding-window sums, moving averages, and response statistics of all backends."""

from __future__ import annotations

from collections import deque

from garnetlanding.decision import tuning
from garnetlanding.decision.time_constants import LONG_AGO, SECOND


class SlidingWindowSum:
    """The sum of the amounts added within a sliding window of time.

    The window reaches back at most `span` microseconds. `last_at` is the time of the latest amount.
    """

    __slots__ = ("_items", "_span", "_sum", "last_at")

    def __init__(self, span: int) -> None:
        self._items: deque[tuple[int, float]] = deque()
        self._sum = 0.0
        self._span = span
        self.last_at = LONG_AGO

    def add(self, now: int, amount: float = 1) -> None:
        """Add an amount at the time `now`, which never decreases from call to call."""
        self.total(now - self._span)
        self._items.append((now, amount))
        self._sum += amount
        self.last_at = now

    def total(self, since: int) -> float:
        """Discard the amounts up to the time `since` and return the sum of the later ones.

        `since` never decreases from call to call.
        """
        items = self._items
        while items and items[0][0] <= since:
            self._sum -= items.popleft()[1]
        if not items:
            self._sum = 0.0  # discards the accumulated rounding errors
        return self._sum


class EwmaRate:
    """An exponentially weighted moving average of an amount per second."""

    __slots__ = ("at", "rate")

    def __init__(self) -> None:
        self.rate = 0.0
        self.at = 0

    def add(self, now: int, amount: float, span: int) -> None:
        """Add an amount at the time `now`; the time constant of the average is `span` microseconds."""
        self.rate += amount * SECOND / span - self.rate * min(1.0, (now - self.at) / span)
        self.at = now


class ResponseStatistics:
    """Statistics of the responses of all backends together; each one alone provides too few samples.

    `loss_rate`: fraction of the responses that are lost, at backends that do respond.
    `hedging_delay_us`: a high quantile of the latency, after which an attempt is hedged.
    `mean_latency_us`: the mean latency.
    """

    __slots__ = ("hedging_delay_us", "loss_rate", "mean_latency_us")

    def __init__(self, latency_us: float) -> None:
        self.loss_rate = 0.0
        self.hedging_delay_us = latency_us
        self.mean_latency_us = latency_us

    def record_response(self, latency_us: float, *, is_hedge_win: bool) -> None:
        """Update the statistics by a response.

        `is_hedge_win`: an earlier attempt of the request is still in flight; its response counts as lost.
        """
        self.loss_rate += (is_hedge_win - self.loss_rate) * tuning.SHARED_STATISTICS_GAIN
        is_overdue = latency_us > self.hedging_delay_us
        self.hedging_delay_us *= 1 + tuning.SHARED_STATISTICS_GAIN * (
            is_overdue - tuning.HEDGING_LATE_FRACTION
        )
        self.mean_latency_us += (latency_us - self.mean_latency_us) * tuning.SHARED_STATISTICS_GAIN

    def record_loss(self) -> None:
        """Update the loss rate by an attempt that timed out."""
        self.loss_rate += (1 - self.loss_rate) * tuning.SHARED_STATISTICS_GAIN

    def fault_probability(self, in_flight: int) -> float:
        """Return the probability that a backend with `in_flight` unanswered attempts is faulty.

        The alternative is that all these responses were lost by chance.
        """
        return tuning.FAULT_PRIOR_PROBABILITY / (
            tuning.FAULT_PRIOR_PROBABILITY + float(self.loss_rate ** max(1, in_flight))
        )
