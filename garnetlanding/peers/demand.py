"""Estimates this instance's demand for the limits and budgets that the instances of a fleet share.

A budget is a limit with a window: at most `limit` times the window's length may be spent within any window.
Times are microseconds of this instance's clock. Limits and budgets are identified by the `name_tag` of their
names.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from garnetlanding.decision.estimators import EwmaRate, SlidingWindowSum
from garnetlanding.decision.time_constants import SECOND
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.name_tag import name_tag

MIN_HOSTS = 2  # with fewer hosts, a limit is not shared


@dataclass(slots=True)
class BudgetUsage:
    """Consumption of one budget at this instance."""

    window_us: int
    spent: SlidingWindowSum  # units spent within the longest window
    in_use: float = 0.0  # units held until they are released, such as open connections


@dataclass(slots=True)
class Demand:
    """Demand for one volume's limit, or for one budget, at this instance."""

    name: str
    hosts: int  # number of instances that share the limit
    limit: float  # units per second, of all instances together
    rate: EwmaRate = field(default_factory=EwmaRate)  # of the units requested at this instance
    last_request_by_peer: dict[int, int] = field(
        default_factory=dict
    )  # when each peer last requested a quota
    budget: BudgetUsage | None = None  # None: a rate limit without a window

    @property
    def budget_size(self) -> float:
        """The units that all instances together may spend within the window; 0 without a window."""
        return self.limit * self.budget.window_us / SECOND if self.budget else 0.0

    def wanted_quota(self, now: int, limits: PeerLimits) -> float:
        """Return the quota that this instance needs, with headroom for growth."""
        rate = self.rate.rate * max(0.0, 1 - (now - self.rate.at) / limits.demand_window_us)
        in_use_rate = 0.0
        if self.budget and self.budget.in_use:
            in_use_rate = self.budget.in_use * SECOND / self.budget.window_us
        return min(1.0, limits.demand_headroom * (rate + in_use_rate) / self.limit)

    def locked_quota(self, now: int, longest_window_us: int) -> float:
        """Return the quota of a budget that was spent within the longest window or is in use.

        It cannot be granted, since no instance may spend it again before the window has passed.
        """
        if self.budget is None:
            return 0.0
        units = self.budget.in_use + self.budget.spent.total(now - longest_window_us)
        return units / self.budget_size

    def recent_requesters(self, now: int, limits: PeerLimits) -> list[int]:
        """Return the peers that requested a quota within `demand_ttl_us`."""
        return [
            peer
            for peer, requested_at in self.last_request_by_peer.items()
            if now - requested_at <= limits.demand_ttl_us
        ]

    def known_hosts(self, now: int, limits: PeerLimits) -> list[int]:
        """Return the peers that are known to be hosts because they request a quota.

        If there are at least as many of them as hosts, the set of hosts has changed, and none is known.
        """
        requesters = self.recent_requesters(now, limits)
        return requesters if len(requesters) < self.hosts else []

    def is_idle(self, quota: float, now: int, limits: PeerLimits) -> bool:
        """Return whether the demand can be removed while this instance has the given quota.

        Requests may stay in the decision module's queue for a long time, during which the module has to be
        informed of the quota changes that grants to peers cause.
        """
        is_unused = now - self.rate.at > limits.demand_ttl_us
        in_use = self.budget is not None and self.budget.in_use > 0
        return is_unused and quota == 1 / self.hosts and not in_use


class DemandTable:
    """The demands of one instance, by the `name_tag` of their names."""

    def __init__(self, limits: PeerLimits, longest_window_us: int | None = None) -> None:
        """`longest_window_us` is the longest window of the budgets; None if the demands are for limits."""
        self._limits = limits
        self._longest_window_us = longest_window_us
        self.by_tag: dict[int, Demand] = {}

    def record(self, name: str, hosts: int, limit: float, units: float, now: int, window_us: int = 0) -> bool:
        """Record that `units` were requested; return whether the quota has to be recomputed.

        `limit` is in units per second, over all `hosts` instances; `window_us` is the window of a budget. A
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
            # The hosts may have changed; their next requests identify them again.
            budget = replace(demand.budget, window_us=window_us) if demand.budget else None
            demand = replace(
                demand, name=name, hosts=hosts, limit=limit, last_request_by_peer={}, budget=budget
            )
        if is_changed:
            self.by_tag[tag] = demand
        demand.rate.add(now, units, self._limits.demand_window_us)
        return is_changed

    def _new_budget(self, window_us: int) -> BudgetUsage | None:
        if self._longest_window_us is None:
            return None
        return BudgetUsage(window_us, SlidingWindowSum(self._longest_window_us))

    def record_spent(self, budget: str, units: float, now: int) -> None:
        """Record spending of a budget; ignored unless the table has a demand for it."""
        demand = self.by_tag.get(name_tag(budget))
        if demand is not None and demand.budget is not None:
            demand.budget.spent.add(now, units)

    def set_in_use(self, budget: str, units: float) -> None:
        """Set the units of a budget that are in use; ignored unless the table has a demand for it."""
        demand = self.by_tag.get(name_tag(budget))
        if demand is not None and demand.budget is not None:
            demand.budget.in_use = units

    def recent_requesters(self, now: int) -> set[int]:
        """Return the peers that requested any of these limits or budgets within `demand_ttl_us`."""
        return {
            peer for demand in self.by_tag.values() for peer in demand.recent_requesters(now, self._limits)
        }

    def wanted_quotas(self, now: int) -> list[tuple[float, int]]:
        """Return the wanted quotas above zero with the tags of their demands, in descending order."""
        quotas = ((demand.wanted_quota(now, self._limits), tag) for tag, demand in self.by_tag.items())
        return sorted((item for item in quotas if item[0] > 0), reverse=True)
