"""The admin service of an instance: its listener, its state on disk, and its access to the instance."""

from __future__ import annotations

import tempfile
from dataclasses import replace
from typing import TYPE_CHECKING

from garnetlanding.daemon.clients import RespClients
from garnetlanding.daemon.discovery import DiscoveryWatch
from garnetlanding.daemon.instance import Instance
from garnetlanding.daemon.lifecycle import Subsystem
from garnetlanding.daemon.peer_link import PeerLinkManager
from garnetlanding.daemon.quota_enforcement import QuotaEnforcement
from garnetlanding.ops.admin_connection import AdminConnection
from garnetlanding.ops.admin_service import AdminService
from garnetlanding.ops.fleet_access import FleetView
from garnetlanding.ops.managed_instance import ManagedInstance
from garnetlanding.ops.state_file import StateFile
from garnetlanding.runtime.listener import Listener

if TYPE_CHECKING:  # a subsystem that is off is not imported
    from garnetlanding.daemon.peer_group import PeerGroup
    from garnetlanding.ops.replicated_disables import ReplicatedDisables


class PeerAccess:
    """Implements FleetAccess with the coordinator of the peer link, once there is one, and the peer group."""

    def __init__(self, instance: Instance, group: PeerGroup | None, link: PeerLinkManager) -> None:
        self._instance = instance
        self._group = group
        self._link = link

    def rows(self, view: FleetView) -> list[dict[str, object]] | None:
        """Return a table's rows, or None while this instance receives no gossip."""
        coordinator = self._link.coordinator
        if coordinator is None:
            return None
        now = self._instance.scheduler.now
        match view:
            case FleetView.LIMITS:
                rows = coordinator.limit_rows(now)
            case FleetView.MEMBERS:
                rows = coordinator.member_rows(now)
            case FleetView.SUSPICIONS:
                rows = coordinator.suspicion_rows(now)
            case FleetView.DISABLES:
                rows = coordinator.disabled_rows()
        return [row.as_json() for row in rows]

    def forget(self, instance: int) -> bool | None:
        """Remove a terminated instance; return None where membership is not discovered by gossip."""
        return self._group.forget(instance) if self._group else None


class AdminServer(Subsystem):
    """Owns the admin service and its listener."""

    name = "admin"
    service: AdminService  # set by `start`
    listener: Listener  # set by `start`

    def __init__(
        self,
        instance: Instance,
        clients: RespClients,
        discovery: DiscoveryWatch,
        quota: QuotaEnforcement,
        group: PeerGroup | None,
        link: PeerLinkManager,
    ) -> None:
        self._instance = instance
        self._clients = clients
        self._discovery = discovery
        self._quota = quota
        self._endpoints_deadline_us = 0  # set by `start`
        self._group = group
        self._link = link

    def start(self) -> None:
        """Restore the stored administrative state, and listen for operators' calls."""
        instance = self._instance
        # A new process waits this long for discovery's endpoint list, then becomes ready with the cached one.
        self._endpoints_deadline_us = instance.scheduler.now + instance.limits.ops_endpoints_wait_us
        self.service = AdminService(
            self._managed_instance(),
            StateFile(tempfile.gettempdir(), instance.config.name),
            PeerAccess(instance, self._group, self._link),
            self._replicated_disables(),
        )
        self._clients.accepts_clients = self._accepts_clients
        self._quota.apply_current()
        self.listener = self._listen()
        instance.log_listening("operators", self.listener.address)

    def _managed_instance(self) -> ManagedInstance:
        instance = self._instance
        return ManagedInstance(
            scheduler=instance.scheduler,
            engine=instance.core,
            clients=self._clients.listener,
            limits=instance.limits,
            endpoints_known=self._endpoints_known,
            refresh_quota=self._quota.update,
        )

    def _endpoints_known(self) -> bool:
        now = self._instance.scheduler.now
        return self._discovery.watch.is_synced or now >= self._endpoints_deadline_us

    def _accepts_clients(self) -> bool:
        return self.service.accepts_clients

    def _replicated_disables(self) -> ReplicatedDisables | None:
        instance = self._instance
        setup = instance.config.operator.fleet
        if not (self._group and setup and setup.disables):
            return None
        from garnetlanding.ops.replicated_disables import ReplicatedDisables

        return ReplicatedDisables(
            self._group.failure_detector.disables, self._instance_number, instance.wall_ms
        )

    def _instance_number(self) -> int:
        return self._instance.core.settings.instance_id

    def _listen(self) -> Listener:
        instance = self._instance
        limits = instance.limits
        # Separate limits, so that operators are answered however many clients and incomplete calls there are.
        admin_limits = replace(
            limits,
            new_client_timeout_us=limits.ops_new_client_timeout_us,
            idle_client_timeout_us=limits.ops_new_client_timeout_us,
            stalled_client_timeout_us=limits.ops_new_client_timeout_us,
            lingering_connections=limits.ops_lingering_connections,
        )
        return Listener(
            instance.scheduler,
            instance.config.admin_address,
            instance.pool,
            admin_limits,
            limits.ops_connections,
            lambda write: AdminConnection(self.service, instance.pool, limits, write),
        )

    def stop(self) -> None:
        """Stop listening, and wait up to `ops_flush_us` for calls in progress to be answered."""
        self.listener.stop_accepting()
        self._instance.wait_for(lambda: not len(self.listener), self._instance.limits.ops_flush_us)
