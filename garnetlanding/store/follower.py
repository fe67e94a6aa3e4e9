"""The task that keeps a follower connected to its writer."""

from __future__ import annotations

import logging
from dataclasses import dataclass

from garnetlanding.limits import Limits
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.errors import BufferPoolExhaustedError, DeadlineExceededError, StreamClosedError
from garnetlanding.runtime.scheduler import Scheduler, Timer
from garnetlanding.runtime.stream import Stream
from garnetlanding.store.errors import LogGapError, ReplicationProtocolError, WriterRejectedError
from garnetlanding.store.follower_machine import FollowerMachine
from garnetlanding.store.staleness_guard import StalenessGuard
from garnetlanding.store.store import Store

log = logging.getLogger(__name__)

CONNECTION_ERRORS = (
    OSError,
    DeadlineExceededError,
    StreamClosedError,
    BufferPoolExhaustedError,
    ReplicationProtocolError,
    LogGapError,
    WriterRejectedError,
)


def describe_disconnect(problem: Exception) -> str:
    """Describe for operators why a connection to the writer ended: the kind, then the details."""
    match problem:
        case WriterRejectedError():
            kind = "stale writer"
        case LogGapError():
            kind = "gap in the log"
        case ReplicationProtocolError():
            kind = "protocol violation"
        case DeadlineExceededError():
            kind = "no answer in time"
        case BufferPoolExhaustedError():
            kind = "no buffer free"
        case StreamClosedError():
            kind = "connection closed"
        case _:
            kind = "connection failed"
    detail = str(problem)
    return f"{kind}: {detail}" if detail else kind


@dataclass(frozen=True, slots=True)
class FollowerOptions:
    """The writer's address, and how a follower's reconnects are spread.

    `stagger` is this instance's slot, in `[0, 1)`, among all followers: it keeps them from reconnecting to a
    restarted writer at the same moment.
    """

    writer_address: str
    stagger: float = 0.5


class Follower:
    """Keeps a copy connected to its writer: resumes by revision, or with a snapshot after a gap.

    It runs as a scheduler task from its construction on and never ends. `connected` is whether the writer has
    sent any data on the current connection.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        pool: BufferPool,
        limits: Limits,
        store: Store,
        options: FollowerOptions,
        guard: StalenessGuard | None = None,
    ) -> None:
        self._scheduler = scheduler
        self._pool = pool
        self._limits = limits
        self._store = store
        self._writer_address = options.writer_address
        self._retry_us = int(limits.store_retry_us * (0.5 + options.stagger))
        self._guard = guard
        self._query_timer: Timer | None = None
        self.connected = False
        scheduler.spawn(self._run)

    def _run(self) -> None:
        with_snapshot = False
        while True:
            problem = self._follow_once(with_snapshot=with_snapshot)
            self.connected = False
            self._log_disconnect(problem)
            has_gap = isinstance(problem, LogGapError)
            # After a gap, request a snapshot without delay, but only once: if a gap follows the snapshot,
            # another one may not help either.
            if with_snapshot or not has_gap:
                self._scheduler.sleep(self._retry_us)
            with_snapshot = has_gap

    def _follow_once(self, *, with_snapshot: bool) -> Exception:
        """Follow the writer over one connection until it ends; return the reason."""
        scheduler = self._scheduler
        limits = self._limits
        stream: Stream | None = None
        try:
            stream = Stream.connect(
                scheduler, self._writer_address, self._pool, limits, scheduler.now + limits.store_silence_us
            )
            machine = FollowerMachine(self._store, limits, self._guard)
            stream.write(machine.follow_request(with_snapshot=with_snapshot))
            if self._guard:
                self._send_query(stream, self._guard)
            while stream.read(machine.feed, scheduler.now + limits.store_silence_us):
                self.connected = True
            return StreamClosedError("ended")
        except CONNECTION_ERRORS as problem:
            return problem
        finally:
            if self._query_timer:
                self._query_timer.cancel()
            if stream:
                stream.close()

    def _send_query(self, stream: Stream, guard: StalenessGuard) -> None:
        """Query the writer's revision now, and at the guard's interval while the connection lasts."""
        now = self._scheduler.now
        stream.write(FollowerMachine.revision_query(guard.next_query(now)))
        self._query_timer = self._scheduler.call_at(
            now + guard.query_interval_us, lambda: self._send_query(stream, guard)
        )

    def _log_disconnect(self, problem: Exception) -> None:
        log.warning(
            "replication connection lost",
            extra={
                "kv": {
                    "writer": self._writer_address,
                    "why": describe_disconnect(problem),
                    "revision": self._store.revision,
                }
            },
        )
