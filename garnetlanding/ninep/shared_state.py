"""What all client connections of one 9P listener share: the order of changes, locks, and the clients."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Protocol

from garnetlanding.core.engine import RequestEngine
from garnetlanding.core.ports import BackendTransport, Timer, Timers
from garnetlanding.limits import Limits
from garnetlanding.ninep.fair_admission import FairAdmission
from garnetlanding.ninep.fids import Fid
from garnetlanding.ninep.locks import ExclusiveUse, LockTable
from garnetlanding.ninep.model import Path, Timestamp
from garnetlanding.ninep.order import ChangeOrder, Enqueued, ExportPaths
from garnetlanding.ninep.setup import Export
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.protocols import ClientProtocol

_NANOSECONDS = 1_000_000_000


class ConnectedClient(ClientProtocol, Protocol):
    """A client connection, whose fids follow renames that any client does."""

    @property
    def fids(self) -> dict[int, Fid]:
        """Return the fids of the connection's session."""


class SharedState:
    """One for all connections of a listener.

    Its `order`, `admission`, `locks` and `exclusive_use` hold for all of them; `clients` has the connections
    by the number that `join` gave them.
    """

    def __init__(
        self,
        core: RequestEngine,
        backend: BackendTransport,
        exports: dict[str, Export],
        pool: BufferPool,
        limits: Limits,
        timers: Timers,
    ) -> None:
        self.core = core
        self.backend = backend
        self.exports = exports
        self.pool = pool
        self.limits = limits
        self.timers = timers
        self.order = ChangeOrder(limits.ninep_change_pause_us, limits.ninep_change_pauses)
        self.admission = FairAdmission(limits.ninep_requests, limits.ninep_active_us)
        self.locks = LockTable(limits.ninep_locks)
        self.exclusive_use = ExclusiveUse()
        self.clients: dict[int, ConnectedClient] = {}
        self.clock: Callable[[], float] = time.time
        self._last_client = 0
        self._start_calls: dict[int, Callable[[], None]] = {}  # of queued changes, by ticket
        self._changed_fids: dict[int, Fid] = {}  # of changes that are queued or in flight, by ticket
        self._timer: Timer | None = None
        self._timer_due = 0

    def join(self, client: ConnectedClient) -> int:
        """Add a connection; return its number."""
        self._last_client += 1
        self.clients[self._last_client] = client
        return self._last_client

    def leave(self, client: int) -> None:
        """Remove a connection that has closed. Its changes that are still running keep their order."""
        self.clients.pop(client, None)
        self.admission.forget(client)

    def wall_time(self) -> Timestamp:
        """Return the time of day, for a setattr that sets a time to "now"."""
        now = self.clock()
        return Timestamp(int(now), int(now % 1 * _NANOSECONDS))

    # Changes, in order

    def enqueue_change(
        self, client: int, fid: Fid, paths: ExportPaths, start: Callable[[], None]
    ) -> Enqueued:
        """Give a change its place in the order; where it may not start at once, `start` is called later."""
        enqueued = self.order.enqueue(client, paths, self.timers.now)
        self._changed_fids[enqueued.ticket] = fid
        if not enqueued.may_start:
            self._start_calls[enqueued.ticket] = start
            self._set_timer()
        return enqueued

    def finish_change(self, client: int, ticket: int, outcome_unknown: bool) -> None:
        """Start the changes that waited for one that has ended or was cancelled."""
        self._start_calls.pop(ticket, None)
        self._changed_fids.pop(ticket, None)
        self._start(self.order.finish(client, ticket, self.timers.now, outcome_unknown))

    def _start(self, tickets: list[int]) -> None:
        for ticket in tickets:
            # Starting one of these may have ended another.
            start = self._start_calls.pop(ticket, None)
            if start:
                start()
        self._set_timer()

    def _set_timer(self) -> None:
        due = self.order.next_expiry
        if due is None or (self._timer and self._timer_due <= due):
            return
        if self._timer:
            self._timer.cancel()
        self._timer_due = due
        self._timer = self.timers.call_at(due, self._expire_pauses)

    def _expire_pauses(self) -> None:
        self._timer = None
        self._start(self.order.expire_pauses(self.timers.now))

    # Names

    def rename(self, export: str, old: Path, new: Path) -> None:
        """Follow a rename: every fid on the file, or on something below it, gets the new path."""
        self.order.rename((export, old), new)
        fids = [fid for client in self.clients.values() for fid in client.fids.values()]
        distinct = {id(fid): fid for fid in (*fids, *self._changed_fids.values())}
        for fid in distinct.values():
            if fid.export.name == export and fid.path[: len(old)] == old:
                fid.path = new + fid.path[len(old) :]
