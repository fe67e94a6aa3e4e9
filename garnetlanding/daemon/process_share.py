"""How the two processes of an upgrade divide one instance's capacity between them."""

from __future__ import annotations

import logging
import tempfile
from typing import TYPE_CHECKING

from garnetlanding.config import Config
from garnetlanding.daemon.lifecycle import Subsystem

if TYPE_CHECKING:  # what is off is not imported
    from garnetlanding.daemon.clients import RespClients
    from garnetlanding.daemon.instance import Instance
    from garnetlanding.daemon.settings import SettingsManager
    from garnetlanding.ops.process_registry import ProcessRegistry

log = logging.getLogger(__name__)


class ProcessShare(Subsystem):
    """This process among those of its instance, and the share (0 to 1) of the capacity that it keeps to.

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


class CapacitySharing:
    """Keeps clients, server connections, buffers and requests within this process's share."""

    def __init__(self, instance: Instance, settings: SettingsManager, clients: RespClients) -> None:
        self._instance = instance
        self._process = instance.process
        self._settings = settings
        self._clients = clients

    def update(self) -> None:
        """Look what the other process leaves to this one, and make room for a successor."""
        from garnetlanding.ops.process_quota import UPGRADE_SHARE

        registry = self._process.registry
        assert registry
        instance = self._instance
        clients = self._clients.listener
        if registry.has_successor:
            clients.shed(int(instance.limits.client_conns * UPGRADE_SHARE))
            instance.backends.shed(int(instance.limits.backend_conns * UPGRADE_SHARE))
        used = max(clients.used, instance.backends.used, instance.pool.used, instance.core.capacity.used)
        share = registry.next_share(used, self._process.stopping)
        if share != self._process.share:
            self._apply(share)
            self._settings.reapply()
        # Published once it is kept to: the other process counts on it.
        registry.publish(share)

    def apply_current(self) -> None:
        """Keep every bound to the share that this process has."""
        self._apply(self._process.share)

    def _apply(self, share: float) -> None:
        instance = self._instance
        self._process.share = share
        self._clients.listener.part = share
        instance.backends.part = share
        instance.pool.part = share
        instance.core.capacity.share = share
        log.info("capacity share set", extra={"kv": {"share": round(share, 3)}})
