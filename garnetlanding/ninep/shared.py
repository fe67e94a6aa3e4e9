"""What all client connections of one 9P front share: the order of changes, locks, and who is there."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from garnetlanding.core.engine import RequestEngine
from garnetlanding.core.ports import Backend, Timer, Timers
from garnetlanding.limits import Limits
from garnetlanding.ninep.fids import Fid
from garnetlanding.ninep.locks import Exclusive, Locks
from garnetlanding.ninep.model import Path, Time
from garnetlanding.ninep.order import Order, Paths
from garnetlanding.ninep.setup import Export
from garnetlanding.ninep.shares import Shares
from garnetlanding.runtime.buffers import BufferPool

if TYPE_CHECKING:
    from garnetlanding.ninep.front import ClientMachine


class Front:
    """One for all connections; the machines find what is common to them here."""

    def __init__(
        self,
        core: RequestEngine,
        backend: Backend,
        exports: dict[str, Export],
        pool: BufferPool,
        limits: Limits,
        timers: Timers,
    ) -> None:
        self.core, self.backend, self.exports = core, backend, exports
        self.pool, self.limits, self.timers = pool, limits, timers
        self.order = Order(limits.ninep_change_pause_us, limits.ninep_change_pauses)
        self.shares = Shares(limits.ninep_requests, limits.ninep_active_us)
        self.locks, self.exclusive = Locks(limits.ninep_locks), Exclusive()
        self.clients: dict[int, ClientMachine] = {}
        self.wall: Callable[[], float] = time.time
        self._count = 0
        self._go: dict[int, Callable[[], None]] = {}
        self._held: dict[int, Fid] = {}  # whose changes wait or are out, by their tickets
        self._timer: Timer | None = None
        self._due = 0

    def join(self, machine: ClientMachine) -> int:
        self._count += 1
        self.clients[self._count] = machine
        return self._count

    def left(self, client: int) -> None:
        self.clients.pop(client, None)
        self.shares.left(client)

    def wall_time(self) -> Time:
        now = self.wall()
        return Time(int(now), int(now % 1 * 1_000_000_000))

    # Changes, in order

    def enter(self, client: int, at: Fid, paths: Paths, go: Callable[[], None]) -> tuple[int, bool]:
        """The change's ticket, and whether it may be sent now; else `go` is called once it may."""
        ticket, free = self.order.enter(client, paths, self.timers.now)
        self._held[ticket] = at
        if not free:
            self._go[ticket] = go
            self._arm()
        return ticket, free

    def ended(self, client: int, ticket: int, unsure: bool) -> None:
        self._go.pop(ticket, None)
        self._held.pop(ticket, None)
        self._send(self.order.ended(client, ticket, self.timers.now, unsure))

    def _send(self, tickets: list[int]) -> None:
        for ticket in tickets:
            # One of these may, as it goes, have ended another.
            if go := self._go.pop(ticket, None):
                go()
        self._arm()

    def _arm(self) -> None:
        due = self.order.next_at
        if due is None or (self._timer and self._due <= due):
            return
        if self._timer:
            self._timer.cancel()
        self._due, self._timer = due, self.timers.call_at(due, self._rested)

    def _rested(self) -> None:
        self._timer = None
        self._send(self.order.rested(self.timers.now))

    # Names

    def moved(self, export: str, old: Path, new: Path) -> None:
        """A file has a new name: whoever holds it, or what lies below it, holds it under that."""
        self.order.moved((export, old), new)
        fids = [at for machine in self.clients.values() for at in machine.fids.values()]
        for at in {id(at): at for at in (*fids, *self._held.values())}.values():
            if at.export.name == export and at.path[: len(old)] == old:
                at.path = new + at.path[len(old) :]
