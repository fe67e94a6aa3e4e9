"""What the peer protocols report to the instance's history, which experiments are checked against."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Protocol


class PeerHistory(Protocol):
    """Records each change of what this instance has concluded. Times are of the monotonic clock, in us."""

    def members_changed(self, entitled: Collection[int], even_quota: float) -> None:
        """Record a new membership: the instances entitled to a quota, and what an even quota is."""

    def disabled_backends_changed(self, backends: Collection[str]) -> None:
        """Record that exactly these backends are administratively disabled from now on."""

    def suspicions_changed(self, suspected: Mapping[str, int]) -> None:
        """Record that exactly these backends are suspected from now on, each until the time given."""

    def observations_sent(self, observations: Mapping[str, tuple[str, int]]) -> None:
        """Record what peers are told of each backend: the kind of the observation, and its time."""

    def volume_quotas_changed(self, quotas: Mapping[str, float], until_us: int) -> None:
        """Record this instance's quotas of the volumes' limits, which hold until `until_us`."""

    def budget_quotas_changed(self, quotas: Mapping[str, float], until_us: int) -> None:
        """Record this instance's quotas of the shared budgets, which hold until `until_us`."""
