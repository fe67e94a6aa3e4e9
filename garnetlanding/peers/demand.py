"""The estimate of what this instance needs of one limit that all instances of the fleet share."""

from __future__ import annotations

from dataclasses import dataclass, field

from garnetlanding.decision.estimators import EwmaRate, SlidingWindowSum
from garnetlanding.decision.units import SECOND
from garnetlanding.peers.limits import PeerLimits


@dataclass(slots=True)
class Demand:
    """What this instance needs of one volume's limit, or of one budget.

    A budget is a limit with a window: `limit * window_us` units may be spent within any span of that length.
    Times are microseconds of this instance's clock.
    """

    name: str
    hosts: int  # instances that the limit is divided among
    limit: float  # units a second, of all instances together
    rate: EwmaRate = field(default_factory=EwmaRate)  # of the units that were requested here
    requested_by: dict[int, int] = field(default_factory=dict)  # peers that want a share too, and when last
    window_us: int = 0  # of a budget; 0: a limit on the rate alone
    spent: SlidingWindowSum | None = None  # of a budget: what was spent lately
    in_use: float = 0.0  # of a budget: units taken until they are given back, such as open connections

    def locked_share(self, now: int, longest_window_us: int) -> float:
        """Return the share of a budget that was spent lately or is in use.

        Nobody may spend it again before its window has passed, so it cannot be granted.
        """
        if self.spent is None:
            return 0.0
        units = self.in_use + self.spent.total(now - longest_window_us)
        return units / (self.limit * self.window_us / SECOND)

    def wanted_share(self, now: int, limits: PeerLimits) -> float:
        """Return the share of the limit that this instance could use, with some headroom to grow."""
        rate = self.rate.rate * max(0.0, 1 - (now - self.rate.at) / limits.demand_window_us)
        in_use_rate = 0.0
        if self.in_use:
            in_use_rate = self.in_use * SECOND / self.window_us
        return min(1.0, limits.headroom * (rate + in_use_rate) / self.limit)
