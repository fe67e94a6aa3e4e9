"""Running statistics: sums over a sliding window, averages, and what all backends teach together."""

from __future__ import annotations

from collections import deque

from garnetlanding.decision import tuning
from garnetlanding.decision.units import LONG_AGO, SECOND


class SlidingWindowSum:
    """The sum of amounts added within a window of time; older ones are forgotten.

    A sum reaches back at most `span` microseconds. `last_at` is the time of the latest amount.
    """

    __slots__ = ("_items", "_span", "_sum", "last_at")

    def __init__(self, span: int) -> None:
        self._items: deque[tuple[int, float]] = deque()
        self._sum = 0.0
        self._span = span
        self.last_at = LONG_AGO

    def add(self, now: int, amount: float = 1) -> None:
        """Add an amount at the time `now`, which never goes back from call to call."""
        self.total(now - self._span)
        self._items.append((now, amount))
        self._sum += amount
        self.last_at = now

    def total(self, since: int) -> float:
        """Return the sum of the amounts later than `since`, which never goes back from call to call."""
        items = self._items
        while items and items[0][0] <= since:
            self._sum -= items.popleft()[1]
        if not items:
            self._sum = 0.0  # without the rounding errors of many subtractions
        return self._sum


class EwmaRate:
    """An exponentially weighted moving average of an amount per second."""

    __slots__ = ("at", "rate")

    def __init__(self) -> None:
        self.rate = 0.0
        self.at = 0

    def add(self, now: int, amount: float, span: int) -> None:
        """Add an amount at the time `now`; the average's memory is about `span` microseconds."""
        self.rate += amount * SECOND / span - self.rate * min(1.0, (now - self.at) / span)
        self.at = now


class ResponseStatistics:
    """What the answers of all backends teach together; one backend is heard of too seldom.

    `lost_share`: share of the answers that get lost, among backends that do answer.
    `hedging_delay_us`: a high quantile of the latency; an answer is overdue beyond it.
    `mean_latency_us`: the mean latency.
    """

    __slots__ = ("hedging_delay_us", "lost_share", "mean_latency_us")

    def __init__(self, latency_us: float) -> None:
        self.lost_share = 0.0
        self.hedging_delay_us = latency_us
        self.mean_latency_us = latency_us

    def record_answer(self, latency_us: float, overtook: bool) -> None:
        """Take in an answer; `overtook`: an earlier attempt of its request has not answered yet."""
        self.lost_share += (overtook - self.lost_share) * tuning.POOL_GAIN
        overdue = latency_us > self.hedging_delay_us
        self.hedging_delay_us *= 1 + tuning.POOL_GAIN * (overdue - tuning.HEDGING_QUANTILE)
        self.mean_latency_us += (latency_us - self.mean_latency_us) * tuning.POOL_GAIN

    def record_lost(self) -> None:
        """Take in an answer that never came."""
        self.lost_share += (1 - self.lost_share) * tuning.POOL_GAIN

    def fault_probability(self, in_flight: int) -> float:
        """Return how likely a backend is at fault when so many attempts there are without an answer.

        The other explanation is that all these answers got lost by chance.
        """
        return tuning.FAULT_PRIOR / (tuning.FAULT_PRIOR + float(self.lost_share ** max(1, in_flight)))
