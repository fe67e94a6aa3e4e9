"""The registration of this process among those of its instance, and its current quota.

`ops/process_quota.py` computes the quota, and `quota_enforcement` applies it to the instance's resources.
"""

from __future__ import annotations

import tempfile
from typing import TYPE_CHECKING

from garnetlanding.config import Config
from garnetlanding.daemon.lifecycle import Subsystem

if TYPE_CHECKING:  # a subsystem that is off is not imported
    from garnetlanding.ops.process_registry import ProcessRegistry


class ProcessRegistration(Subsystem):
    """Owns this process's entry in the process registry, and its quota: a fraction (0 to 1) of the capacity.

    Without an admin service the instance has one process only, whose quota is always 1.
    """

    name = "process registry"

    def __init__(self, config: Config) -> None:
        self.registry: ProcessRegistry | None = None
        self.quota = 1.0
        self.stopping = False  # since SIGTERM; a predecessor then releases all capacity that it does not use
        if config.admin_address:
            from garnetlanding.ops.process_registry import ProcessRegistry

            self.registry = ProcessRegistry(tempfile.gettempdir(), config.name)
            self.quota = self.registry.next_quota(0.0, stopping=False)

    @property
    def superseded(self) -> bool:
        """Whether a successor process has started."""
        return self.registry is not None and self.registry.has_successor

    def stop(self) -> None:
        """Leave the registry, which releases this process's quota to the other one."""
        if self.registry:
            self.registry.close()
