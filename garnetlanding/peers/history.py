"""What the peer protocols report to the instance's history, which experiments are checked against."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Protocol


class PeerHistory(Protocol):
    """Receives each event; `None` stands for no history. Times are those of the monotonic clock, in us."""

    def members_changed(self, entitled: Collection[int], even_share: float) -> None:
        """The membership changed: these instances are entitled to quota shares, and this is an even share."""

    def disabled_backends_changed(self, backends: Collection[str]) -> None:
        """Exactly these backends are administratively disabled from now on."""

    def suspicions_changed(self, suspected: Mapping[str, int]) -> None:
        """The decision module suspects exactly these backends from now on, each until the time given."""

    def observations_sent(self, observations: Mapping[str, tuple[str, int]]) -> None:
        """Peers are sent these observations: of each backend, what was observed and when."""

    def volume_shares_changed(self, shares: Mapping[str, float], until_us: int) -> None:
        """These are the instance's shares of the volumes' limits until they are looked at again."""

    def limit_shares_changed(self, shares: Mapping[str, float], until_us: int) -> None:
        """These are the instance's shares of the other limits that all instances have in common."""
