"""The quota of connections that this instance may open to each backend.

All instances together may have a set number of connections open at a backend. The quota moves between them by
leases, like other budgets (docs/design/fleet-limits.md): a unit of it is in use for as long as its connection
is open. No clock and no socket.
"""

from __future__ import annotations

from collections.abc import Callable

from garnetlanding.decision.interface import concurrency_budget
from garnetlanding.peers.codec import tag
from garnetlanding.peers.leases import SharedLeases
from garnetlanding.peers.limits import SECOND

ROUNDING_SLACK = (
    1e-9  # a share that makes a whole number of connections but for float error gives that number
)


class ConnectionQuota:
    """How many connections this instance may have open at each backend."""

    def __init__(
        self,
        per_backend: int,
        longest_attempt_us: int,
        now: Callable[[], int],
        shared: Callable[[], SharedLeases | None],
    ) -> None:
        """Divide `per_backend` connections at each backend among the instances of the fleet.

        An attempt lasts `longest_attempt_us` at most: by then a connection that was granted to a peer is
        closed again. `shared` returns the leases that divide the quota; None while no peer is heard yet.
        """
        self.per_backend = per_backend
        self._longest_attempt_us = longest_attempt_us
        self._now = now
        self._shared = shared

    def max_connections(self, backend: str) -> int:
        """Return how many connections this instance may have open at a backend now."""
        shared = self._shared()
        if shared is None:
            return 0
        budget = tag(concurrency_budget(backend))
        if budget not in shared.leases.demands:
            # Without a demand it is not known what this instance may have granted to peers unasked.
            self._record_demand(shared, backend, 0)
        if budget not in shared.leases.demands:
            return self.per_backend  # this is the only instance
        share = shared.leases.usable_share(budget, self._now())
        return int(share * self.per_backend + ROUNDING_SLACK)

    def set_open(self, backend: str, count: int, lacking: bool = False) -> None:
        """Set how many connections are open at a backend now.

        `lacking`: one more was wanted, and the quota did not allow it.
        """
        shared = self._shared()
        if shared is None:
            return
        self._record_demand(shared, backend, float(lacking))
        shared.leases.set_in_use(concurrency_budget(backend), count)

    def _record_demand(self, shared: SharedLeases, backend: str, units: float) -> None:
        shared.leases.record_demand(
            concurrency_budget(backend),
            shared.hosts,
            self.per_backend * SECOND / self._longest_attempt_us,
            units,
            self._now(),
            self._longest_attempt_us,
        )
