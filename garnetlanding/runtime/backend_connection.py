"""A backend connection: drives a protocol over a stream, for one attempt at a time."""

from __future__ import annotations

from collections import Counter
from typing import Protocol

from garnetlanding.core.body import Body
from garnetlanding.core.ports import AttemptHandle
from garnetlanding.decision.interface import Outcome
from garnetlanding.limits import Limits
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.errors import (
    BackendProtocolError,
    DeadlineExceededError,
    IncompleteResponseError,
    StreamClosedError,
)
from garnetlanding.runtime.protocols import BackendProtocolFactory
from garnetlanding.runtime.scheduler import Scheduler
from garnetlanding.runtime.stream import Stream

ConnectionKey = tuple[str, str]
"""Address and protocol-specific key; only attempts with equal keys may share a connection."""


class BackendConnectionOwner(Protocol):
    """What a connection needs of the upstream that opened it."""

    scheduler: Scheduler
    pool: BufferPool
    limits: Limits
    protocol_factory: BackendProtocolFactory
    protocol_errors: Counter[tuple[str, str]]
    """Number of protocol errors by address and cause."""

    def may_send(self, attempt: AttemptHandle, key: ConnectionKey) -> bool:
        """Return whether the attempt may still be sent to its backend over a connection with this key."""

    def on_idle(self, connection: BackendConnection) -> None:
        """Handle a connection that is free for another attempt; its `attempt` is still the previous one."""

    def on_closed(self, connection: BackendConnection) -> None:
        """Handle the close of a connection; its `attempt` is still set if one was in flight."""


class BackendConnection:
    """One connection to a backend, with the task that opens and reads it.

    `attempt` is the attempt in flight, or `None`. `began_at` is the time at which the current or previous
    attempt began, `idle_since` the time at which the connection last became idle. `account` is that of
    the memory which the backend makes the process hold; the connection is closed if memory is short and no
    other holds more.
    """

    def __init__(self, upstream: BackendConnectionOwner, key: ConnectionKey, attempt: AttemptHandle) -> None:
        self._upstream = upstream
        self.key = key
        self.backend = attempt.backend
        self.attempt: AttemptHandle | None = attempt
        self.account = upstream.pool.budget.open_account(self.close)
        self.protocol = upstream.protocol_factory.create(
            attempt, self._write, self._on_protocol_idle, self.account
        )
        self.began_at = self.idle_since = upstream.scheduler.now
        self.closed = False
        self._may_have_executed = False  # the backend may have received the whole request of the attempt
        self._stream: Stream | None = None
        self._streamed_body: Body | None = None
        self._body_reads = 0  # reads of a streamed body since the task last yielded
        self._response_deadline: int | None = None  # for the rest of a partly received response
        self._task = upstream.scheduler.spawn(self._run)

    def is_reusable(self) -> bool:
        """Return whether the connection is open and neither data nor the end of the stream has arrived."""
        return self._stream is not None and self._stream.read_would_block()

    # The connection's task

    def _run(self) -> None:
        upstream = self._upstream
        try:
            self._connect()
            assert self._stream
            while not self.closed and self._stream.read(self.protocol.feed, self._response_deadline):
                self._after_read()
        except BackendProtocolError as error:
            upstream.protocol_errors[self.key[0], str(error)] += 1
        except (OSError, DeadlineExceededError, StreamClosedError):
            pass
        finally:
            self.close()

    def _connect(self) -> None:
        """Open the connection and begin its first attempt, to which the task refers no longer than that."""
        upstream = self._upstream
        attempt = self.attempt
        if attempt is None:
            raise StreamClosedError  # stopped before the task ran
        deadline = min(upstream.scheduler.now + upstream.limits.connect_timeout_us, attempt.deadline_us)
        self._stream = Stream.connect(
            upstream.scheduler, self.key[0], upstream.pool, upstream.limits, deadline, self.account
        )
        self._stream.on_write_error = self.close
        self.begin(attempt)

    def _after_read(self) -> None:
        """Apply back-pressure to a streamed value, and set the deadline for the rest of a response.

        A backend sends a response without pauses. Without this deadline, a backend that stalls within a
        response would hold the attempt until the client gives up.
        """
        scheduler = self._upstream.scheduler
        limits = self._upstream.limits
        if body := self.protocol.body:
            self._wait_until_writable(body)
            self._response_deadline = scheduler.now + limits.stream_stall_us
        elif not self.protocol.has_partial_message:
            self._response_deadline = None
        elif self._response_deadline is None:
            self._response_deadline = scheduler.now + limits.partial_reply_us
        elif scheduler.now >= self._response_deadline:
            raise IncompleteResponseError

    def _wait_until_writable(self, body: Body) -> None:
        """Wait while the client leaves too much of the body unread; yield to other tasks periodically."""
        scheduler = self._upstream.scheduler
        if self._streamed_body is not body:
            self._attach(body)
        self._body_reads += 1
        read_bytes = self._body_reads * self._upstream.pool.buffer_bytes
        if read_bytes >= self._upstream.limits.stream_window_bytes:
            self._body_reads = 0
            scheduler.sleep(0)
        scheduler.park_while(lambda wake: not self.closed and body.blocked_until(wake))

    def _attach(self, body: Body) -> None:
        self._streamed_body = body
        body.on_end.append(lambda complete: self._on_body_end(body, complete=complete))

    def _on_body_end(self, body: Body, *, complete: bool) -> None:
        """Close the connection if the client abandons a body that is still arriving."""
        if self._streamed_body is body:
            self._streamed_body = None
            if not complete:
                self.close()

    # Attempts

    def begin(self, attempt: AttemptHandle) -> None:
        """Send the attempt's request, unless it may no longer be sent to the backend.

        This is checked again here, because connecting takes time and whether a backend is draining counts
        when the first byte is sent.
        """
        self.attempt = attempt
        self._may_have_executed = False
        self.began_at = self._upstream.scheduler.now
        if not self._upstream.may_send(attempt, self.key):
            attempt.finish(Outcome.UNREACHABLE)
            self._on_protocol_idle()
            return
        self.protocol.begin(attempt)

    def _write(self, data: bytes) -> None:
        assert self._stream
        self._stream.on_flushed = self._on_flushed
        self._stream.write(data)

    def _on_flushed(self) -> None:
        self._may_have_executed = self.protocol.bytes_may_have_been_sent
        if self._may_have_executed and self.attempt:
            self.attempt.request_written()

    def _on_protocol_idle(self) -> None:
        self.idle_since = self._upstream.scheduler.now
        self._streamed_body = None  # the client may still be reading it
        self._upstream.on_idle(self)
        self.attempt = None

    def close(self) -> None:
        """Close the connection.

        An attempt in flight ends as reset if the backend may have executed it, otherwise as unreachable.
        """
        if self.closed:
            return
        self.closed = True
        if self._stream:
            self._stream.close()
        else:
            self._upstream.scheduler.wake(self._task, StreamClosedError())
        self.protocol.close()
        self.account.close()
        self._streamed_body = None
        self._upstream.on_closed(self)
        attempt = self.attempt
        self.attempt = None
        if attempt:
            attempt.finish(Outcome.RESET if self._may_have_executed else Outcome.UNREACHABLE)
