"""Keeps a process within its quota while another process of the same instance runs beside it."""

from __future__ import annotations

import logging

from garnetlanding.daemon.clients import RespClients
from garnetlanding.daemon.instance import Instance
from garnetlanding.daemon.settings import SettingsManager
from garnetlanding.ops.process_quota import UPGRADE_QUOTA

log = logging.getLogger(__name__)


class QuotaEnforcement:
    """Applies the process's quota to clients, backend connections, memory and open requests."""

    def __init__(self, instance: Instance, settings: SettingsManager, clients: RespClients) -> None:
        self._instance = instance
        self._process = instance.process
        self._settings = settings
        self._clients = clients

    def update(self) -> None:
        """Adjust the quota to that of the instance's other process, and free capacity for a successor."""
        registry = self._process.registry
        assert registry
        if registry.has_successor:
            self._close_idle_connections()
        quota = registry.next_quota(self._utilization(), stopping=self._process.stopping)
        if quota != self._process.quota:
            self._apply(quota)
            self._settings.reapply()
        # Published only after it is applied, since the other process relies on the published quota.
        registry.publish(quota)

    def apply_current(self) -> None:
        """Apply the quota that this process has."""
        self._apply(self._process.quota)

    def _close_idle_connections(self) -> None:
        instance = self._instance
        self._clients.listener.evict_down_to(int(instance.limits.client_connections * UPGRADE_QUOTA))
        instance.backends.connections.close_idle_down_to(
            int(instance.limits.backend_connections * UPGRADE_QUOTA)
        )

    def _utilization(self) -> float:
        """Return the fraction of the instance's limits that this process uses, for its most used resource."""
        instance = self._instance
        clients = self._clients.listener
        return max(
            clients.utilization,
            instance.backends.capacity.utilization,
            instance.pool.budget.utilization,
            instance.core.capacity.used,
        )

    def _apply(self, quota: float) -> None:
        instance = self._instance
        self._process.quota = quota
        self._clients.listener.capacity_quota = quota
        instance.backends.capacity.quota = quota
        instance.pool.budget.quota = quota
        instance.core.capacity.quota = quota
        log.info("process quota set", extra={"kv": {"quota": round(quota, 3)}})
