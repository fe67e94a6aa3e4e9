"""The state shared by all client connections of one 9P listener: change order, locks and clients."""

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
from garnetlanding.ninep.order import ChangeOrder, Enqueued, ExportPaths, path_after_rename
from garnetlanding.ninep.setup import Export
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.protocols import ClientProtocol

_NANOSECONDS = 1_000_000_000


class ConnectedClient(ClientProtocol, Protocol):
    """A client connection, whose fids are updated after renames by any client."""

    @property
    def fids(self) -> dict[int, Fid]:
        """Return the fids of the connection's session."""


class SharedState:
    """The state of one listener that all its connections share.

    `clients` has the connections by the number that `register_client` assigned to them.
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
        self.unanswered_removals = (
            0  # of files that were opened with ORCLOSE by clients that have disconnected
        )
        self.clock: Callable[[], float] = time.time
        self._last_client = 0
        self._start_callbacks: dict[int, Callable[[], None]] = {}  # by ticket of a queued change
        self._changed_fids: dict[int, Fid] = {}  # by ticket of a queued or in-flight change
        self._timer: Timer | None = None
        self._timer_due = 0

    def register_client(self, client: ConnectedClient) -> int:
        """Add a connection; return its number."""
        self._last_client += 1
        self.clients[self._last_client] = client
        return self._last_client

    def unregister_client(self, client: int) -> None:
        """Remove a closed connection. Its changes that are still running stay in the change order."""
        self.clients.pop(client, None)
        self.admission.remove_client(client)

    def wall_time(self) -> Timestamp:
        """Return the wall-clock time, for a setattr that sets a time to the current time."""
        now = self.clock()
        return Timestamp(int(now), int(now % 1 * _NANOSECONDS))

    # Order of changes

    def enqueue_change(
        self, client: int, fid: Fid, paths: ExportPaths, start: Callable[[], None]
    ) -> Enqueued:
        """Add a change to the order; if it may not start at once, `start` is called later."""
        enqueued = self.order.enqueue(client, paths, self.timers.now)
        self._changed_fids[enqueued.ticket] = fid
        if not enqueued.may_start:
            self._start_callbacks[enqueued.ticket] = start
            self._set_timer()
        return enqueued

    def finish_change(self, client: int, ticket: int, outcome_unknown: bool) -> None:
        """Remove a change that has ended or was cancelled, and start those that waited for it."""
        self._start_callbacks.pop(ticket, None)
        self._changed_fids.pop(ticket, None)
        self._start(self.order.finish(client, ticket, self.timers.now, outcome_unknown))

    def _start(self, tickets: list[int]) -> None:
        for ticket in tickets:
            # Starting one change may have finished another one in the list.
            start = self._start_callbacks.pop(ticket, None)
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

    # Renames

    def rename(self, export: str, old: Path, new: Path) -> None:
        """Update the path of every fid of the renamed file or of a file below it."""
        old_export_path = (export, old)
        self.order.rename(old_export_path, new)
        fids = [fid for client in self.clients.values() for fid in client.fids.values()]
        distinct = {id(fid): fid for fid in (*fids, *self._changed_fids.values())}
        for fid in distinct.values():
            _, fid.path = path_after_rename((fid.export.name, fid.path), old_export_path, new)
