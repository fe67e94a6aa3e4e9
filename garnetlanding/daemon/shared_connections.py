"""Divides the connections at each backend among all instances of a group."""

from __future__ import annotations

from garnetlanding.daemon.instance import Instance
from garnetlanding.daemon.lifecycle import Subsystem
from garnetlanding.daemon.peer_link import PeerLinkManager
from garnetlanding.peers.connection_quota import ConnectionQuota


class SharedConnections(Subsystem):
    """Bounds the connections at each backend by a quota share of all instances' limit."""

    name = "shared connections"

    def __init__(self, instance: Instance, each_max: int, link: PeerLinkManager) -> None:
        """`each_max`: connections at one backend, of all instances together."""
        self._instance = instance
        self._each_max = each_max
        self._link = link

    def start(self) -> None:
        """Bound the connections to backends from now on."""
        instance = self._instance
        link = self._link
        instance.backends.quota = ConnectionQuota(
            self._each_max,
            instance.longest_attempt_us,
            lambda: instance.scheduler.now,
            lambda: link.coordinator.shared_leases() if link.coordinator else None,
        )
