"""The protocol by which a daemon starts, reloads and stops each of its subsystems."""

from __future__ import annotations

from typing import Protocol

from garnetlanding.config import Config


class Subsystem(Protocol):
    """One part of an instance, the only owner of its state.

    Each step does nothing unless a subsystem overrides it. The orders in which subsystems start, take up a
    reload and stop are written down in `garnetlanding.daemon.assembly`.
    """

    name: str  # as log lines have it

    def start(self) -> None:
        """Take up work. Raises OSError where something that the configuration names cannot be had."""
        return

    def reload(self, previous: Config) -> None:  # noqa: ARG002 - for those that override it
        """Take up the new configuration, which the instance has already; `previous` is the one before."""
        return

    def stop(self) -> None:
        """Finish in an orderly way; what it raises is logged and keeps no other subsystem from stopping."""
        return
