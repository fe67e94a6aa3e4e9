"""The protocol by which a daemon starts, reloads and stops each of its subsystems."""

from __future__ import annotations

from typing import Protocol

from garnetlanding.config import Config


class Subsystem(Protocol):
    """One part of an instance, and the only owner of its state.

    Each step does nothing unless a subsystem overrides it. `garnetlanding.daemon.assembly` defines the orders
    in which subsystems start, reload and stop.
    """

    name: str  # for log lines

    def start(self) -> None:
        """Start operating. Raises OSError if a file or address of the configuration is unavailable."""
        return

    def reload(self, previous: Config) -> None:  # noqa: ARG002 - for those that override it
        """Apply the instance's present configuration, which has replaced `previous`."""
        return

    def stop(self) -> None:
        """Stop gracefully. An exception is logged and does not keep other subsystems from stopping."""
        return
