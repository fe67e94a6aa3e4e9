"""The share that a process has of its instance's capacity, which the two processes of an upgrade divide."""

from __future__ import annotations

import tempfile
from typing import TYPE_CHECKING

from garnetlanding.config import Config
from garnetlanding.daemon.lifecycle import Subsystem

if TYPE_CHECKING:  # what is off is not imported
    from garnetlanding.ops.process_registry import ProcessRegistry


class ProcessShare(Subsystem):
    """The process among those of its instance, and the share (0 to 1) of the capacity that it keeps to.

    Without an admin service there is one process only, whose share is always 1.
    """

    name = "process registry"

    def __init__(self, config: Config) -> None:
        self.registry: ProcessRegistry | None = None
        self.share = 1.0
        self.stopping = False  # from SIGTERM on, when a predecessor process gives up all it does not use
        if config.ops:
            from garnetlanding.ops.process_registry import ProcessRegistry

            self.registry = ProcessRegistry(tempfile.gettempdir(), config.name)
            self.share = self.registry.next_share(0.0, False)

    @property
    def superseded(self) -> bool:
        """Whether a successor process has started."""
        return self.registry is not None and self.registry.has_successor

    def stop(self) -> None:
        """Leave the registry: what this process kept is the other's from now on."""
        if self.registry:
            self.registry.close()
