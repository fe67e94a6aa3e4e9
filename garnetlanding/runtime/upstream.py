"""Carries attempts to servers: one attempt a connection at a time, connections kept for reuse.

One at a time, because stopping an attempt means closing its connection, and that would take along
whatever else is out on it.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from garnetlanding.core.body import Body
from garnetlanding.core.ports import AttemptHandle
from garnetlanding.decision.interface import Outcome
from garnetlanding.limits import Limits
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.scheduler import Expired, Scheduler
from garnetlanding.runtime.stream import Closed, Stream

log = logging.getLogger(__name__)


class ConnectionQuota(Protocol):
    """Of the connections that all heads together may have at a server, this head's."""

    def max_connections(self, backend: str) -> int: ...

    def set_open(self, backend: str, count: int, lacking: bool = False) -> None: ...


Key = tuple[str, str]  # endpoint, and what else a connection is bound to


class PeerFault(Exception):
    """The server broke its protocol, or must not be sent the rest: the connection is closed."""


class ServerMachine(Protocol):
    """One server connection's protocol. It ends the attempt, and calls `done` when free for the next."""

    def begin(self, trial: AttemptHandle) -> None: ...

    def feed(self, data: bytes | memoryview) -> None: ...

    @property
    def exposed(self) -> bool:
        """Whether what was written for the present attempt, once whole at the server, may have run."""

    @property
    def midway(self) -> bool:
        """Part of a message has come."""

    @property
    def body(self) -> Body | None:
        """The value that is being passed on."""

    def suits(self, trial: AttemptHandle) -> bool:
        """Whether this connection, of several that are free, would serve the attempt better."""

    def close(self) -> None: ...


MakeMachine = Callable[[AttemptHandle, Callable[[bytes], None], Callable[[], None]], ServerMachine]


class Connection:
    def __init__(self, upstream: Upstream, key: Key, trial: AttemptHandle) -> None:
        self._upstream, self.key, self.node = upstream, key, trial.node
        self.trial: AttemptHandle | None = trial
        self.machine = upstream.make(trial, self._write, self._done)
        self.began_at = self.idle_since = upstream.scheduler.now
        self.closed = False
        self._written = False  # a whole message of the present attempt is with the kernel
        self._stream: Stream | None = None
        self._passing: Body | None = None
        self._read = 0  # buffers of it since others had their turn
        self._task = upstream.scheduler.spawn(self._run)

    def _run(self) -> None:
        upstream, trial = self._upstream, self.trial
        if trial is None:
            return  # stopped before its first turn
        deadline = min(upstream.scheduler.now + upstream.limits.dial_us, trial.until_us)
        try:
            self._stream = Stream.connect(
                upstream.scheduler, self.key[0], upstream.pool, upstream.limits, deadline
            )
            self._stream.on_broken = self.close
            self.begin(trial)
            whole_by: int | None = None
            while not self.closed and self._stream.read(self.machine.feed, whole_by):
                if body := self.machine.body:
                    self._let_pass(body)
                    whole_by = upstream.scheduler.now + upstream.limits.pass_stall_us
                    continue
                # A server writes an answer at once: part of one, and then nothing or more without an end,
                # would hold the attempt until its client gives up.
                if not self.machine.midway:
                    whole_by = None
                elif whole_by is None:
                    whole_by = upstream.scheduler.now + upstream.limits.half_answer_us
                elif upstream.scheduler.now >= whole_by:
                    raise PeerFault("half an answer")
        except PeerFault as fault:
            upstream.faults[self.key[0], str(fault)] += 1
        except (OSError, Expired, Closed):
            pass
        finally:
            self.close()

    def _let_pass(self, body: Body) -> None:
        """Others have their turn in between; while the client leaves too much unread, nothing is read."""
        scheduler = self._upstream.scheduler
        if self._passing is not body:
            self._passing = body
            body.on_writable = lambda: scheduler.wake(self._task)
            body.on_end.append(lambda whole: None if whole else self.close())
        self._read += 1
        if self._read * self._upstream.pool.size >= self._upstream.limits.pass_window:
            self._read = 0
            scheduler.sleep(0)
        while body.blocked and not self.closed:
            scheduler.park()

    def quiet(self) -> bool:
        return self._stream is not None and self._stream.quiet()

    def begin(self, trial: AttemptHandle) -> None:
        """Starts the attempt. The drain rule counts a send from its first byte, so this is where it is
        checked, also for one that has waited for the connection."""
        self.trial, self._written = trial, False
        self.began_at = self._upstream.scheduler.now
        if not self._upstream.allows(trial, self.key):
            trial.finish(Outcome.UNREACHABLE)
            self._done()
            return
        self.machine.begin(trial)

    def _write(self, data: bytes) -> None:
        assert self._stream
        self._stream.on_flushed = self._flushed
        self._stream.write(data)

    def _flushed(self) -> None:
        self._written = self.machine.exposed
        if self._written and self.trial:
            self.trial.request_written()

    def _done(self) -> None:
        self.idle_since = self._upstream.scheduler.now
        self._upstream.freed(self)
        self.trial = None

    def close(self) -> None:
        """Ends the connection. An attempt still out on it was reset, or never ran if not all was written."""
        if self.closed:
            return
        self.closed = True
        if self._stream:
            self._stream.close()
        else:
            self._upstream.scheduler.wake(self._task, Closed())
        self.machine.close()
        self._upstream.gone(self)
        trial, self.trial = self.trial, None
        if trial:
            trial.finish(Outcome.RESET if self._written else Outcome.UNREACHABLE)


class Upstream:
    """Implements the core's Backend port for one protocol.

    `place` tells which address an endpoint of discovery stands for, and `bind` what a connection is
    bound to besides that address.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        pool: BufferPool,
        limits: Limits,
        most: int,
        make: MakeMachine,
        place: Callable[[str], str] = lambda endpoint: endpoint,
        bind: Callable[[AttemptHandle], str] = lambda trial: "",
    ) -> None:
        self.scheduler, self.pool, self.limits, self.make = scheduler, pool, limits, make
        self._most, self._place, self._bind = most, place, bind
        self._conns: dict[Key, set[Connection]] = {}
        self._idle: dict[Key, list[Connection]] = {}
        self._busy: dict[AttemptHandle, Connection] = {}
        self.count = 0
        self.part = 1.0  # of the connections, to be kept to while another process has the rest
        self.places: ConnectionQuota | None = None  # where all heads together have so many at one server
        # Where idle connections are kept to some servers only: which, and for how long to others.
        self.keeps: Callable[[], frozenset[str]] | None = None
        self.outside_idle_us = limits.brick_idle_us
        self.borrow: Callable[[], bool] = lambda: True  # asked for a place beyond those that are its own
        self.faults: Counter[tuple[str, str]] = Counter()  # by server and cause, since the last sweep
        scheduler.call_at(scheduler.now + limits.sweep_us, self._sweep)

    def allows(self, trial: AttemptHandle, key: Key) -> bool:
        """Whether its server may still be sent the attempt, and still listens where this goes."""
        endpoint = trial.address()
        return endpoint is not None and self._place(endpoint) == key[0]

    def start(self, trial: AttemptHandle) -> None:
        endpoint = trial.address()
        if endpoint is None:
            trial.finish(Outcome.UNREACHABLE)
            return
        key = self._place(endpoint), self._bind(trial)
        idle = self._idle.get(key, [])
        while idle:
            # The one used last unless another suits better: the rest idle long enough to be closed.
            conn = next((c for c in reversed(idle) if c.machine.suits(trial)), idle[-1])
            if not conn.quiet():
                # Closed right behind its last answer, in this very turn: a request written now is a reset.
                # Or more was said behind it, which would be taken for the answer to this request.
                conn.close()
                continue
            idle.remove(conn)
            self._busy[trial] = conn
            conn.begin(trial)
            return
        conns = self._conns.setdefault(key, set())
        if self.places and len(conns) >= self.places.max_connections(trial.node):
            # The place is lacking, not the server: nothing is to be learnt of it.
            self.places.set_open(trial.node, len(conns), lacking=True)
            trial.finish(Outcome.NEVER_DISPATCHED)
            return
        if len(conns) >= self.limits.brick_conns_each or not self._room():
            trial.finish(Outcome.UNREACHABLE)
            return
        self.count += 1
        conn = self._busy[trial] = Connection(self, key, trial)
        conns.add(conn)
        self._tell_places(conn)

    def _tell_places(self, conn: Connection) -> None:
        if self.places:
            self.places.set_open(conn.node, len(self._conns[conn.key]))

    def stop(self, trial: AttemptHandle) -> None:
        conn = self._busy.pop(trial, None)
        if conn:
            conn.trial = None
            conn.close()

    @property
    def kept(self) -> int:
        """Connections that nobody else may take."""
        return int(self.limits.brick_conns_kept * self.part)

    @property
    def used(self) -> float:
        """What part of the connections is open."""
        return self.count / self._most

    def _room(self) -> bool:
        if self.count < int(self._most * self.part) and (self.count < self.kept or self.borrow()):
            return True
        return self._close_oldest()

    def _close_oldest(self) -> bool:
        idle = (c for conns in self._idle.values() for c in conns)
        oldest = min(idle, key=lambda c: c.idle_since, default=None)
        if oldest is None:
            return False
        oldest.close()
        return True

    def shed(self, most: int) -> None:
        """Closes idle connections as long as there are more than that."""
        while self.count > most and self._close_oldest():
            pass

    def freed(self, conn: Connection) -> None:
        if conn.trial:
            self._busy.pop(conn.trial, None)
        if not conn.closed:
            self._idle.setdefault(conn.key, []).append(conn)
            self._keep_to_places(conn.key)

    def _keep_to_places(self, key: Key) -> None:
        """What others had left to this head has gone back: connections above its part are closed, idle ones
        at once and those at work as they come free."""
        idle = self._idle.get(key, [])
        while self.places and idle and len(self._conns[key]) > self.places.max_connections(idle[0].node):
            idle[0].close()

    def gone(self, conn: Connection) -> None:
        if conn.trial:
            self._busy.pop(conn.trial, None)
        self.count -= 1
        self._conns[conn.key].discard(conn)
        self._tell_places(conn)
        if conn in self._idle.get(conn.key, ()):
            self._idle[conn.key].remove(conn)

    def _sweep(self) -> None:
        """Closes idle connections before the server does: a request that crosses its close would be lost.
        Also those busy for longer than any attempt: the server owes them something and says nothing."""
        self.scheduler.call_at(self.scheduler.now + self.limits.sweep_us, self._sweep)
        if self.faults:
            server, why = self.faults.most_common(1)[0][0]
            log.warning(
                "server connections given up",
                extra={"kv": {"count": self.faults.total(), "most_at": server, "mostly": why}},
            )
            self.faults.clear()
        stuck = self.scheduler.now - self.limits.client_wait_us - self.limits.sweep_us
        for conn in [c for conns in self._conns.values() for c in conns if c.began_at <= stuck]:
            if conn not in self._idle.get(conn.key, ()):
                conn.close()
        for key in list(self._idle):
            self._keep_to_places(key)
        old = self.scheduler.now - self.limits.brick_idle_us
        keeps = self.keeps() if self.keeps else None
        other = self.scheduler.now - self.outside_idle_us
        for conns in list(self._idle.values()):
            for conn in [
                c for c in conns if c.idle_since <= (old if keeps is None or c.node in keeps else other)
            ]:
                conn.close()
        for key in [k for k, conns in self._conns.items() if not conns]:
            del self._conns[key]
            self._idle.pop(key, None)
