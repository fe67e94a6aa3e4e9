"""Whom an instance sends to in a round: some peers in turn, and those with whom it divides something.

So what an instance spends on messages does not grow with the fleet. No clock, no socket.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

from garnetlanding.peers.limits import PeerLimits


class GossipSchedule:
    """Goes round the peers, a bounded number at a time."""

    def __init__(self, limits: PeerLimits, me: int) -> None:
        self._limits = limits
        # Instances that start together would all begin with the same peer.
        self._next = me

    def round(self, peers: Collection[int], partners: Iterable[int]) -> list[int]:
        """Return the receivers of the next round, without duplicates.

        These are `fanout` of the peers, each in its turn, and up to `max_partners` of the partners.
        """
        ordered = sorted(peers)
        if not ordered:
            return []
        count = min(self._limits.fanout, len(ordered))
        chosen = [ordered[(self._next + i) % len(ordered)] for i in range(count)]
        self._next += count
        present_partners = [partner for partner in partners if partner in peers]
        return list(dict.fromkeys([*chosen, *present_partners[: self._limits.max_partners]]))
