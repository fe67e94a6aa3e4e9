"""The quota of connections that this instance may have open to each backend.

The connections that all instances together may open to a backend are a budget, which leases divide like other
budgets (docs/design/fleet-limits.md). A unit of the budget is in use while its connection is open. The module
has neither a clock nor a socket.
"""

from __future__ import annotations

from collections.abc import Callable

from garnetlanding.decision.interface import concurrency_budget_name
from garnetlanding.peers.leases import BudgetLeases
from garnetlanding.peers.limits import SECOND
from garnetlanding.peers.name_tag import name_tag

# In connections; keeps a float error from rounding a whole number down to the one below.
ROUNDING_SLACK = 1e-9


class ConnectionQuota:
    """Limits the connections that this instance may have open to each backend."""

    def __init__(
        self,
        per_backend: int,
        longest_attempt_us: int,
        now: Callable[[], int],
        budget_leases: Callable[[], BudgetLeases | None],
    ) -> None:
        """Divide `per_backend` connections to each backend among the instances of the fleet.

        `longest_attempt_us` is the longest duration of an attempt, after which a connection beyond the quota
        has been closed; it is the window of the budget. `now` returns the current time in microseconds.
        `budget_leases` returns the leases that divide the budget, or None while they must not be used.
        """
        self.per_backend = per_backend
        self._longest_attempt_us = longest_attempt_us
        self._now = now
        self._budget_leases = budget_leases

    def max_connections(self, backend: str) -> int:
        """Return the number of connections that this instance may have open to a backend now."""
        budget = self._budget_leases()
        if budget is None:
            return 0
        demands = budget.leases.demands.by_tag
        tag = name_tag(concurrency_budget_name(backend))
        if tag not in demands:
            # Earlier grants to peers are deducted only from the quota of a budget that has a demand.
            self._record_demand(budget, backend, 0)
        if tag not in demands:
            return self.per_backend  # the only instance: the budget is not shared
        quota = budget.leases.usable_quota(tag, self._now())
        return int(quota * self.per_backend + ROUNDING_SLACK)

    def set_open(self, backend: str, count: int, *, denied_by_quota: bool = False) -> None:
        """Set the number of connections that are open to a backend now.

        `denied_by_quota`: another connection was needed, but exceeded the quota.
        """
        budget = self._budget_leases()
        if budget is None:
            return
        self._record_demand(budget, backend, float(denied_by_quota))
        budget.leases.demands.set_in_use(concurrency_budget_name(backend), count)

    def _record_demand(self, budget: BudgetLeases, backend: str, units: float) -> None:
        budget.leases.record_demand(
            concurrency_budget_name(backend),
            budget.hosts,
            self.per_backend * SECOND / self._longest_attempt_us,
            units,
            self._now(),
            self._longest_attempt_us,
        )
