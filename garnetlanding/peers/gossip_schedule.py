"""Whom a head tells in a round: some heads in turn, and those with whom it divides something. So what a head
spends on words does not grow with the fleet. No clock, no socket.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

from garnetlanding.peers.limits import PeerLimits


class GossipSchedule:
    def __init__(self, limits: PeerLimits, me: int) -> None:
        self._limits = limits
        # Heads that start together would all turn to the same one first.
        self._next = me

    def round(self, others: Collection[int], partners: Iterable[int]) -> list[int]:
        """`near` of the others, each in its turn, and as many partners as a head may have."""
        near = sorted(others)
        if not near:
            return []
        count = min(self._limits.fanout, len(near))
        chosen = [near[(self._next + i) % len(near)] for i in range(count)]
        self._next += count
        some = [who for who in partners if who in others][: self._limits.max_partners]
        return list(dict.fromkeys([*chosen, *some]))
