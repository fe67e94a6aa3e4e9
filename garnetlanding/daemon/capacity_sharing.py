"""Keeps what one process uses within its share while another process of the instance runs beside it."""

from __future__ import annotations

import logging

from garnetlanding.daemon.clients import RespClients
from garnetlanding.daemon.instance import Instance
from garnetlanding.daemon.settings import SettingsManager
from garnetlanding.ops.process_quota import UPGRADE_SHARE

log = logging.getLogger(__name__)


class CapacitySharing:
    """Keeps clients, server connections, buffers and requests within this process's share."""

    def __init__(self, instance: Instance, settings: SettingsManager, clients: RespClients) -> None:
        self._instance = instance
        self._process = instance.process
        self._settings = settings
        self._clients = clients

    def update(self) -> None:
        """Look what the other process leaves to this one, and make room for a successor."""
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
