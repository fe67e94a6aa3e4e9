"""The quota of connections that this instance may open to each backend.

The connections that all instances together may have open at a backend are a budget, divided by leases like
the others (docs/design/fleet-limits.md). A unit of it is in use for as long as its connection is open. No
clock and no socket.
"""

from __future__ import annotations

from collections.abc import Callable

from garnetlanding.decision.interface import concurrency_budget_name
from garnetlanding.peers.leases import BudgetLeases
from garnetlanding.peers.limits import SECOND
from garnetlanding.peers.name_tag import name_tag

# Added before rounding down to whole connections, since float error may leave a quota just below its number.
ROUNDING_SLACK = 1e-9


class ConnectionQuota:
    """How many connections this instance may have open at each backend."""

    def __init__(
        self,
        per_backend: int,
        longest_attempt_us: int,
        now: Callable[[], int],
        budget_leases: Callable[[], BudgetLeases | None],
    ) -> None:
        """Divide `per_backend` connections at each backend among the instances of the fleet.

        An attempt lasts `longest_attempt_us` at most: after that, a connection that was granted to a peer is
        closed again. `now` returns the present time in microseconds, `budget_leases` the leases that divide
        the quota, or None while they must not be used.
        """
        self.per_backend = per_backend
        self._longest_attempt_us = longest_attempt_us
        self._now = now
        self._budget_leases = budget_leases

    def max_connections(self, backend: str) -> int:
        """Return how many connections this instance may have open at a backend now."""
        budget = self._budget_leases()
        if budget is None:
            return 0
        demands = budget.leases.demands.by_tag
        tag = name_tag(concurrency_budget_name(backend))
        if tag not in demands:
            # What this instance may have granted to peers is only deducted from a quota that is requested.
            self._record_demand(budget, backend, 0)
        if tag not in demands:
            return self.per_backend  # this is the only instance
        quota = budget.leases.usable_quota(tag, self._now())
        return int(quota * self.per_backend + ROUNDING_SLACK)

    def set_open(self, backend: str, count: int, *, lacking: bool = False) -> None:
        """Set how many connections are open at a backend now.

        `lacking`: one more was wanted, and the quota did not allow it.
        """
        budget = self._budget_leases()
        if budget is None:
            return
        self._record_demand(budget, backend, float(lacking))
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
