"""Carries attempts to backends: a pool of connections, with one attempt at a time on each.

One at a time, because stopping an attempt means closing its connection, and that would take along whatever
else is in flight on it.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from garnetlanding.core.ports import AttemptHandle
from garnetlanding.decision.interface import Outcome
from garnetlanding.limits import Limits
from garnetlanding.runtime.backend_connection import Connection, Key, MakeMachine, ServerMachine
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.errors import BackendProtocolError
from garnetlanding.runtime.scheduler import Scheduler

__all__ = ["BackendProtocolError", "ConnectionQuota", "ServerMachine", "Upstream"]

log = logging.getLogger(__name__)


class ConnectionQuota(Protocol):
    """The own share of the connections that all instances together may have at a backend."""

    def max_connections(self, backend: str) -> int:
        """Return how many connections to the backend this instance may have now."""

    def set_open(self, backend: str, count: int, lacking: bool = False) -> None:
        """Report how many connections are open, and whether one more was needed (`lacking`)."""


class Upstream:
    """Implements the core's BackendTransport port for one protocol.

    `place` returns the address that an endpoint of discovery stands for, and `bind` what a connection is
    bound to besides that address. At most `most` connections are open, and only `part` of them while another
    process of the instance has the rest; `borrow` is asked before more than this side's own are used.
    `quota` is set where all instances together have a limit at each backend. `keeps`, where set, returns the
    backends to which idle connections are kept; to others they are closed after `outside_idle_us`. `faults`
    counts protocol errors by address and cause since the last sweep.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        pool: BufferPool,
        limits: Limits,
        most: int,
        make: MakeMachine,
        place: Callable[[str], str] = lambda endpoint: endpoint,
        bind: Callable[[AttemptHandle], str] = lambda _trial: "",
    ) -> None:
        self.scheduler = scheduler
        self.pool = pool
        self.limits = limits
        self.make = make
        self._most = most
        self._place = place
        self._bind = bind
        self._conns: dict[Key, set[Connection]] = {}
        self._idle: dict[Key, list[Connection]] = {}
        self._busy: dict[AttemptHandle, Connection] = {}
        self.count = 0
        self.part = 1.0
        self.quota: ConnectionQuota | None = None
        self.keeps: Callable[[], frozenset[str]] | None = None
        self.outside_idle_us = limits.backend_idle_us
        self.borrow: Callable[[], bool] = lambda: True
        self.faults: Counter[tuple[str, str]] = Counter()
        scheduler.call_at(scheduler.now + limits.sweep_us, self._sweep)

    # The core's port

    def allows(self, trial: AttemptHandle, key: Key) -> bool:
        """Return whether the backend may still be sent the attempt, and still listens at that address."""
        endpoint = trial.address()
        return endpoint is not None and self._place(endpoint) == key[0]

    def start(self, trial: AttemptHandle) -> None:
        """Send the attempt over a free connection, or over a new one."""
        endpoint = trial.address()
        if endpoint is None:
            trial.finish(Outcome.UNREACHABLE)
            return
        key = self._place(endpoint), self._bind(trial)
        conn = self._reusable(key, trial)
        if conn:
            self._idle[key].remove(conn)
            self._busy[trial] = conn
            conn.begin(trial)
            return
        conns = self._conns.setdefault(key, set())
        if self.quota and len(conns) >= self.quota.max_connections(trial.node):
            # The quota is lacking, not the backend: nothing is to be learnt of it.
            self.quota.set_open(trial.node, len(conns), lacking=True)
            trial.finish(Outcome.NEVER_DISPATCHED)
            return
        if len(conns) >= self.limits.conns_per_backend or not self._make_capacity():
            trial.finish(Outcome.UNREACHABLE)
            return
        self.count += 1
        conn = self._busy[trial] = Connection(self, key, trial)
        conns.add(conn)
        self._report_open(conn)

    def _reusable(self, key: Key, trial: AttemptHandle) -> Connection | None:
        """Return the free connection to use; those that are no longer good are closed."""
        idle = self._idle.get(key, [])
        while idle:
            # The one used last unless another suits better: the rest idle long enough to be closed.
            conn = next((free for free in reversed(idle) if free.machine.suits(trial)), idle[-1])
            if conn.quiet():
                return conn
            # Closed right behind its last response, in this very iteration: a request written now is
            # reset. Or more was sent behind it, which would be taken for the response to this request.
            conn.close()
        return None

    def stop(self, trial: AttemptHandle) -> None:
        """Stop the attempt by closing its connection."""
        conn = self._busy.pop(trial, None)
        if conn:
            conn.trial = None
            conn.close()

    # Capacity

    @property
    def reserved(self) -> int:
        """Return the number of connections that nobody else may take."""
        return int(self.limits.backend_conns_reserved * self.part)

    @property
    def used(self) -> float:
        """Return the part of the connections that is open, from 0 to 1."""
        return self.count / self._most

    def _make_capacity(self) -> bool:
        """Return whether one more connection is possible, closing an idle one where necessary."""
        if self.count < int(self._most * self.part) and (self.count < self.reserved or self.borrow()):
            return True
        return self._close_oldest()

    def _close_oldest(self) -> bool:
        idle = (conn for conns in self._idle.values() for conn in conns)
        oldest = min(idle, key=lambda conn: conn.idle_since, default=None)
        if oldest is None:
            return False
        oldest.close()
        return True

    def shed(self, most: int) -> None:
        """Close idle connections as long as there are more than `most`."""
        while self.count > most and self._close_oldest():
            pass

    # What connections report

    def freed(self, conn: Connection) -> None:
        """Take notice that the connection is free for another attempt."""
        if conn.trial:
            self._busy.pop(conn.trial, None)
        if not conn.closed:
            self._idle.setdefault(conn.key, []).append(conn)
            self._close_above_quota(conn.key)

    def gone(self, conn: Connection) -> None:
        """Forget a connection that is closed."""
        if conn.trial:
            self._busy.pop(conn.trial, None)
        self.count -= 1
        self._conns[conn.key].discard(conn)
        self._report_open(conn)
        if conn in self._idle.get(conn.key, ()):
            self._idle[conn.key].remove(conn)

    def _report_open(self, conn: Connection) -> None:
        if self.quota:
            self.quota.set_open(conn.node, len(self._conns[conn.key]))

    def _close_above_quota(self, key: Key) -> None:
        """Close connections above the quota share: idle ones at once, those at work as they come free.

        The share shrinks when what peers had lent goes back to them.
        """
        idle = self._idle.get(key, [])
        while self.quota and idle and len(self._conns[key]) > self.quota.max_connections(idle[0].node):
            idle[0].close()

    # The sweep

    def _sweep(self) -> None:
        """Report faults, and close connections that are stuck, above the quota, or idle for too long."""
        self.scheduler.call_at(self.scheduler.now + self.limits.sweep_us, self._sweep)
        self._log_faults()
        self._close_stuck()
        for key in list(self._idle):
            self._close_above_quota(key)
        self._close_idle()
        for key in [key for key, conns in self._conns.items() if not conns]:
            del self._conns[key]
            self._idle.pop(key, None)

    def _log_faults(self) -> None:
        if not self.faults:
            return
        address, cause = self.faults.most_common(1)[0][0]
        log.warning(
            "backend connections closed",
            extra={"kv": {"count": self.faults.total(), "most_at": address, "mostly": cause}},
        )
        self.faults.clear()

    def _close_stuck(self) -> None:
        """Close connections busy for longer than any attempt: the backend owes a response and is silent."""
        began_before = self.scheduler.now - self.limits.client_wait_us - self.limits.sweep_us
        stuck = [conn for conns in self._conns.values() for conn in conns if conn.began_at <= began_before]
        for conn in stuck:
            if conn not in self._idle.get(conn.key, ()):
                conn.close()

    def _close_idle(self) -> None:
        """Close idle connections before the backend does: a request that crosses its close would be lost."""
        now = self.scheduler.now
        kept_backends = self.keeps() if self.keeps else None
        for conns in list(self._idle.values()):
            expired = []
            for conn in conns:
                is_kept = kept_backends is None or conn.node in kept_backends
                max_idle_us = self.limits.backend_idle_us if is_kept else self.outside_idle_us
                if conn.idle_since <= now - max_idle_us:
                    expired.append(conn)
            for conn in expired:
                conn.close()
