"""The admin service of an instance: its listener, its state on disk, and what it reaches of the instance."""

from __future__ import annotations

import tempfile
from dataclasses import replace
from typing import TYPE_CHECKING

from garnetlanding.daemon.capacity_sharing import CapacitySharing
from garnetlanding.daemon.clients import RespClients
from garnetlanding.daemon.discovery import DiscoveryWatch
from garnetlanding.daemon.instance import Instance
from garnetlanding.daemon.lifecycle import Subsystem
from garnetlanding.daemon.peer_link import PeerLinkManager
from garnetlanding.ops.admin_connection import AdminConnection
from garnetlanding.ops.admin_service import AdminService
from garnetlanding.ops.fleet_access import FleetView
from garnetlanding.ops.managed_instance import ManagedInstance
from garnetlanding.ops.state_file import StateFile
from garnetlanding.runtime.listener import Listener

if TYPE_CHECKING:  # what is off is not imported
    from garnetlanding.daemon.peer_group import PeerGroup
    from garnetlanding.ops.replicated_disables import ReplicatedDisables


class PeerAccess:
    """What operators may read and change of the other instances, while this process has a link to them."""

    def __init__(self, instance: Instance, group: PeerGroup | None, link: PeerLinkManager) -> None:
        self._instance = instance
        self._group = group
        self._link = link

    def rows(self, view: FleetView) -> list[dict[str, object]] | None:
        """Return a table's rows; None while this instance receives no gossip."""
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
        """Remove a terminated instance; None where membership is not discovered by gossip."""
        return self._group.forget(instance) if self._group else None


class AdminFront(Subsystem):
    """Owns the admin service and its listener."""

    name = "admin"
    service: AdminService  # from the start on
    listener: Listener  # from the start on

    def __init__(
        self,
        instance: Instance,
        clients: RespClients,
        discovery: DiscoveryWatch,
        capacity: CapacitySharing,
        group: PeerGroup | None,
        link: PeerLinkManager,
    ) -> None:
        self._instance = instance
        self._clients = clients
        self._discovery = discovery
        self._capacity = capacity
        self._group = group
        self._link = link

    def start(self) -> None:
        """Take up the state that operators left, and listen for them."""
        instance = self._instance
        service = AdminService(
            self._managed_instance(),
            StateFile(tempfile.gettempdir(), instance.config.name),
            PeerAccess(instance, self._group, self._link),
            self._replicated_disables(),
        )
        self.service = service
        self._clients.accepts_clients = lambda: service.accepts_clients
        self._capacity.apply_current()
        self.listener = self._listen(service)
        instance.log_listening("operators", self.listener.address)

    def _managed_instance(self) -> ManagedInstance:
        instance = self._instance
        watch = self._discovery.watch
        # A new process waits so long for discovery's list; then the cached one counts as known.
        known_by_us = instance.scheduler.now + instance.limits.ops_endpoints_wait_us
        return ManagedInstance(
            scheduler=instance.scheduler,
            engine=instance.core,
            clients=self._clients.listener,
            limits=instance.limits,
            endpoints_known=lambda: watch.is_synced or instance.scheduler.now >= known_by_us,
            refresh_quota=self._capacity.update,
        )

    def _replicated_disables(self) -> ReplicatedDisables | None:
        instance = self._instance
        setup = instance.config.operator.fleet
        if not (self._group and setup and setup.disables):
            return None
        from garnetlanding.ops.replicated_disables import ReplicatedDisables

        return ReplicatedDisables(
            self._group.failure_detector, lambda: instance.core.settings.instance_id, instance.wall_ms
        )

    def _listen(self, service: AdminService) -> Listener:
        instance = self._instance
        limits = instance.limits
        # Places and times of its own: operators are answered however many clients, or half calls, there are.
        own = replace(
            limits,
            new_us=limits.ops_new_us,
            idle_us=limits.ops_new_us,
            idle_clients=limits.ops_conns,
            linger_conns=limits.ops_linger_conns,
        )
        return Listener(
            instance.scheduler,
            instance.config.ops,
            instance.pool,
            own,
            limits.ops_conns,
            lambda write: AdminConnection(service, instance.pool, limits, write),
        )

    def stop(self) -> None:
        """Answer what still comes for `ops_flush_us`, so that an operator who calls now is answered too."""
        self.listener.stop_accepting()
        self._instance.wait_for(lambda: not len(self.listener), self._instance.limits.ops_flush_us)
