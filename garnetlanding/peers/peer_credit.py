"""The credit of peers: how far their claims are trusted. No clock; times are in microseconds."""

from __future__ import annotations

from dataclasses import dataclass

from garnetlanding.peers.limits import PeerLimits

FULL_CREDIT = 1.0


@dataclass(frozen=True, slots=True)
class Credit:
    """A peer's credit just after it was last lowered."""

    value: float  # from 0 to 1
    at: int


class CreditTable:
    """The credit of each peer: lowered by refuted claims, recovering linearly over time."""

    def __init__(self, limits: PeerLimits) -> None:
        self._limits = limits
        self._lowered: dict[int, Credit] = {}  # by peer; a peer without an entry has full credit

    def of(self, peer: int, now: int) -> float:
        """Return a peer's credit, from 0 to 1."""
        lowered = self._lowered.get(peer)
        if lowered is None:
            return FULL_CREDIT
        return min(FULL_CREDIT, lowered.value + (now - lowered.at) / self._limits.credit_recovery_us)

    def lower(self, peer: int, now: int) -> None:
        """Lower a peer's credit after a refuted claim."""
        self._lowered[peer] = Credit(self.of(peer, now) * self._limits.refuted_credit_factor, now)
