"""The estimate of what this instance needs of the limits and budgets that all instances of the fleet share.

A budget is a limit with a window: `limit * window_us` units may be spent within any span of that length.
Times are microseconds of this instance's clock. Limits and budgets are identified by the `name_tag` of
their names.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from garnetlanding.decision.estimators import EwmaRate, SlidingWindowSum
from garnetlanding.decision.units import SECOND
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.name_tag import name_tag

MIN_HOSTS = 2  # that a limit is shared by


@dataclass(slots=True)
class BudgetUsage:
    """What this instance spends of one budget."""

    window_us: int
    spent: SlidingWindowSum  # units spent lately
    in_use: float = 0.0  # units taken until they are given back, such as open connections


@dataclass(slots=True)
class Demand:
    """What this instance needs of one volume's limit, or of one budget."""

    name: str
    hosts: int  # instances that the limit is divided among
    limit: float  # units a second, of all instances together
    rate: EwmaRate = field(default_factory=EwmaRate)  # of the units that were requested here
    requested_by: dict[int, int] = field(default_factory=dict)  # peers that request a quota, and when last
    budget: BudgetUsage | None = None  # None: a limit on the rate alone

    @property
    def budget_size(self) -> float:
        """The units that all instances together may spend within the window; 0 without a window."""
        return self.limit * self.budget.window_us / SECOND if self.budget else 0.0

    def wanted_quota(self, now: int, limits: PeerLimits) -> float:
        """Return the quota that this instance could use, with some headroom to grow."""
        rate = self.rate.rate * max(0.0, 1 - (now - self.rate.at) / limits.demand_window_us)
        in_use_rate = 0.0
        if self.budget and self.budget.in_use:
            in_use_rate = self.budget.in_use * SECOND / self.budget.window_us
        return min(1.0, limits.demand_headroom * (rate + in_use_rate) / self.limit)

    def locked_quota(self, now: int, longest_window_us: int) -> float:
        """Return the quota of a budget that was spent lately or is in use.

        It cannot be granted, since nobody may spend it again before its window has passed.
        """
        if self.budget is None:
            return 0.0
        units = self.budget.in_use + self.budget.spent.total(now - longest_window_us)
        return units / self.budget_size

    def recent_requesters(self, now: int, limits: PeerLimits) -> list[int]:
        """Return the peers that have requested a quota within `demand_ttl_us`."""
        return [
            peer
            for peer, requested_at in self.requested_by.items()
            if now - requested_at <= limits.demand_ttl_us
        ]

    def known_hosts(self, now: int, limits: PeerLimits) -> list[int]:
        """Return the peers that are known to be among the hosts, since they request a quota.

        If as many peers request it as there are hosts, the hosts have changed, and none is known.
        """
        requesters = self.recent_requesters(now, limits)
        return requesters if len(requesters) < self.hosts else []

    def is_idle(self, quota: float, now: int, limits: PeerLimits) -> bool:
        """Return whether the demand can be forgotten while this instance has the given quota.

        The decision module may keep requests queued for long after they arrived, and for that time it has to
        be informed of what is granted to others.
        """
        is_unused = now - self.rate.at > limits.demand_ttl_us
        in_use = self.budget is not None and self.budget.in_use > 0
        return is_unused and quota == 1 / self.hosts and not in_use


class DemandTable:
    """The demands of one instance, by the tag of their names."""

    def __init__(self, limits: PeerLimits, longest_window_us: int | None = None) -> None:
        """`longest_window_us` is the longest window of the budgets; None where no demand is for a budget."""
        self._limits = limits
        self._longest_window_us = longest_window_us
        self.by_tag: dict[int, Demand] = {}

    def record(self, name: str, hosts: int, limit: float, units: float, now: int, window_us: int = 0) -> bool:
        """Record that `units` were requested; return whether the quota has to be computed anew.

        `limit` is in units a second, over all `hosts` instances; `window_us` is the window of a budget. A
        limit that is not shared is ignored.
        """
        if hosts < MIN_HOSTS or limit <= 0:
            return False
        tag = name_tag(name)
        demand = self.by_tag.get(tag)
        is_changed = demand is None or (demand.hosts, demand.limit) != (hosts, limit)
        if demand is None:
            demand = Demand(name, hosts, limit, budget=self._new_budget(window_us))
        elif is_changed:
            # The hosts may be other instances than before: their requests identify them anew.
            budget = replace(demand.budget, window_us=window_us) if demand.budget else None
            demand = replace(demand, name=name, hosts=hosts, limit=limit, requested_by={}, budget=budget)
        if is_changed:
            self.by_tag[tag] = demand
        demand.rate.add(now, units, self._limits.demand_window_us)
        return is_changed

    def _new_budget(self, window_us: int) -> BudgetUsage | None:
        if self._longest_window_us is None:
            return None
        return BudgetUsage(window_us, SlidingWindowSum(self._longest_window_us))

    def record_spent(self, budget: str, units: float, now: int) -> None:
        """Record that units of a budget were spent; ignored without a demand for the budget."""
        demand = self.by_tag.get(name_tag(budget))
        if demand is not None and demand.budget is not None:
            demand.budget.spent.add(now, units)

    def set_in_use(self, budget: str, units: float) -> None:
        """Set how many units of a budget are in use from now on; ignored without a demand for the budget."""
        demand = self.by_tag.get(name_tag(budget))
        if demand is not None and demand.budget is not None:
            demand.budget.in_use = units

    def recent_requesters(self, now: int) -> set[int]:
        """Return the peers that lately requested a quota of something that is requested here too."""
        return {
            peer for demand in self.by_tag.values() for peer in demand.recent_requesters(now, self._limits)
        }

    def wanted_quotas(self, now: int) -> list[tuple[float, int]]:
        """Return each wanted quota above zero with the tag of its demand, the greatest first."""
        quotas = ((demand.wanted_quota(now, self._limits), tag) for tag, demand in self.by_tag.items())
        return sorted((item for item in quotas if item[0] > 0), reverse=True)
