"""Divides the connections to each backend among the instances of a group."""

from __future__ import annotations

from garnetlanding.daemon.instance import Instance
from garnetlanding.daemon.lifecycle import Subsystem
from garnetlanding.daemon.peer_link import PeerLinkManager
from garnetlanding.peers.connection_quota import ConnectionQuota
from garnetlanding.peers.leases import BudgetLeases


class SharedConnections(Subsystem):
    """Limits this instance's connections to each backend to its quota of the group's limit.

    `max_connections` is the limit for one backend and all instances together.
    """

    name = "shared connections"

    def __init__(self, instance: Instance, max_connections: int, link: PeerLinkManager) -> None:
        self._instance = instance
        self._max_connections = max_connections
        self._link = link

    def start(self) -> None:
        """Apply the limit to the backend connections."""
        self._instance.backends.connections.quota = ConnectionQuota(
            self._max_connections, self._instance.longest_attempt_us, self._now, self._budget_leases
        )

    def _now(self) -> int:
        return self._instance.scheduler.now

    def _budget_leases(self) -> BudgetLeases | None:
        coordinator = self._link.coordinator
        return coordinator.budget_leases() if coordinator else None
