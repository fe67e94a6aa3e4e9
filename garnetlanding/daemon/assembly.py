"""Composes an instance from its configuration, and defines the orders of start, reload and stop.

Subsystems start in this order, each before those that depend on it:

1. history: it observes requests, and later subsystems write to it.
2. peer group and shared connections: audit, backend subset and peer link use the membership.
3. settings: where history or audit record the version that the instance starts with.
4. audit: it has to wrap the decision module directly, before the peers' coordinator does.
5. backend subset: it uses the membership.
6. RESP2 clients: the admin service drains them and limits their number.
7. admin service, which restores the state that operators left; then the 9P clients.
8. replication: fencing depends on whether a follower's settings are recent.
9. telemetry; then the disables received from peers, where there is no admin service.
10. fencing, and last the peer link, whose coordinator is the outermost wrapper of the decision module.

A reload reaches the settings first, because they decide whether a peer link is allowed, then the peer link
and discovery.

Once the clients' requests are finished (`garnetlanding.daemon.shutdown`), subsystems stop in this order:

1. admin service: operators' calls in progress are answered.
2. telemetry: the last requests are exported.
3. peer link: this instance has used its leased quotas until now, so peers are notified this late.
4. audit: it still records what the link sends at its end.
5. process registry: until now the other process of an upgrade relies on this one's record.

Modules of optional subsystems are imported only where the subsystem is on.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from garnetlanding.config import Config, read_settings
from garnetlanding.core.engine import RequestEngine
from garnetlanding.daemon.clients import RespClients
from garnetlanding.daemon.discovery import DiscoveryWatch
from garnetlanding.daemon.instance import Instance, wall_ms
from garnetlanding.daemon.lifecycle import Subsystem
from garnetlanding.daemon.peer_link import PeerLinkManager
from garnetlanding.daemon.process_registration import ProcessRegistration
from garnetlanding.daemon.settings import SettingsManager, effective_settings, stored_settings
from garnetlanding.daemon.store_opening import open_store
from garnetlanding.decision.control import Controller
from garnetlanding.resp.backend_protocol import resp_backends
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.scheduler import Scheduler
from garnetlanding.store.setup import StoreRole

if TYPE_CHECKING:  # a subsystem that is off is not imported
    from garnetlanding.daemon.admin import AdminFront
    from garnetlanding.daemon.audit import AuditRecording
    from garnetlanding.daemon.fencing import Fencing
    from garnetlanding.daemon.history import HistoryRecording
    from garnetlanding.daemon.ninep import NinepClients
    from garnetlanding.daemon.peer_group import PeerGroup, ReceivedDisables
    from garnetlanding.daemon.replication import StoreReplication
    from garnetlanding.daemon.shared_connections import SharedConnections
    from garnetlanding.daemon.subset import BackendSubset
    from garnetlanding.daemon.telemetry import TelemetryExport


@dataclass(eq=False, repr=False)  # generating these unused methods would cost time at each start
class Assembly:
    """The parts of one instance. A subsystem that is off is None, and absent from the orders."""

    instance: Instance
    discovery: DiscoveryWatch
    peer_link: PeerLinkManager
    history: HistoryRecording | None
    admin: AdminFront | None
    start_order: tuple[Subsystem, ...]
    reload_order: tuple[Subsystem, ...]
    stop_order: tuple[Subsystem, ...]


def assemble(config: Config, clock: Callable[[], int]) -> Assembly:
    """Build the parts that the configuration turns on, without listening yet.

    `clock` returns monotonic time in microseconds. Raises OSError and StoreFileError for files of the
    instance that cannot be used.
    """
    instance = _build_instance(config, clock)
    discovery = DiscoveryWatch(instance, clock)
    history = _build_history(instance, clock)
    group = _build_group(instance, history)
    link = PeerLinkManager(instance, group, history)
    settings = SettingsManager(instance)
    audit = _build_audit(instance, settings, discovery, group, link)
    clients = RespClients(instance)
    admin = _build_admin(instance, clients, discovery, settings, group, link)
    replication = _build_replication(instance)
    telemetry = _build_telemetry(instance)
    _subscribe_to_settings(settings, history, audit, discovery, link)
    start_order = _enabled(
        history,
        group,
        _build_shared_connections(instance, group, link),
        settings if history or audit else None,
        audit,
        _build_subset(instance, group),
        clients,
        admin,
        _build_ninep(instance),
        replication,
        telemetry,
        _build_received_disables(instance, group),
        _build_fencing(instance, group, link, replication, history),
        link,
    )
    reload_order = (settings, link, discovery)
    stop_order = _enabled(admin, telemetry, link, audit, instance.process)
    return Assembly(instance, discovery, link, history, admin, start_order, reload_order, stop_order)


def _subscribe_to_settings(
    settings: SettingsManager,
    history: HistoryRecording | None,
    audit: AuditRecording | None,
    discovery: DiscoveryWatch,
    link: PeerLinkManager,
) -> None:
    """Register the subsystems that depend on the settings, in the order in which they are notified."""
    if history:
        settings.on_version.append(history.settings_applied)
    if audit:
        settings.on_rejected.append(audit.settings_rejected)
    settings.on_applied.append(discovery.watch.keep_open)
    settings.on_applied.append(link.reconcile)


def _enabled(*subsystems: Subsystem | None) -> tuple[Subsystem, ...]:
    return tuple(subsystem for subsystem in subsystems if subsystem is not None)


def _build_instance(config: Config, clock: Callable[[], int]) -> Instance:
    limits = config.limits
    scheduler = Scheduler(clock)
    pool = BufferPool(limits.buffer_bytes, limits.pool_free_max, limits.pool_max, limits.pool_reserved)
    store = open_store(config, scheduler)
    process = ProcessRegistration(config)
    settings = read_settings(stored_settings(config, store))
    controller = Controller(effective_settings(config, process.quota, settings), config.seed)
    core = RequestEngine(controller, scheduler, limits)
    scheduler.iteration_hooks.append(core.run_iteration)
    return Instance(
        config=config,
        scheduler=scheduler,
        pool=pool,
        store=store,
        process=process,
        core=core,
        backends=resp_backends(scheduler, pool, limits),
        incarnation=wall_ms(config),
    )


def _build_history(instance: Instance, clock: Callable[[], int]) -> HistoryRecording | None:
    setup = instance.config.operator.history
    if setup is None:
        return None
    from garnetlanding.daemon.history import HistoryRecording

    return HistoryRecording(instance, setup, clock)


def _build_group(instance: Instance, history: HistoryRecording | None) -> PeerGroup | None:
    setup = instance.config.operator.fleet
    peers = instance.config.peers
    if setup is None or peers is None:
        return None
    from garnetlanding.daemon.peer_group import PeerGroup

    return PeerGroup(instance, setup, peers, history)


def _build_shared_connections(
    instance: Instance, group: PeerGroup | None, link: PeerLinkManager
) -> SharedConnections | None:
    setup = instance.config.operator.fleet
    if group is None or setup is None or not setup.backend_connections:
        return None
    from garnetlanding.daemon.shared_connections import SharedConnections

    return SharedConnections(instance, setup.backend_connections, link)


def _build_received_disables(instance: Instance, group: PeerGroup | None) -> ReceivedDisables | None:
    if group is None or instance.config.ops:
        return None
    from garnetlanding.daemon.peer_group import ReceivedDisables

    return ReceivedDisables(instance, group)


def _build_audit(
    instance: Instance,
    settings: SettingsManager,
    discovery: DiscoveryWatch,
    group: PeerGroup | None,
    link: PeerLinkManager,
) -> AuditRecording | None:
    setup = instance.config.operator.audit
    if setup is None:
        return None
    from garnetlanding.daemon.audit import AuditRecording

    return AuditRecording(instance, setup, settings, discovery, group, link)


def _build_subset(instance: Instance, group: PeerGroup | None) -> BackendSubset | None:
    setup = instance.config.operator.choices
    if setup is None or not setup.subset_size:
        return None
    from garnetlanding.daemon.subset import BackendSubset

    return BackendSubset(instance, setup, group)


def _build_admin(
    instance: Instance,
    clients: RespClients,
    discovery: DiscoveryWatch,
    settings: SettingsManager,
    group: PeerGroup | None,
    link: PeerLinkManager,
) -> AdminFront | None:
    if not instance.config.ops:
        return None
    from garnetlanding.daemon.admin import AdminFront
    from garnetlanding.daemon.quota_enforcement import QuotaEnforcement

    quota = QuotaEnforcement(instance, settings, clients)
    return AdminFront(instance, clients, discovery, quota, group, link)


def _build_ninep(instance: Instance) -> NinepClients | None:
    setup = instance.config.operator.ninep
    if setup is None:
        return None
    from garnetlanding.daemon.ninep import NinepClients

    return NinepClients(instance, setup)


def _build_replication(instance: Instance) -> StoreReplication | None:
    setup = instance.config.operator.store
    if setup.role is StoreRole.ALONE:
        return None
    from garnetlanding.daemon.replication import StoreReplication

    return StoreReplication(instance, setup)


def _build_telemetry(instance: Instance) -> TelemetryExport | None:
    collector = instance.config.operator.telemetry
    if collector is None:
        return None
    from garnetlanding.daemon.telemetry import TelemetryExport

    return TelemetryExport(instance, collector)


def _build_fencing(
    instance: Instance,
    group: PeerGroup | None,
    link: PeerLinkManager,
    replication: StoreReplication | None,
    history: HistoryRecording | None,
) -> Fencing | None:
    if group is None and not instance.config.operator.store.max_staleness_us:
        return None  # nothing can fence this instance
    from garnetlanding.daemon.fencing import Fencing

    return Fencing(instance, link, replication, history, by_operator=group is not None)
