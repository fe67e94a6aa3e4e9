"""What operators may ask of an instance."""

from __future__ import annotations

from typing import Protocol

from garnetlanding.ops.fleet_access import FleetView


class AdminTarget(Protocol):
    """The calls that the administrative HTTP front passes on.

    A bool says whether it could be done: False where the backend or instance is not known here. None says
    that this instance does not offer the call at all.
    """

    def ready(self) -> bool:
        """Whether new clients may be sent here."""

    def metrics(self) -> str:
        """Return the metrics as text."""

    def disable(self, backend: str) -> bool:
        """Disable a backend administratively."""

    def enable(self, backend: str) -> bool:
        """Enable a backend again."""

    def drain(self) -> None:
        """Have clients leave."""

    def resume(self) -> None:
        """End the drain."""

    def fleet_view(self, view: FleetView) -> str | None:
        """Return a table about the fleet as JSON."""

    def forget_instance(self, instance: int) -> bool | None:
        """Remove a terminated instance from the membership."""

    def set_fenced(self, instance: int, fenced: bool) -> bool | None:
        """Fence or unfence an instance. Raises DisableRejectedError where too many would be fenced."""
