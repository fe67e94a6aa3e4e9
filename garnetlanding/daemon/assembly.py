"""Composes an instance from its configuration, and defines the orders of start, reload and stop.

Subsystems start in this order, each before those that depend on it:

1. history: it observes requests, and later subsystems write to it.
2. peer group and shared connections: audit, backend subset and peer link use the membership.
3. settings, if history or audit record the version that the instance starts with.
4. audit: it has to wrap the decision module directly, before the peers' coordinator does.
5. backend subset: it uses the membership.
6. RESP2 clients: the admin service drains them and limits their number.
7. admin service, which restores the stored administrative state; then the 9P clients.
8. replication: fencing depends on whether a follower's settings are recent.
9. telemetry; then the disables received from peers, if there is no admin service.
10. fencing, and last the peer link, whose coordinator is the outermost wrapper of the decision module.

A reload reaches the settings first, because they decide whether a peer link is allowed, then the peer link
and discovery.

Once the clients' requests are finished (`garnetlanding.daemon.shutdown`), subsystems stop in this order:

1. admin service: operators' calls in progress are answered.
2. telemetry: the last requests are exported.
3. peer link: this instance uses its leased quotas until now, so it must not notify its peers sooner.
4. audit: it still records what the link sends at its end.
5. process registry: until now, the other process of an upgrade relies on this one's record.

`garnetlanding.daemon.optional_subsystems` builds the subsystems that may be off.
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
from garnetlanding.daemon.optional_subsystems import (
    build_admin,
    build_audit,
    build_fencing,
    build_group,
    build_history,
    build_ninep,
    build_received_disables,
    build_replication,
    build_shared_connections,
    build_subset,
    build_telemetry,
)
from garnetlanding.daemon.peer_link import PeerLinkManager
from garnetlanding.daemon.process_registration import ProcessRegistration
from garnetlanding.daemon.settings import SettingsManager, effective_settings, stored_settings
from garnetlanding.daemon.store_opening import open_store
from garnetlanding.decision.control import Controller
from garnetlanding.resp.backend_protocol import create_resp_upstream
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.eviction_log import EvictionLog
from garnetlanding.runtime.scheduler import Scheduler

if TYPE_CHECKING:  # a subsystem that is off is not imported
    from garnetlanding.daemon.admin import AdminServer
    from garnetlanding.daemon.audit import AuditRecording
    from garnetlanding.daemon.history import HistoryRecording


@dataclass(eq=False, repr=False)  # generating these methods, which are not used, would slow down each start
class Assembly:
    """The parts of one instance. A subsystem that is off is None, and absent from the orders."""

    instance: Instance
    discovery: DiscoveryWatch
    peer_link: PeerLinkManager
    history: HistoryRecording | None
    admin: AdminServer | None
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
    history = build_history(instance, clock)
    group = build_group(instance, history)
    link = PeerLinkManager(instance, group, history)
    settings = SettingsManager(instance)
    audit = build_audit(instance, settings, discovery, group, link)
    clients = RespClients(instance)
    admin = build_admin(instance, clients, discovery, settings, group, link)
    replication = build_replication(instance)
    telemetry = build_telemetry(instance)
    _subscribe_to_settings(settings, history, audit, discovery, link)
    start_order = _enabled(
        history,
        group,
        build_shared_connections(instance, group, link),
        settings if history or audit else None,
        audit,
        build_subset(instance, group),
        clients,
        admin,
        build_ninep(instance),
        replication,
        telemetry,
        build_received_disables(instance, group),
        build_fencing(instance, group, link, replication, history),
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
    controller = Controller(
        effective_settings(config, process.quota, settings), config.seed, limits.decision_records
    )
    core = RequestEngine(controller, scheduler, limits)
    scheduler.iteration_hooks.append(core.run_iteration)
    EvictionLog(scheduler, pool.budget, limits.sweep_us)
    return Instance(
        config=config,
        scheduler=scheduler,
        pool=pool,
        store=store,
        process=process,
        core=core,
        backends=create_resp_upstream(scheduler, pool, limits),
        incarnation=wall_ms(config),
    )
