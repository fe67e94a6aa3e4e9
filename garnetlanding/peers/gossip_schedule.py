"""Chooses the receivers of each round. The cost of a round does not grow with the size of the fleet."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from garnetlanding.peers.limits import PeerLimits


class GossipSchedule:
    """Selects peers in rotation, a bounded number per round."""

    def __init__(self, limits: PeerLimits, own_instance: int) -> None:
        self._limits = limits
        # Starts at a different peer on each instance: instances that start together would all begin with
        # the same one otherwise.
        self._next = own_instance

    def next_receivers(self, peers: Collection[int], partners: Iterable[int]) -> list[int]:
        """Return the receivers of the next round, without duplicates.

        They are the next `fanout` peers of the rotation, and up to `max_lease_peers` of the partners, the
        peers with which this instance exchanges quota requests and grants.
        """
        ordered = sorted(peers)
        if not ordered:
            return []
        count = min(self._limits.fanout, len(ordered))
        chosen = [ordered[(self._next + i) % len(ordered)] for i in range(count)]
        self._next += count
        present_partners = [partner for partner in partners if partner in peers]
        return list(dict.fromkeys([*chosen, *present_partners[: self._limits.max_lease_peers]]))
