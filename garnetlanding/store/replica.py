"""Replication over TCP: state machines for both ends, and the task that keeps a follower connected.

A line is one JSON object. The follower begins with {"follow": [epoch, revision]}; the writer answers
{"writer": [name, epoch]}, then, where the follower cannot go on from its revision, {"snapshot": [revision,
values]}, then {"entry": [revision, key, value]} for every change, and {"at": revision} when nothing changes.
A follower that has to show that it is current sends {"ask": number}, which is answered {"re": [number,
revision]}.
"""

from __future__ import annotations

import json
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from garnetlanding.limits import Limits
from garnetlanding.runtime.buffers import BufferPool, PoolEmpty
from garnetlanding.runtime.scheduler import Expired, Scheduler, Timer
from garnetlanding.runtime.stream import Closed, Stream
from garnetlanding.store.staleness_guard import StalenessGuard
from garnetlanding.store.store import Entry, LogGapError, Snapshot, StaleEpochError, Store

log = logging.getLogger(__name__)

Write = Callable[[bytes], None]


class ReplicaError(ValueError):
    """The other end does not speak as it should."""


class _Lines:
    """Cuts what is fed into lines of JSON."""

    def __init__(self, most: int) -> None:
        self._rest, self._most = b"", most

    def feed(self, data: bytes | memoryview) -> list[dict[str, Any]]:
        *lines, self._rest = (self._rest + bytes(data)).split(b"\n")
        if len(self._rest) > self._most:
            raise ReplicaError("line too long")
        try:
            parsed = [json.loads(line) for line in lines]
        except ValueError:
            raise ReplicaError("not JSON") from None
        if not all(isinstance(p, dict) for p in parsed):
            raise ReplicaError("not an object")
        return parsed

    @property
    def midway(self) -> bool:
        return bool(self._rest)


def _line(name: str, *values: Any) -> bytes:
    return json.dumps({name: values[0] if len(values) == 1 else values}).encode() + b"\n"


class WriterMachine:
    """The writer's end of one follower's connection (a ClientMachine of the listener)."""

    waiting = False  # all that is fed is taken at once

    def __init__(self, store: Store, scheduler: Scheduler, limits: Limits, write: Write) -> None:
        self._store, self._scheduler, self._limits, self._write = store, scheduler, limits, write
        self._lines = _Lines(limits.store_line_bytes)
        self._timer: Timer | None = None
        self._following = False
        self.ended = False
        self.taken = self.bad = self.asked = 0
        self.session = True
        self.owed = 0

    @property
    def midway(self) -> bool:
        return self._lines.midway

    def feed(self, data: bytes | memoryview) -> None:
        try:
            for message in self._lines.feed(data):
                self.taken += 1
                self._follow(message)
        except ReplicaError as problem:
            log.warning("follower turned away", extra={"kv": {"why": problem}})
            self.ended = True

    def _follow(self, message: dict[str, Any]) -> None:
        match message:
            case {"follow": [int() as epoch, int() as revision]} if not self._following:
                pass
            case {"ask": int() as number} if self._following:
                self._write(_line("re", number, self._store.revision))
                return
            case _:
                raise ReplicaError("expected one follow")
        store = self._store
        self._following = True
        self._write(_line("writer", store.writer, store.epoch))
        entries = store.entries_since(revision) if epoch == store.epoch else None
        if entries is None:
            self._write(_line("snapshot", store.revision, store.snapshot().values))
        for entry in entries or ():
            self._told(entry)
        store.observers.append(self._told)
        self._beat()

    def _told(self, entry: Entry | None) -> None:
        if entry:
            self._write(_line("entry", entry.revision, entry.key, entry.value))

    def _beat(self) -> None:
        self._write(_line("at", self._store.revision))
        self._timer = self._scheduler.call_at(self._scheduler.now + self._limits.store_beat_us, self._beat)

    def close(self) -> None:
        self.ended = True
        if self._timer:
            self._timer.cancel()
        if self._told in self._store.observers:
            self._store.observers.remove(self._told)


class FollowerMachine:
    """The follower's end. Raises what makes its connection useless."""

    def __init__(self, store: Store, limits: Limits, currency: StalenessGuard | None = None) -> None:
        self._store, self._currency = store, currency
        self._lines = _Lines(limits.store_line_bytes)
        self._epoch = -1  # of the writer on this connection, once it has said so

    def hello(self, afresh: bool) -> bytes:
        """`afresh` asks for a snapshot whatever is held."""
        return _line("follow", self._store.epoch, -1 if afresh else self._store.revision)

    @staticmethod
    def ask(number: int) -> bytes:
        return _line("ask", number)

    def feed(self, data: bytes | memoryview) -> None:
        for message in self._lines.feed(data):
            self._take(message)

    def _take(self, message: dict[str, Any]) -> None:
        store = self._store
        match message:
            case {"writer": [str() as name, int() as epoch]}:
                store.accept_writer(name, epoch)
                self._epoch = epoch
            case _ if self._epoch < 0:
                raise ReplicaError("the writer has not named itself")
            case {"snapshot": [int() as revision, dict() as values]}:
                store.restore(Snapshot(self._epoch, revision, values))
            case {"entry": [int() as revision, str() as key, value]}:
                store.apply(self._epoch, Entry(revision, key, value))
            case {"at": int() as revision}:
                self._check(revision)
            case {"re": [int() as number, int() as revision]} if self._currency:
                self._check(revision)
                self._currency.reply_received(number)
            case _:
                raise ReplicaError("unknown message")

    def _check(self, revision: int) -> None:
        store = self._store
        if (self._epoch, revision) != (store.epoch, store.revision):
            raise LogGapError(f"the writer is at {revision}, this store at {store.revision}")


@dataclass(frozen=True, slots=True)
class FollowerOptions:
    """Where a follower copies from, and when it tries again.

    `stagger` is this instance's slot in `[0, 1)` among those that the same failure disconnects, so that a
    writer that comes back is not met by all of them at once.
    """

    writer_address: str
    stagger: float = 0.5


class Follower:
    """Keeps a follower connected: resumes by revision, and asks for a snapshot after a gap."""

    def __init__(
        self,
        scheduler: Scheduler,
        pool: BufferPool,
        limits: Limits,
        store: Store,
        options: FollowerOptions,
        guard: StalenessGuard | None = None,
    ) -> None:
        self._scheduler, self._address, self._store = scheduler, options.writer_address, store
        self._retry_us = int(limits.store_retry_us * (0.5 + options.stagger))
        self._pool, self._limits, self._currency = pool, limits, guard
        self.connected = False
        self._asking: Timer | None = None
        scheduler.spawn(self._run)

    def _run(self) -> None:
        afresh = False
        while True:
            why = self._follow(afresh)
            self.connected = False
            again, afresh = afresh, isinstance(why, LogGapError)
            log.warning(
                "store not followed",
                extra={
                    "kv": {
                        "writer": self._address,
                        "why": f"{type(why).__name__}: {why}",
                        "revision": self._store.revision,
                    }
                },
            )
            if again or not afresh:  # one new snapshot at once; a gap after that is no passing thing
                self._scheduler.sleep(self._retry_us)

    def _follow(self, afresh: bool) -> Exception:
        """One connection, to its end; gives back what ended it."""
        scheduler, limits = self._scheduler, self._limits
        stream: Stream | None = None
        try:
            stream = Stream.connect(
                scheduler, self._address, self._pool, limits, scheduler.now + limits.store_quiet_us
            )
            machine = FollowerMachine(self._store, limits, self._currency)
            stream.write(machine.hello(afresh))
            if self._currency:
                self._ask(stream, self._currency)
            while stream.read(machine.feed, scheduler.now + limits.store_quiet_us):
                self.connected = True
            return Closed("ended")
        except (OSError, Expired, Closed, PoolEmpty, ReplicaError, LogGapError, StaleEpochError) as problem:
            return problem
        finally:
            if self._asking:
                self._asking.cancel()
            if stream:
                stream.close()

    def _ask(self, stream: Stream, currency: StalenessGuard) -> None:
        now = self._scheduler.now
        stream.write(FollowerMachine.ask(currency.next_query(now)))
        self._asking = self._scheduler.call_at(
            now + currency.query_interval_us, lambda: self._ask(stream, currency)
        )
