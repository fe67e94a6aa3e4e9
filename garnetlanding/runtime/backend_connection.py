"""Drives the state machine of one backend connection: connects, carries one attempt at a time, closes."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Protocol

from garnetlanding.core.body import Body
from garnetlanding.core.ports import AttemptHandle
from garnetlanding.decision.interface import Outcome
from garnetlanding.limits import Limits
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.errors import BackendProtocolError, DeadlineExceededError, StreamClosedError
from garnetlanding.runtime.scheduler import Scheduler
from garnetlanding.runtime.stream import Stream

Key = tuple[str, str]
"""The address, and what else a connection is bound to."""


class ServerMachine(Protocol):
    """One backend connection's protocol.

    It ends the attempt (`AttemptHandle.finish`), and calls `done` when it is free for the next one.
    """

    def begin(self, trial: AttemptHandle) -> None:
        """Write the attempt's request."""

    def feed(self, data: bytes | memoryview) -> None:
        """Take the next bytes from the backend; raises `BackendProtocolError`."""

    @property
    def exposed(self) -> bool:
        """Return whether what was written for the present attempt may run once the backend has it whole."""

    @property
    def midway(self) -> bool:
        """Return whether part of a message has arrived."""

    @property
    def body(self) -> Body | None:
        """Return the value that is being passed on, if any."""

    def suits(self, trial: AttemptHandle) -> bool:
        """Return whether this connection, of several that are free, would serve the attempt better."""

    def close(self) -> None:
        """Drop what is open: the connection is closed."""


MakeMachine = Callable[[AttemptHandle, Callable[[bytes], None], Callable[[], None]], ServerMachine]
"""Makes a connection's machine from its first attempt, its `write` and its `done`."""


class ConnectionPool(Protocol):
    """The pool that a connection belongs to, as the connection sees it."""

    scheduler: Scheduler
    pool: BufferPool
    limits: Limits
    faults: Counter[tuple[str, str]]

    @property
    def make(self) -> MakeMachine:
        """Return what makes the machine of a new connection."""

    def allows(self, trial: AttemptHandle, key: Key) -> bool:
        """Return whether the backend may still be sent the attempt over such a connection."""

    def freed(self, conn: Connection) -> None:
        """Take notice that the connection is free for another attempt."""

    def gone(self, conn: Connection) -> None:
        """Take notice that the connection is closed."""


class Connection:
    """One connection to a backend, with at most one attempt (`trial`) in flight on it."""

    def __init__(self, upstream: ConnectionPool, key: Key, trial: AttemptHandle) -> None:
        self._upstream = upstream
        self.key = key
        self.node = trial.node
        self.trial: AttemptHandle | None = trial
        self.machine = upstream.make(trial, self._write, self._done)
        self.began_at = self.idle_since = upstream.scheduler.now
        self.closed = False
        self._written = False  # the present attempt's whole request is with the kernel
        self._stream: Stream | None = None
        self._streamed_body: Body | None = None
        self._body_reads = 0  # buffers read of it since other tasks last ran
        self._response_deadline: int | None = None  # for the rest of a response that has begun
        self._task = upstream.scheduler.spawn(self._run)

    def _run(self) -> None:
        upstream = self._upstream
        trial = self.trial
        if trial is None:
            return  # stopped before its first iteration
        deadline = min(upstream.scheduler.now + upstream.limits.dial_us, trial.until_us)
        try:
            self._stream = Stream.connect(
                upstream.scheduler, self.key[0], upstream.pool, upstream.limits, deadline
            )
            self._stream.on_broken = self.close
            self.begin(trial)
            while not self.closed and self._stream.read(self.machine.feed, self._response_deadline):
                self._after_read()
        except BackendProtocolError as fault:
            upstream.faults[self.key[0], str(fault)] += 1
        except (OSError, DeadlineExceededError, StreamClosedError):
            pass
        finally:
            self.close()

    def _after_read(self) -> None:
        """Pass on a streamed value, and set the deadline for the rest of a response.

        A backend writes a response at once: part of one, and then nothing or more without an end, would
        hold the attempt until its client gives up.
        """
        scheduler = self._upstream.scheduler
        limits = self._upstream.limits
        if body := self.machine.body:
            self._pass_on(body)
            self._response_deadline = scheduler.now + limits.stream_stall_us
        elif not self.machine.midway:
            self._response_deadline = None
        elif self._response_deadline is None:
            self._response_deadline = scheduler.now + limits.partial_reply_us
        elif scheduler.now >= self._response_deadline:
            raise BackendProtocolError("half an answer")

    def _pass_on(self, body: Body) -> None:
        """Let other tasks run in between; while the client leaves too much unread, nothing is read."""
        scheduler = self._upstream.scheduler
        if self._streamed_body is not body:
            self._streamed_body = body
            body.on_writable = lambda: scheduler.wake(self._task)
            body.on_end.append(lambda whole: None if whole else self.close())
        self._body_reads += 1
        if self._body_reads * self._upstream.pool.size >= self._upstream.limits.stream_window_bytes:
            self._body_reads = 0
            scheduler.sleep(0)
        while body.is_blocked and not self.closed:
            scheduler.park()

    def quiet(self) -> bool:
        """Return whether the connection is up and the backend has neither closed nor sent anything unread."""
        return self._stream is not None and self._stream.quiet()

    def begin(self, trial: AttemptHandle) -> None:
        """Start the attempt.

        The drain rule counts a send from its first byte, so this is where it is checked, even for an
        attempt that has waited for the connection.
        """
        self.trial = trial
        self._written = False
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
        """Close the connection.

        An attempt still in flight was reset, or never ran if not all of its request was written.
        """
        if self.closed:
            return
        self.closed = True
        if self._stream:
            self._stream.close()
        else:
            self._upstream.scheduler.wake(self._task, StreamClosedError())
        self.machine.close()
        self._upstream.gone(self)
        trial = self.trial
        self.trial = None
        if trial:
            trial.finish(Outcome.RESET if self._written else Outcome.UNREACHABLE)
