"""Chooses the receivers of each round, so that the cost of a round does not grow with the fleet."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from garnetlanding.peers.limits import PeerLimits


class GossipSchedule:
    """Sends to the peers in rotation, a bounded number in each round."""

    def __init__(self, limits: PeerLimits, own_number: int) -> None:
        self._limits = limits
        # Instances that start together would otherwise all begin with the same peer.
        self._next = own_number

    def round(self, peers: Collection[int], partners: Iterable[int]) -> list[int]:
        """Return the receivers of the next round, without duplicates.

        They are the next `fanout` peers of the rotation, and up to `max_lease_peers` of the partners, the
        peers with whom this instance exchanges requests and grants.
        """
        ordered = sorted(peers)
        if not ordered:
            return []
        count = min(self._limits.fanout, len(ordered))
        chosen = [ordered[(self._next + i) % len(ordered)] for i in range(count)]
        self._next += count
        present_partners = [partner for partner in partners if partner in peers]
        return list(dict.fromkeys([*chosen, *present_partners[: self._limits.max_lease_peers]]))
