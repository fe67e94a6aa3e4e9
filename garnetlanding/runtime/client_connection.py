"""A client connection: drives a protocol over a stream, enforces limits, closes gracefully."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable
from typing import Protocol

from garnetlanding.limits import Limits
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.connection_close import CloseEvent, CloseState, ConnectionClose
from garnetlanding.runtime.errors import (
    CloseRequestedError,
    DeadlineExceededError,
    InputEndedError,
    StreamClosedError,
)
from garnetlanding.runtime.protocols import ClientProtocol
from garnetlanding.runtime.scheduler import Scheduler
from garnetlanding.runtime.stream import Stream


class ClientConnectionOwner(Protocol):
    """What a connection needs of the listener that accepted it."""

    scheduler: Scheduler
    pool: BufferPool
    limits: Limits
    close_when_idle: bool
    """Whether connections close as soon as they are idle."""

    @property
    def protocol_factory(self) -> Callable[[ClientConnection], ClientProtocol]:
        """Creates the protocol of a new connection, which is that protocol's `Write` and `Sink`."""

    def on_lingering(self, connection: ClientConnection) -> None:
        """Handle a connection that has sent its last byte and waits for the client to close."""

    def on_closed(self, connection: ClientConnection) -> None:
        """Handle the close of a connection."""


class ClientConnection:
    """One accepted connection, with the task that serves it.

    The connection is its protocol's `Write` (it is called with the bytes to send) and its `Sink` for streamed
    values. `closing` is the state machine of its graceful close, `account` that of the memory which the
    client makes the process hold.
    """

    def __init__(self, listener: ClientConnectionOwner, sock: socket.socket) -> None:
        self._listener = listener
        self._scheduler = listener.scheduler
        self.account = listener.pool.budget.open_account(self._on_evicted, self._is_stalled)
        self.stream = Stream(listener.scheduler, sock, listener.pool, listener.limits, self.account)
        self.protocol = listener.protocol_factory(self)
        self.closing = ConnectionClose()
        self._wake_on_write = False  # set while the task waits without reading
        self.accepted_at = self.last_used_at = self._scheduler.now
        self._last_input_at = self.accepted_at
        self._message_began_at: int | None = self.accepted_at  # the first message counts from the accept on
        self._messages_received = 0  # `protocol.messages_received` when `_message_began_at` was last reset
        self._unyielded_bytes = 0  # read since the task last yielded
        self._task = self._scheduler.spawn(self._run)

    @property
    def idle(self) -> bool:
        """Whether no response is pending, no message is partly received, and nothing is unsent."""
        protocol = self.protocol
        return not protocol.pending_responses and not protocol.has_partial_message and self.stream.flushed

    @property
    def evictable_from(self) -> int | None:
        """Time from which the connection may be evicted; `None` if its current state forbids that.

        A client that goes on writing a message makes progress, however slowly: only the deadline of the
        message ends its connection.
        """
        limits = self._listener.limits
        protocol = self.protocol
        if protocol.pending_responses or protocol.has_session_state or not self.stream.flushed:
            return None
        if protocol.has_buffered_input:
            return None
        if protocol.has_partial_message:
            return self._last_input_at + limits.stalled_client_timeout_us
        # A client that has sent no request, at most a greeting, is unlikely to send one soon.
        return self.last_used_at + (
            limits.idle_client_timeout_us if protocol.requests_received else limits.new_client_timeout_us
        )

    # Writing: the protocol's `Write` and `Sink`

    def __call__(self, data: bytes) -> None:
        """Send bytes to the client."""
        self.last_used_at = self._scheduler.now
        self.stream.write(data)
        if self._wake_on_write:
            self._scheduler.wake(self._task)
        if self._listener.close_when_idle:
            # Deferred, because more input or output may follow in this iteration.
            self._scheduler.call_at(self._scheduler.now, self.close_if_idle)

    def blocked_until(self, callback: Callable[[], None]) -> bool:
        """Return whether too many bytes are unsent; while memory is scarce, any unsent byte is too many.

        If so, call back once, when the kernel has accepted everything written so far.
        """
        listener = self._listener
        max_unsent_bytes = 0 if listener.pool.budget.is_scarce else listener.limits.stream_window_bytes
        if self.stream.closed or self.stream.unsent_bytes <= max_unsent_bytes:
            return False
        self.stream.on_flushed = callback
        return True

    def end_after_flush(self) -> None:
        """Read no more, and close once everything written so far has been sent.

        So the client gets all earlier responses, and can tell that the last one is incomplete.
        """
        if self.closing.accepts_input:
            self._close_on(CloseEvent.INPUT_ENDED)
            if not self._scheduler.is_running(self._task):
                self._scheduler.wake(self._task, InputEndedError())

    def abort(self) -> None:
        """Close immediately and discard what is not sent."""
        self.closing.apply(CloseEvent.ABORTED)
        self.stream.close()

    def _is_stalled(self) -> bool:
        """Whether the client neither reads what is unsent nor goes on with a message that it has begun."""
        since = self._scheduler.now - self._listener.limits.stalled_client_timeout_us
        if not self.stream.flushed:
            return self.stream.last_sent_at <= since
        return self.protocol.has_partial_message and self._last_input_at <= since

    def _on_evicted(self) -> None:
        """Free what the client makes the process hold, since memory is short and no client holds more.

        If the client has read everything so far, its open requests are answered with an error. The rest of
        its input is not processed.
        """
        if not self.closing.output_ended and self.stream.flushed:
            self.protocol.fail_pending("out of memory")
        if self.closing.output_ended or not self.stream.flushed:
            self.abort()
            self.protocol.close()
        elif self.closing.accepts_input:
            self._close_on(CloseEvent.CLOSE_REQUESTED)
            self._scheduler.wake(self._task, CloseRequestedError())
        else:
            self._close_on(CloseEvent.RESPONSES_SENT)

    # Closing between requests

    def close_if_idle(self) -> None:
        """Close the connection gracefully if it is idle.

        It stays open if unread data has arrived, or if it is so new that its first request may be in transit;
        the client would have to send that request again.
        """
        is_new = (
            not self.protocol.requests_received
            and self._scheduler.now < self.accepted_at + self._listener.limits.new_client_timeout_us
        )
        if self.idle and not is_new:
            self.close_gracefully()

    def close_gracefully(self) -> bool:
        """Begin the graceful close of an idle connection; return whether it has begun.

        It does not begin if unread data has arrived or if the connection is already closing. Must not be
        called from the connection's own task.
        """
        if not self.closing.accepts_input or self.stream.closed or not self.stream.read_would_block():
            return False
        self._close_on(CloseEvent.CLOSE_REQUESTED)
        self._scheduler.wake(self._task, CloseRequestedError())
        return True

    def _close_on(self, event: CloseEvent) -> None:
        """Apply an event; on the transition to lingering, shut down the write side."""
        if self.closing.apply(event) is CloseState.LINGERING:
            self.protocol.close()
            self.stream.shutdown_write()
            self._listener.on_lingering(self)

    # The connection's task

    def _run(self) -> None:
        try:
            try:
                with contextlib.suppress(InputEndedError):
                    self._serve()
                self._finish()
            except CloseRequestedError:
                pass
            self._linger()
        except (DeadlineExceededError, StreamClosedError, CloseRequestedError):
            pass
        finally:
            self.closing.apply(CloseEvent.ABORTED)
            self.protocol.close()
            self.stream.close()
            self.account.close()
            self._listener.on_closed(self)

    def _serve(self) -> None:
        """Feed the protocol until it is closing, the client closes, or a message times out."""
        protocol = self.protocol
        invalid_messages = 0
        self._unyielded_bytes = 0
        while not protocol.is_closing:
            try:
                if not self.stream.read(self._feed, self._message_deadline()):
                    raise StreamClosedError
            except DeadlineExceededError:
                # The connection stays open only for its pending responses.
                event = CloseEvent.INPUT_ENDED if protocol.pending_responses else CloseEvent.MESSAGE_TIMEOUT
                self._close_on(event)
                return
            self._process_buffered_input()
            if protocol.invalid_messages > invalid_messages and not protocol.is_closing:
                invalid_messages = protocol.invalid_messages
                self._pause()
            self._yield_if_due()
        self._close_on(CloseEvent.INPUT_ENDED)

    def _feed(self, data: memoryview) -> None:
        self._unyielded_bytes += len(data)
        self._last_input_at = self._scheduler.now
        self.protocol.feed(data)

    def _yield_if_due(self) -> None:
        """Yield to other tasks after a certain amount of input."""
        if self._unyielded_bytes >= self._listener.limits.read_bytes_per_iteration:
            self._unyielded_bytes = 0
            self._scheduler.sleep(0)

    def _process_buffered_input(self) -> None:
        """Process buffered messages without reading more, yielding to other tasks in between."""
        while self.protocol.has_buffered_input and not self.protocol.is_closing:
            self._scheduler.sleep(0)
            if self.stream.peer_has_closed():
                self._stop_after_client_closed()
            self.protocol.feed(b"")

    def _message_deadline(self) -> int | None:
        """Return the time by which the next message must be complete; `None` if none has begun.

        The time limit of a message counts from its first byte, that of the first message from the accept.
        """
        protocol = self.protocol
        if protocol.messages_received != self._messages_received:
            self._messages_received = protocol.messages_received
            self._message_began_at = None
        if protocol.messages_received and not protocol.has_partial_message:
            return None
        if self._message_began_at is None:
            self._message_began_at = self._scheduler.now
        return self._message_began_at + self._listener.limits.command_timeout_us

    def _stop_after_client_closed(self) -> None:
        self.closing.apply(CloseEvent.CLIENT_CLOSED)
        raise StreamClosedError

    def _wait(self) -> None:
        """Wait for a short time, or until something is written, without reading.

        Raises `StreamClosedError` if the client has closed.
        """
        self._wake_on_write = True
        try:
            has_closed = self.stream.wait_for_peer_close(
                self._scheduler.now + self._listener.limits.disconnect_check_us
            )
        finally:
            self._wake_on_write = False
        if has_closed:
            self._stop_after_client_closed()

    def _pause(self) -> None:
        """Pause reading, so that a faulty client cannot keep the event loop busy."""
        self.closing.apply(CloseEvent.INVALID_MESSAGE)
        until = self._scheduler.now + self._listener.limits.invalid_command_pause_us
        while self._scheduler.now < until:
            self._wait()
        self.closing.apply(CloseEvent.PAUSE_ENDED)

    def _finish(self) -> None:
        """Wait until all pending responses are written and accepted by the kernel."""
        while self.closing.state is CloseState.FINISHING:
            if not self.protocol.pending_responses and self.stream.flushed:
                self._close_on(CloseEvent.RESPONSES_SENT)
            else:
                self._wait()

    def _linger(self) -> None:
        """Discard input until the client closes, up to a limit on time and bytes."""
        limits = self._listener.limits
        until = self._scheduler.now + limits.linger_us
        discarded_bytes = 0

        def discard(data: memoryview) -> None:
            nonlocal discarded_bytes
            discarded_bytes += len(data)

        while discarded_bytes < limits.linger_bytes and self._scheduler.now < until:
            if not self.stream.read(discard, until):
                break
        self.closing.apply(CloseEvent.LINGER_ENDED)
