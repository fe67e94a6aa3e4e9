"""Builders of the subsystems that the configuration may turn on; each returns None for one that is off.

A builder imports its subsystem's modules only if the subsystem is on, so that one that is off costs neither
startup time nor memory.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from garnetlanding.daemon.clients import RespClients
from garnetlanding.daemon.discovery import DiscoveryWatch
from garnetlanding.daemon.instance import Instance
from garnetlanding.daemon.peer_link import PeerLinkManager
from garnetlanding.daemon.settings import SettingsManager
from garnetlanding.store.setup import StoreRole

if TYPE_CHECKING:  # a subsystem that is off is not imported
    from garnetlanding.daemon.admin import AdminServer
    from garnetlanding.daemon.audit import AuditRecording
    from garnetlanding.daemon.fencing import Fencing
    from garnetlanding.daemon.history import HistoryRecording
    from garnetlanding.daemon.ninep import NinepClients
    from garnetlanding.daemon.peer_group import PeerGroup, ReceivedDisables
    from garnetlanding.daemon.replication import StoreReplication
    from garnetlanding.daemon.shared_connections import SharedConnections
    from garnetlanding.daemon.subset import BackendSubset
    from garnetlanding.daemon.telemetry import TelemetryExport


def build_history(instance: Instance, clock: Callable[[], int]) -> HistoryRecording | None:
    """Return the history, or None if the operator's file configures none."""
    setup = instance.config.operator.history
    if setup is None:
        return None
    from garnetlanding.daemon.history import HistoryRecording

    return HistoryRecording(instance, setup, clock)


def build_group(instance: Instance, history: HistoryRecording | None) -> PeerGroup | None:
    """Return the peer group, or None if the configuration or the operator's file has no peers."""
    setup = instance.config.operator.fleet
    peers = instance.config.peers
    if setup is None or peers is None:
        return None
    from garnetlanding.daemon.peer_group import PeerGroup

    return PeerGroup(instance, setup, peers, history)


def build_shared_connections(
    instance: Instance, group: PeerGroup | None, link: PeerLinkManager
) -> SharedConnections | None:
    """Return the shared connection limit, or None if none is configured."""
    setup = instance.config.operator.fleet
    if group is None or setup is None or not setup.backend_connections:
        return None
    from garnetlanding.daemon.shared_connections import SharedConnections

    return SharedConnections(instance, setup.backend_connections, link)


def build_received_disables(instance: Instance, group: PeerGroup | None) -> ReceivedDisables | None:
    """Return the subsystem that applies peers' disables, or None without peers or with an admin service."""
    if group is None or instance.config.admin_address:
        return None
    from garnetlanding.daemon.peer_group import ReceivedDisables

    return ReceivedDisables(instance, group)


def build_audit(
    instance: Instance,
    settings: SettingsManager,
    discovery: DiscoveryWatch,
    group: PeerGroup | None,
    link: PeerLinkManager,
) -> AuditRecording | None:
    """Return the audit, or None if the operator's file configures none."""
    setup = instance.config.operator.audit
    if setup is None:
        return None
    from garnetlanding.daemon.audit import AuditRecording

    return AuditRecording(instance, setup, settings, discovery, group, link)


def build_subset(instance: Instance, group: PeerGroup | None) -> BackendSubset | None:
    """Return the backend subset, or None if the operator's file sets no size."""
    setup = instance.config.operator.choices
    if setup is None or not setup.subset_size:
        return None
    from garnetlanding.daemon.subset import BackendSubset

    return BackendSubset(instance, setup, group)


def build_admin(
    instance: Instance,
    clients: RespClients,
    discovery: DiscoveryWatch,
    settings: SettingsManager,
    group: PeerGroup | None,
    link: PeerLinkManager,
) -> AdminServer | None:
    """Return the admin service, or None if the configuration has no address for it."""
    if not instance.config.admin_address:
        return None
    from garnetlanding.daemon.admin import AdminServer
    from garnetlanding.daemon.quota_enforcement import QuotaEnforcement

    quota = QuotaEnforcement(instance, settings, clients)
    return AdminServer(instance, clients, discovery, quota, group, link)


def build_ninep(instance: Instance) -> NinepClients | None:
    """Return the 9P clients, or None if the operator's file exports nothing."""
    setup = instance.config.operator.ninep
    if setup is None:
        return None
    from garnetlanding.daemon.ninep import NinepClients

    return NinepClients(instance, setup)


def build_replication(instance: Instance) -> StoreReplication | None:
    """Return the replication of the store, or None if the store is not replicated."""
    setup = instance.config.operator.store
    if setup.role is StoreRole.STANDALONE:
        return None
    from garnetlanding.daemon.replication import StoreReplication

    return StoreReplication(instance, setup)


def build_telemetry(instance: Instance) -> TelemetryExport | None:
    """Return the telemetry export, or None if the operator's file has no collector."""
    collector = instance.config.operator.telemetry
    if collector is None:
        return None
    from garnetlanding.daemon.telemetry import TelemetryExport

    return TelemetryExport(instance, collector)


def build_fencing(
    instance: Instance,
    group: PeerGroup | None,
    link: PeerLinkManager,
    replication: StoreReplication | None,
    history: HistoryRecording | None,
) -> Fencing | None:
    """Return the fencing, or None if nothing can fence this instance."""
    if group is None and not instance.config.operator.store.max_staleness_us:
        return None
    from garnetlanding.daemon.fencing import Fencing

    return Fencing(instance, link, replication, history, by_operator=group is not None)
