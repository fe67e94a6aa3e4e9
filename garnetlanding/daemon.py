"""Puts one head together from its configuration, and ends it in an orderly way."""

from __future__ import annotations

import gc
import json
import logging
import tempfile
import time
import zlib
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from garnetlanding import __version__
from garnetlanding.config import Config, ConfigError, read_settings, reload
from garnetlanding.core.engine import RequestEngine
from garnetlanding.decision import interface as api
from garnetlanding.decision.control import Controller
from garnetlanding.discovery.listing import read_list
from garnetlanding.discovery.watch import Watch, WatchCallbacks, WatchRuntime
from garnetlanding.resp.brick import bricks
from garnetlanding.resp.front import ClientMachine as RespMachine
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.listener import Client, ClientMachine, Listener
from garnetlanding.runtime.scheduler import Scheduler, monotonic_us
from garnetlanding.runtime.signals import Signals
from garnetlanding.shutdown import Shutdown
from garnetlanding.store.cached_endpoints import SETTINGS, cache_listing, newest_listing
from garnetlanding.store.setup import StoreSetup
from garnetlanding.store.store import Entry, Store

if TYPE_CHECKING:  # what is off is not imported
    from garnetlanding.audit.assembly import AuditTrail
    from garnetlanding.audit.setup import AuditSetup
    from garnetlanding.choices.setup import ChoicesSetup
    from garnetlanding.history.writer import HistoryWriter
    from garnetlanding.ninep.setup import Ninep
    from garnetlanding.ops.admin_service import AdminService
    from garnetlanding.ops.fleet_access import FleetView
    from garnetlanding.ops.process_registry import ProcessRegistry
    from garnetlanding.ops.replicated_disables import ReplicatedDisables
    from garnetlanding.peers.coordinator import PeerCoordinator
    from garnetlanding.peers.failure_detector import FailureDetector
    from garnetlanding.peers.link import PeerLink
    from garnetlanding.peers.membership_protocol import MembershipProtocol
    from garnetlanding.peers.setup import FleetSetup, PeerSetup
    from garnetlanding.peers.shared_budgets import SharedBudgets
    from garnetlanding.store.staleness_guard import StalenessGuard
    from garnetlanding.telemetry.exporter import Exporter

log = logging.getLogger(__name__)


class _PeerFleet:
    """What operators may see of the other instances, while this process has a link to them."""

    def __init__(self, daemon: Daemon) -> None:
        self._daemon = daemon

    def rows(self, view: FleetView) -> list[dict[str, object]] | None:
        talk = self._daemon.talk
        return talk.known(view.value, self._daemon.scheduler.now) if talk else None

    def forget(self, instance: int) -> bool | None:
        group = self._daemon.group
        return group.members.mark_terminated(instance) if group else None


class Daemon:
    def __init__(
        self,
        config: Config,
        clock: Callable[[], int] = monotonic_us,
        read_again: Callable[[], Config] | None = None,
    ) -> None:
        """`read_again` reads and checks the whole configuration anew, for a reload."""
        self.config, self._read_again, self._clock = config, read_again, clock
        limits = self.limits = config.limits
        self.scheduler = Scheduler(clock)
        self.pool = BufferPool(limits.buffer_bytes, limits.pool_keep, limits.pool_most, limits.pool_start)
        self.listeners: list[Listener] = []
        self.store = self._open_store(config.operator.store)
        self.part = 1.0  # of the head's bounds
        self.lives: ProcessRegistry | None = None
        self.ending = False
        if config.ops:
            from garnetlanding.ops.process_registry import ProcessRegistry

            self.lives = ProcessRegistry(tempfile.gettempdir(), config.name)
            self.part = self.lives.next_share(0.0, False)
        settings = read_settings(self.store.get(SETTINGS, config.raw_settings))
        self.core = RequestEngine(Controller(self._as_used(settings), config.seed), self.scheduler, limits)
        self.scheduler.turn_end.append(self.core.run_iteration)
        self.bricks = bricks(self.scheduler, self.pool, limits)
        # One offset for good: were it read anew, a server's start time would seem to move.
        offset = time.time_ns() // 1000 - clock()
        known = newest_listing(self.store, config.known)
        cache_listing(self.store, known)
        version, listing = read_list(known, lambda us: us - offset, complete=True, at_start=True)
        own = BufferPool(limits.buffer_bytes, limits.discovery_buffers, limits.discovery_buffers)
        callbacks = WatchCallbacks(
            self.core.update_endpoints,
            self.core.endpoint_update_failed,
            lambda data: cache_listing(self.store, data),
            lambda: not self.core.settings.poll_endpoints,
        )
        runtime = WatchRuntime(self.scheduler, own, limits, lambda us: us - offset)
        self.watch = self.core.subscriptions = Watch(runtime, callbacks, config.discovery, version)
        self.core.update_endpoints(listing)
        self.watch.keep_open()
        self.link: PeerLink | None = None
        self.audit: AuditTrail | None = None
        self.settings_version = ""
        self.currency: StalenessGuard | None = None
        self.life = self._wall_ms()  # greater at each start, whatever the monotonic clock says
        self.history: HistoryWriter | None = None
        self._dropped: Counter[str] = Counter()  # messages of other heads, by cause
        self.talk: PeerCoordinator | None = None
        self.fleet: FailureDetector | None = None
        self.group: MembershipProtocol | None = None
        self._budgets: Callable[[api.Settings, int, int], SharedBudgets] | None = None
        self._link_retry = False  # a try to open it is planned
        self.exporter: Exporter | None = None
        self.desk: AdminService | None = None
        self.ops: Listener | None = None

    def run(self) -> int:
        self._catch_signals()
        self.start()
        # What start-up made lives as long as the daemon: the collector need not walk it again.
        gc.collect()
        gc.freeze()
        self.scheduler.run()
        log.info("ended")
        return 0

    def start(self) -> None:
        config, limits = self.config, self.limits
        if config.operator.history:
            from garnetlanding.history.writer import HistoryWriter

            self.history = HistoryWriter(config.operator.history.file, config.name, self.life, self._clock)
            self.core.observers.append(self.history)
        if config.operator.fleet and config.peers:
            self._start_fleet(config.operator.fleet, config.peers)
        if self.history or config.operator.audit:
            self._note_settings(self.store.get(SETTINGS, config.raw_settings))
        if config.operator.audit:
            self._start_audit(config.operator.audit)
        if (chosen := config.operator.choices) and chosen.subset_size:
            self._keep_some(chosen)
        ids: set[bytes] = set()
        front = self._listen(
            "RESP2",
            config.listen,
            limits.client_conns,
            lambda write: RespMachine(
                self.core,
                self.bricks,
                self.pool,
                limits,
                ids,
                write,
                lambda: self.desk is None or self.desk.accepts_clients,
            ),
            bool(config.ops),
        )
        # Clients and bricks share descriptors: what bricks do not need takes clients.
        front.lent = lambda: max(0, self.bricks.count - self.bricks.kept)
        self.bricks.borrow = front.lend
        if config.ops:
            self._start_ops(front)
        if config.operator.ninep:
            self._start_ninep(config.operator.ninep)
        if config.operator.store.role != "alone":
            self._replicate(config.operator.store)
        if config.operator.telemetry:
            self._start_telemetry()
        if self.fleet and not config.ops:
            self._hear_bans(self.fleet)
        if self.fleet or self.currency:
            self.core.fence.may_act = self._may_act
            self.core.fence.on_change.append(self._stand_back)
        self._place_link()
        if self.history:
            self.history.serving()

    def _start_fleet(self, on: FleetSetup, peers: PeerSetup) -> None:
        from garnetlanding.peers.failure_detector import FailureDetector

        self.fleet = FailureDetector(peers.limits, on.verdicts, on.bans, self.history)
        if on.seeds:
            from garnetlanding.peers.membership import Membership
            from garnetlanding.peers.membership_protocol import MembershipProtocol

            here = on.advertise or peers.listen
            members = Membership(
                peers.limits, self.core.settings.instance_id, self.life, here, on.seeds, self.scheduler.now
            )
            self.group = MembershipProtocol(peers.limits, members, self.history)
        if on.budgets:
            from garnetlanding.peers.shared_budgets import SharedBudgets

            longest = self._longest_us if on.server_connections else 0
            self._budgets = lambda s, life, now: SharedBudgets(peers.limits, s, life, now, longest)
        if on.server_connections:
            from garnetlanding.peers.connection_quota import ConnectionQuota

            self.bricks.places = ConnectionQuota(
                on.server_connections,
                self._longest_us,
                lambda: self.scheduler.now,
                lambda: self.talk.shared() if self.talk else None,
            )

    @property
    def _longest_us(self) -> int:
        """An attempt, with the sweep after it, lasts no longer."""
        return self.limits.sweep_us + max(c.deadline_us for c in self.core.settings.classes.values())

    def _keep_some(self, chosen: ChoicesSetup) -> None:
        from garnetlanding.choices.subset_tracker import SubsetTracker

        subset, core = SubsetTracker(chosen.subset_size), self.core
        self.bricks.outside_idle_us = chosen.idle_timeout_us
        self.bricks.keeps = lambda: subset.update(
            core.settings.instance_id,
            self.group.members.quota_holders if self.group else range(core.settings.instances),
            core.endpoints.zones(),
        )

    def _hear_bans(self, fleet: FailureDetector) -> None:
        """Where no operator is heard: what other heads' operators said, for as long as this process lives."""
        self.scheduler.call_at(self.scheduler.now + fleet.limits.look_us, lambda: self._hear_bans(fleet))
        if fleet.merge_received():
            self.core.set_disabled(fleet.disabled.disabled_names)

    def _listen(
        self,
        what: str,
        address: str,
        most: int,
        make: Callable[[Client], ClientMachine],
        shared: bool = False,
    ) -> Listener:
        listener = Listener(self.scheduler, address, self.pool, self.limits, most, make, shared)
        self.listeners.append(listener)
        log.info("listening", extra={"kv": {"name": self.config.name, "for": what, "at": listener.address}})
        return listener

    def _as_used(self, settings: api.Settings) -> api.Settings:
        """With the classes that exports derive from those of the settings, and this process's part."""
        # A writer's settings hold at every head, but for the number of each.
        settings = replace(settings, process_share=self.part, instance_id=self.config.settings.instance_id)
        if self.config.operator.choices:
            settings = self.config.operator.choices.with_retry_budget(settings)
        ninep = self.config.operator.ninep
        if not ninep or not any(export.writable for export in ninep.exports.values()):
            return settings
        from garnetlanding.ninep.ops import with_twins

        return with_twins(settings, (e.change_cls for e in ninep.exports.values() if e.writable))

    def _replicate(self, setup: StoreSetup) -> None:
        from garnetlanding.choices.stagger import stagger_offset
        from garnetlanding.store.follower import Follower, FollowerOptions
        from garnetlanding.store.writer_machine import WriterMachine

        if setup.role == "writer":
            self._listen(
                "followers",
                setup.address,
                self.limits.store_followers,
                lambda write: WriterMachine(self.store, self.scheduler, self.limits, write),
            )
            return
        if setup.max_staleness_us:
            from garnetlanding.store.staleness_guard import StalenessGuard

            self.currency = StalenessGuard(setup.max_staleness_us, setup.drift, self.scheduler.now)
        s = self.core.settings
        options = FollowerOptions(setup.address, stagger_offset(s.instance_id, s.instances, "store"))
        Follower(self.scheduler, self.pool, self.limits, self.store, options, self.currency)

    def _may_act(self, now: int) -> bool:
        """Whether this head is current, as far as it has to be, and no operator has shut it out."""
        shut = self.fleet is not None and self.core.endpoints.instance_disabled(
            self.core.settings.instance_id
        )
        return not shut and (self.currency is None or self.currency.is_current(now))

    def _stand_back(self, out: bool) -> None:
        if self.talk:
            self.talk.stand_back(out, self.scheduler.now)
        if self.history:
            self.history.fencing_changed(out, self.scheduler.now)

    def _start_audit(self, setup: AuditSetup) -> None:
        """Before anything else stands round the module: it sees what the module decides by."""
        from garnetlanding.audit.assembly import start_audit
        from garnetlanding.audit.records import Incarnation

        core = self.core
        sources: dict[str, Callable[[], str]] = {
            "code": lambda: __version__,
            "settings": lambda: self.settings_version,
            "list": lambda: str(self.watch.version),
            "bans": lambda: core.endpoints.disabled_digest,
            "out": lambda: (
                ""
                if not core.fence.is_fenced
                else "shut out"
                if core.endpoints.instance_disabled(core.settings.instance_id)
                else "not current"
            ),
        }
        if self.group:
            members = self.group.members
            sources["heads"] = lambda: members.digest.hex()
        incarnation = Incarnation(self.config.name, self.life)
        self.audit = start_audit(setup, core, incarnation, sources, lambda: self.talk, self._wall_ms)

    def _start_ninep(self, ninep: Ninep) -> None:
        from garnetlanding.ninep.client import file_servers
        from garnetlanding.ninep.front import ClientMachine as NinepMachine
        from garnetlanding.ninep.shared import Front

        servers = file_servers(
            self.scheduler, self.pool, self.limits, ninep.server_port, ninep.server_dialect
        )
        front = Front(self.core, servers, ninep.exports, self.pool, self.limits, self.scheduler)
        self._listen("9P", ninep.listen, self.limits.ninep_conns, lambda write: NinepMachine(front, write))

    def _start_ops(self, clients: Listener) -> None:
        from garnetlanding.ops.admin_connection import AdminConnection
        from garnetlanding.ops.admin_service import AdminService
        from garnetlanding.ops.managed_instance import ManagedInstance
        from garnetlanding.ops.state_file import StateFile

        limits, known_by = self.limits, self.scheduler.now + self.limits.ops_list_us
        desk = self.desk = AdminService(
            ManagedInstance(
                scheduler=self.scheduler,
                engine=self.core,
                clients=clients,
                limits=limits,
                endpoints_known=lambda: self.watch.is_synced or self.scheduler.now >= known_by,
                refresh_quota=lambda: self._share(clients),
            ),
            StateFile(tempfile.gettempdir(), self.config.name),
            _PeerFleet(self),
            self._shared_bans(),
        )
        self._keep_to(clients, self.part)
        # Places and times of its own: operators are heard however many clients, or half calls, there are.
        own = replace(
            limits,
            new_us=limits.ops_new_us,
            idle_us=limits.ops_new_us,
            idle_clients=limits.ops_conns,
            linger_conns=limits.ops_linger_conns,
        )
        at = self.ops = Listener(
            self.scheduler,
            self.config.ops,
            self.pool,
            own,
            limits.ops_conns,
            lambda write: AdminConnection(desk, self.pool, limits, write),
        )
        log.info("listening", extra={"kv": {"name": self.config.name, "for": "operators", "at": at.address}})

    def _shared_bans(self) -> ReplicatedDisables | None:
        on = self.config.operator.fleet
        if not (self.fleet and on and on.bans):
            return None
        from garnetlanding.ops.replicated_disables import ReplicatedDisables

        return ReplicatedDisables(self.fleet, lambda: self.core.settings.instance_id, self._wall_ms)

    def _wall_ms(self) -> int:
        history = self.config.operator.history
        return time.time_ns() // 1_000_000 + (history.wall_s() * 1000 if history else 0)

    def _share(self, clients: Listener) -> None:
        """Looks what the head's other process leaves to this one, and makes room for a newer one."""
        from garnetlanding.ops.process_quota import UPGRADE_SHARE

        assert self.lives
        if self.lives.has_successor:
            clients.shed(int(self.limits.client_conns * UPGRADE_SHARE))
            self.bricks.shed(int(self.limits.brick_conns * UPGRADE_SHARE))
        used = max(clients.used, self.bricks.used, self.pool.used, self.core.capacity.used)
        part = self.lives.next_share(used, self.ending)
        if part != self.part:
            self._keep_to(clients, part)
            self.core.apply_settings(
                self._as_used(read_settings(self.store.get(SETTINGS, self.config.raw_settings)))
            )
        # Said once it is kept to: the other process counts on it.
        self.lives.publish(part)

    def _keep_to(self, clients: Listener, part: float) -> None:
        self.part = clients.part = self.bricks.part = self.pool.part = self.core.capacity.share = part
        log.info("part of the bounds", extra={"kv": {"part": round(part, 3)}})

    def _place_link(self) -> None:
        """Opens, moves or closes the link to other heads, as settings and configuration say by now."""
        setup = self.config.peers if self.core.settings.may_message_peers else None
        if setup and self.config.operator.fleet:
            setup = self.config.operator.fleet.place(setup)
        if self.link and self.link.setup != setup:
            self.link.close()
            self.link = self.core.send_to_peer = None
        if setup is None or self.link or self._link_retry:
            return
        from garnetlanding.peers.coordinator import PeerCoordinator
        from garnetlanding.peers.link import PeerLink

        if self.talk is None:
            talk = self.talk = PeerCoordinator(
                self.core.module,
                self.life,
                setup.limits,
                self._dropped,
                self.history,
                False,
                self.fleet,
                self.group,
                self._budgets,
            )
            self.core.module = talk
        try:
            self.link = PeerLink(
                self.scheduler, setup, self.core.receive_peer_message, self._dropped, self.group
            )
        except OSError as problem:
            # The older process of an upgrade has it, and speaks for this head, until its end.
            log.warning("no link to other heads", extra={"kv": {"at": setup.listen, "why": problem.strerror}})
            self._link_retry = True
            self.scheduler.call_at(self.scheduler.now + setup.limits.open_retry_us, self._place_link_again)
            return
        self.talk.take_over(self.scheduler.now)
        self.core.send_to_peer = self.link.tell
        log.info(
            "listening",
            extra={"kv": {"name": self.config.name, "for": "other heads", "at": self.link.address}},
        )

    def _place_link_again(self) -> None:
        self._link_retry = False
        self._place_link()

    def _start_telemetry(self) -> None:
        from garnetlanding.telemetry.exporter import Exporter, ServiceInstance

        assert self.config.operator.telemetry
        exporter = self.exporter = Exporter(
            self.scheduler,
            self.config.operator.telemetry,
            ServiceInstance(self.config.name, self.config.seed),
            self.pool,
            self.limits,
        )
        self.core.observers.append(exporter)
        exporter.gauges = {
            "requests.open": lambda: self.core.open_requests,
            "clients": lambda: sum(map(len, self.listeners)),
            "server.connections": lambda: self.bricks.count,
            "buffers.used": lambda: self.pool.in_use,
            "store.revision": lambda: self.store.revision,
        }

    def _open_store(self, setup: StoreSetup) -> Store:
        """From its file where it has one; its settings are the configuration's unless a writer rules."""
        # Only followers read the log: without any it would hold on to lists long replaced.
        log_entries = self.limits.store_log_entries if setup.role == "writer" else 0
        store = Store(setup.writer, setup.role != "follower", log_entries)
        keeper = None
        if setup.file:
            from garnetlanding.store.persister import StorePersister

            keeper = StorePersister(self.scheduler, store, setup.file, self.limits.store_save_us)
        if store.writable:
            # Each life of the writer has a greater epoch, also when its file is lost.
            store.epoch = max(store.epoch + 1, time.time_ns() // 1_000_000)
            store.put(SETTINGS, self.config.raw_settings)
        if keeper:
            keeper.save()
        store.observers.append(self._store_changed)
        return store

    def _note_settings(self, raw: dict[str, Any]) -> None:
        """Which settings hold from now on, for what asks by version."""
        digest = zlib.crc32(json.dumps(raw, sort_keys=True).encode())
        self.settings_version = f"{self.store.epoch}.{self.store.revision}#{digest:08x}"
        if self.history:
            self.history.settings_applied(self.store.epoch, self.store.revision, digest, self.scheduler.now)

    def _store_changed(self, entry: Entry | None) -> None:
        """The store says which settings hold: those of a reload here, or of the writer's."""
        raw = self.store.get(SETTINGS)
        if raw is None or (entry and entry.key != SETTINGS):
            return
        try:
            self.core.apply_settings(self._as_used(read_settings(raw)))
        except ConfigError as problem:
            log.error("settings not taken, the old ones stand", extra={"kv": {"why": problem}})
            if self.audit:
                self.audit.change_rejected(self.scheduler.now, "settings", str(problem))
        else:
            log.info("settings taken")
            self._note_settings(raw)
            self.watch.keep_open()
            self._place_link()

    # Signals

    def reload(self) -> None:
        """Nothing changes before the whole file has been read and found sound; open requests run on."""
        if self._read_again is None:
            return
        try:
            config, fixed = reload(self.config, self._read_again())
        except ConfigError as problem:
            log.error("reload turned away, the old configuration stands", extra={"kv": {"why": problem}})
            return
        old, self.config = self.config, config
        log.info(
            "reloaded",
            extra={"kv": {"discovery": config.discovery, "for_a_restart": ",".join(fixed) or "nothing"}},
        )
        if self.store.writable:
            self.store.put(SETTINGS, config.raw_settings)
        self._place_link()
        if config.discovery != old.discovery:
            # Not at the module's next asking: what the new discovery has to tell counts as told soon.
            self.watch.switch_to(config.discovery)

    def _catch_signals(self) -> None:
        Signals(self.scheduler, self.limits.signal_bytes, self.reload, self.end)

    def end(self) -> None:
        """Goes on serving for a while, as clients use the connections they have for as long as those stay
        open and have nobody else to ask; then finishes what was taken, ends its parts, and stops."""
        log.info("ending", extra={"kv": {"open": self.core.open_requests}})
        self.ending = True
        try:
            # Beside a newer process its clients have somewhere to go: they need not wait here.
            Shutdown(self.scheduler, self.limits, self.core, self.listeners, self._hand_over).run(
                [
                    ("operators", self._end_ops),
                    ("telemetry", self._end_telemetry),
                    ("link", self._leave),
                    ("audit", self._end_audit),
                    ("life", self._end_life),
                ]
            )
        finally:
            self.scheduler.stop()

    def _hand_over(self) -> bool:
        """Whether a newer process speaks for this head from now on. It is left the link: both would use this
        head's parts of limits."""
        newer = self.lives is not None and self.lives.has_successor
        if newer and self.link and self.talk:
            self.talk.retire(self.scheduler.now)
            self.link.close()
            self.link = self.core.send_to_peer = None
        return newer

    def _wait_for(self, done: Callable[[], bool], span_us: int) -> None:
        last = self.scheduler.now + span_us
        while not done() and self.scheduler.now < last:
            self.scheduler.sleep(self.limits.term_look_us)

    def _end_ops(self) -> None:
        if self.ops is not None:
            # An operator who calls at this moment is heard like any other.
            ops = self.ops
            ops.stop_accepting()
            self._wait_for(lambda: not len(ops), self.limits.ops_last_us)

    def _end_telemetry(self) -> None:
        if self.exporter:
            exporter = self.exporter
            exporter.finish()
            self._wait_for(lambda: exporter.done, self.limits.telemetry_last_us)

    def _leave(self) -> None:
        if self.link and self.talk:
            self.talk.leave(self.scheduler.now, self.link.tell)

    def _end_audit(self) -> None:
        if self.audit:
            self.audit.stop(self.scheduler.now)

    def _end_life(self) -> None:
        if self.lives:
            self.lives.close()
