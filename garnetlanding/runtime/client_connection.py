"""Drives the state machine of one client connection: reads, pauses, answers, and closes gracefully."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Protocol

from garnetlanding.limits import Limits
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.connection_close import CloseEvent, CloseState, ConnectionClose
from garnetlanding.runtime.errors import CloseRequestedError, DeadlineExceededError, StreamClosedError
from garnetlanding.runtime.scheduler import Scheduler
from garnetlanding.runtime.stream import Stream

Write = Callable[[bytes], None]
"""Sends bytes to the client; a machine that passes streamed values on needs the core's `Sink`."""


class ClientMachine(Protocol):
    """One client connection's protocol. It writes through what its maker was given."""

    ended: bool
    """Nothing more is read; the connection is closed once nothing is owed."""
    taken: int
    """Whole messages that have arrived."""
    bad: int
    """Of these, how many could not be used."""
    asked: int
    """Of these, how many were requests for the core."""
    waiting: bool
    """Whole messages were fed and are not processed yet; `feed(b"")` processes some more."""

    @property
    def owed(self) -> int:
        """Return the number of responses not yet written."""

    @property
    def midway(self) -> bool:
        """Return whether part of a message has arrived."""

    @property
    def session(self) -> bool:
        """Return whether the client would lose something if the connection closed between requests."""

    def feed(self, data: bytes | memoryview) -> None:
        """Take the next bytes from the client."""

    def close(self) -> None:
        """Drop what is open: the client has left."""


class ConnectionOwner(Protocol):
    """The listener that accepted a connection, as the connection sees it."""

    scheduler: Scheduler
    pool: BufferPool
    limits: Limits
    ending: bool

    @property
    def make(self) -> Callable[[Client], ClientMachine]:
        """Return what makes the machine of a new connection."""

    def lingers(self, client: Client) -> None:
        """Take notice that the connection sends nothing more and only waits for the client to close."""

    def gone(self, client: Client) -> None:
        """Take notice that the connection is closed."""


class Client:
    """One accepted connection. Called with bytes, it sends them: it is its machine's `Write` and `Sink`."""

    def __init__(self, listener: ConnectionOwner, sock: socket.socket) -> None:
        self._listener = listener
        self._scheduler = listener.scheduler
        self.stream = Stream(listener.scheduler, sock, listener.pool, listener.limits)
        self.machine = listener.make(self)
        self.closing = ConnectionClose()
        self._wakes_on_write = False  # the task does not read; it is woken when something is written
        self.came_at = self.used_at = self._scheduler.now
        self._message_began: int | None = self.used_at  # the first one counts from connecting
        self._messages_seen = 0  # messages that had arrived when that was noted
        self._input_bytes = 0  # since other tasks last ran
        self._task = self._scheduler.spawn(self._run)

    @property
    def idle(self) -> bool:
        """Return whether nothing is owed, half received or unsent."""
        return not self.machine.owed and not self.machine.midway and self.stream.flushed

    @property
    def spare_from(self) -> int | None:
        """Return from when on the connection may be closed for another client; `None`: not as it is now."""
        limits = self._listener.limits
        if self.machine.owed or self.machine.session or not self.stream.flushed:
            return None
        if self.machine.midway:
            return (self._message_began or self.used_at) + limits.new_us
        # A client with a request sends it whole: one that sends nothing, or only a greeting, rarely will.
        return self.used_at + (limits.idle_us if self.machine.asked else limits.new_us)

    # The machine's sink

    def __call__(self, data: bytes) -> None:
        """Send what the machine has to say."""
        self.used_at = self._scheduler.now
        self.stream.write(data)
        if self._wakes_on_write:
            self._scheduler.wake(self._task)
        if self._listener.ending:
            # The rest of this iteration may still be for this connection: look once it is over.
            self._scheduler.call_at(self._scheduler.now, self.close_if_idle)

    @property
    def full(self) -> bool:
        """Return whether the client leaves too much unread; where buffers run short, any at all."""
        listener = self._listener
        most = 0 if listener.pool.scarce else listener.limits.stream_window_bytes
        return not self.stream.closed and self.stream.unsent > most

    def when_writable(self, call: Callable[[], None]) -> None:
        """Call once the kernel has everything written so far."""
        self.stream.on_flushed = call

    def cut(self) -> None:
        """Close at once, so that the client can tell that what was begun is not whole."""
        self.closing.on(CloseEvent.ABORTED)
        self.stream.close()

    # Closing between requests

    def close_if_idle(self) -> None:
        """Close an idle connection, unless its request is unread or it has only just connected.

        Such clients would have to send their request again.
        """
        is_new = not self.machine.asked and self._scheduler.now < self.came_at + self._listener.limits.new_us
        if self.idle and not is_new:
            self.let_go()

    def let_go(self) -> bool:
        """Close between requests, from outside the connection's task; return False where it may not be.

        It may not where a request has arrived that nobody has read yet.
        """
        if not self.closing.reads or self.stream.closed or not self.stream.quiet():
            return False
        self._end(CloseEvent.RELEASED)
        self._scheduler.wake(self._task, CloseRequestedError())
        return True

    def _end(self, event: CloseEvent) -> None:
        """From now on no input is taken; where nothing is owed, nothing more is sent either."""
        if self.closing.on(event) is CloseState.LINGERING:
            self.machine.close()
            self.stream.finish()
            self._listener.lingers(self)

    # The connection's task

    def _run(self) -> None:
        try:
            try:
                self._serve()
                self._finish()
            except CloseRequestedError:
                pass
            self._linger()
        except (DeadlineExceededError, StreamClosedError, CloseRequestedError):
            pass
        finally:
            self.closing.on(CloseEvent.ABORTED)
            self.machine.close()
            self.stream.close()
            self._listener.gone(self)

    def _serve(self) -> None:
        """Feed the machine until it, the client or a deadline ends the input."""
        machine = self.machine
        bad = 0
        self._input_bytes = 0
        while not machine.ended:
            try:
                if not self.stream.read(self._feed, self._message_deadline()):
                    raise StreamClosedError
            except DeadlineExceededError:
                # Only what it still has open keeps the connection.
                self._end(CloseEvent.INPUT_ENDED if machine.owed else CloseEvent.COMMAND_LATE)
                return
            self._process_waiting()
            if machine.bad > bad and not machine.ended:
                # The client may send the same again at full speed: others share this event loop.
                bad = machine.bad
                self._pause()
            if self._input_bytes >= self._listener.limits.read_bytes_per_iteration:
                self._input_bytes = 0
                self._scheduler.sleep(0)
        self._end(CloseEvent.INPUT_ENDED)

    def _feed(self, data: memoryview) -> None:
        self._input_bytes += len(data)
        self.machine.feed(data)

    def _process_waiting(self) -> None:
        """Process messages already fed, with other tasks running in between; nothing is read meanwhile."""
        while self.machine.waiting and not self.machine.ended:
            self._scheduler.sleep(0)
            self._stop_if(self.stream.hung_up())
            self.machine.feed(b"")

    def _message_deadline(self) -> int | None:
        """Return when the message now awaited must be whole, however slowly it comes; `None` in between."""
        machine = self.machine
        if machine.taken != self._messages_seen:
            self._messages_seen = machine.taken
            self._message_began = None
        if machine.taken and not machine.midway:
            return None
        if self._message_began is None:
            self._message_began = self._scheduler.now
        return self._message_began + self._listener.limits.command_us

    def _stop_if(self, hung_up: bool) -> None:
        if hung_up:
            self.closing.on(CloseEvent.CLIENT_CLOSED)
            raise StreamClosedError

    def _wait(self) -> None:
        """Wait a moment without reading, or until woken; raises `StreamClosedError` if the client left."""
        self._wakes_on_write = True
        try:
            hung_up = self.stream.wait_hung_up(
                self._scheduler.now + self._listener.limits.disconnect_check_us
            )
        finally:
            self._wakes_on_write = False
        self._stop_if(hung_up)

    def _pause(self) -> None:
        self.closing.on(CloseEvent.BAD_COMMAND)
        until = self._scheduler.now + self._listener.limits.misuse_pause_us
        while self._scheduler.now < until:
            self._wait()
        self.closing.on(CloseEvent.PAUSE_OVER)

    def _finish(self) -> None:
        """Wait until what is owed is written, and taken by the client."""
        while self.closing.state is CloseState.FINISHING:
            if not self.machine.owed and self.stream.flushed:
                self._end(CloseEvent.RESPONSES_SENT)
            else:
                self._wait()

    def _linger(self) -> None:
        """Read and drop what still arrives, up to a time and an amount, until the client closes."""
        limits = self._listener.limits
        until = self._scheduler.now + limits.linger_us
        dropped = 0

        def drop(data: memoryview) -> None:
            nonlocal dropped
            dropped += len(data)

        while dropped < limits.linger_bytes and self._scheduler.now < until:
            if not self.stream.read(drop, until):
                break
        self.closing.on(CloseEvent.LINGER_ENDED)
