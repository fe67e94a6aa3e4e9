"""The results of a simulated run of a fleet."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class FleetTotals:
    """Sums over all instances."""

    requested_value: float = (
        0.0  # class priority weight times plan factor and units, as if all were served in time
    )
    earned_value: float = 0.0
    list_calls: int = 0
    list_calls_failed: int = 0
    handshakes: int = 0
    max_queue: int = 0  # at any backend
    max_warmup_load: float = 0.0  # of a backend in warm-up in any window, relative to its limit
    unanswered: int = 0
    answered_twice: int = 0

    @property
    def served_share(self) -> float:
        """The earned part of the requested value."""
        return self.earned_value / self.requested_value if self.requested_value else 0.0
