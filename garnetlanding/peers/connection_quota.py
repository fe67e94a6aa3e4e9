"""How many connections a head may have at a server, of those that all heads together may have there: places
move by leases like other budgets (docs/design/fleet-limits.md). A place is taken as long as its connection is
open. No clock, no socket.
"""

from __future__ import annotations

from collections.abc import Callable

from garnetlanding.decision.interface import concurrency_budget as _name
from garnetlanding.peers.codec import tag
from garnetlanding.peers.leases import Leases
from garnetlanding.peers.limits import SECOND


class ConnectionQuota:
    def __init__(
        self,
        each: int,
        longest_us: int,
        now: Callable[[], int],
        leases: Callable[[], tuple[Leases, int] | None],
    ) -> None:
        """`each`: connections at one server, of all heads. `longest_us`: an attempt lasts no longer; by then
        a place that was left to another head is free again. `leases`: what divides them, and among how many
        heads; None where other heads are not heard yet."""
        self.each, self._longest_us, self._now, self._leases = each, longest_us, now, leases

    def most(self, server: str) -> int:
        """So many this head may have open there now."""
        found = self._leases()
        if found is None:
            return 0
        leases, hosts = found
        name = tag(_name(server))
        if name not in leases.demands:
            # First of all it is asked for: what this head may have left to others unasked is counted by that.
            leases.record_demand(
                _name(server), hosts, self.each * SECOND / self._longest_us, 0, self._now(), self._longest_us
            )
        if name not in leases.demands:
            return self.each  # this head is the only one
        return int(leases.usable_share(name, self._now()) * self.each + 1e-9)

    def open(self, server: str, count: int, lacking: bool = False) -> None:
        """So many are open there now. `lacking`: one more was wanted, and there was no place."""
        if found := self._leases():
            leases, hosts = found
            leases.record_demand(
                _name(server),
                hosts,
                self.each * SECOND / self._longest_us,
                float(lacking),
                self._now(),
                self._longest_us,
            )
            leases.set_in_use(_name(server), count)
