"""The interface through which the admin service accesses the other instances of the fleet."""

from __future__ import annotations

from enum import Enum
from typing import Protocol


class FleetView(Enum):
    """A table about the fleet that operators can read; the value is the table's name in a call's path."""

    LIMITS = "limits"
    MEMBERS = "members"
    SUSPICIONS = "verdicts"
    DISABLES = "bans"


class FleetAccess(Protocol):
    """What the admin service needs of the peer subsystem, whose link may open and close at any time."""

    def rows(self, view: FleetView) -> list[dict[str, object]] | None:
        """Return the table's rows, ready for JSON, or None while this instance receives no gossip."""

    def forget(self, instance: int) -> bool | None:
        """Remove a terminated instance from the membership.

        Return whether it was a member, or None if membership is not discovered by gossip.
        """
