"""The interface between the admin HTTP server and the service that executes its calls."""

from __future__ import annotations

from typing import Protocol

from garnetlanding.ops.fleet_access import FleetView


class AdminTarget(Protocol):
    """Executes operators' calls on an instance.

    A call on a backend or an instance returns whether that is known here, or None if this instance does not
    support the call.
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
        """Start draining clients from this instance."""

    def resume(self) -> None:
        """End the drain."""

    def fleet_view(self, view: FleetView) -> str | None:
        """Return a table about the fleet as JSON."""

    def forget_instance(self, instance: int) -> bool | None:
        """Remove a terminated instance from the membership."""

    def fence(self, instance: int) -> bool | None:
        """Fence an instance. Raises DisableRejectedError if too many would be fenced."""

    def unfence(self, instance: int) -> bool | None:
        """Unfence an instance. Raises DisableRejectedError if that cannot be replicated."""
