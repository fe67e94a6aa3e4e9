"""What the peer protocols report to the instance's history, which experiments are checked against."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Protocol


class PeerHistory(Protocol):
    """Receives each event; `None` stands for no history. Times are those of the monotonic clock, in us."""

    def members_changed(self, entitled: Collection[int], even_share: float) -> None:
        """Record a new membership: the instances entitled to quota shares, and what an even share is."""

    def disabled_backends_changed(self, backends: Collection[str]) -> None:
        """Exactly these backends are administratively disabled from now on."""

    def suspicions_changed(self, suspected: Mapping[str, int]) -> None:
        """Record that exactly these backends are suspected from now on, each until the time given."""

    def observations_sent(self, observations: Mapping[str, tuple[str, int]]) -> None:
        """Peers are sent these observations: of each backend, what was observed and when."""

    def volume_shares_changed(self, shares: Mapping[str, float], until_us: int) -> None:
        """Record the instance's shares of the volumes' limits until they are looked at again."""

    def limit_shares_changed(self, shares: Mapping[str, float], until_us: int) -> None:
        """Record the instance's shares of the other limits that all instances have in common."""
