"""The interface through which the peer protocols record state changes for experiments to verify."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Protocol


class PeerHistory(Protocol):
    """Records the state changes of the peer protocols. Times are microseconds of the monotonic clock."""

    def members_changed(self, quota_holders: Collection[int], even_quota: float) -> None:
        """Record a new membership: the instances that hold a quota, and the size of an even quota."""

    def disabled_backends_changed(self, backends: Collection[str]) -> None:
        """Record the complete set of backends that are administratively disabled from now on."""

    def suspicions_changed(self, suspected: Mapping[str, int]) -> None:
        """Record the complete set of suspected backends, and when the suspicion of each expires."""

    def observations_sent(self, observations: Mapping[str, tuple[str, int]]) -> None:
        """Record the observation sent to peers about each backend: its kind and its time."""

    def volume_quotas_changed(self, quotas: Mapping[str, float], until_us: int) -> None:
        """Record this instance's quotas of the volume limits, which are valid until `until_us`."""

    def budget_quotas_changed(self, quotas: Mapping[str, float], until_us: int) -> None:
        """Record this instance's quotas of the shared budgets, which are valid until `until_us`."""
