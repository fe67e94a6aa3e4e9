"""The interface between the administrative HTTP front and the service that carries out its calls."""

from __future__ import annotations

from typing import Protocol

from garnetlanding.ops.fleet_access import FleetView


class AdminTarget(Protocol):
    """Carries out operators' calls on an instance.

    A call on a backend or an instance returns whether that is known here, or None where this instance does
    not offer the call at all.
    """

    def ready(self) -> bool:
        """Return whether new clients may be sent here."""

    def metrics(self) -> str:
        """Return the metrics as text."""

    def disable(self, backend: str) -> bool:
        """Disable a backend administratively."""

    def enable(self, backend: str) -> bool:
        """Enable a backend again."""

    def drain(self) -> None:
        """Begin to drain clients from this instance."""

    def resume(self) -> None:
        """End the drain."""

    def fleet_view(self, view: FleetView) -> str | None:
        """Return a table about the fleet as JSON."""

    def forget_instance(self, instance: int) -> bool | None:
        """Remove a terminated instance from the membership."""

    def fence(self, instance: int) -> bool | None:
        """Fence an instance. Raises DisableRejectedError where too many would be fenced."""

    def unfence(self, instance: int) -> bool | None:
        """Unfence an instance. Raises DisableRejectedError where that cannot be replicated."""
