"""The server side of RESP2 on one client connection, without I/O.

Replies are written in the order of the commands, even if the engine answers the requests in another order:
in RESP2 the order is all by which a client can match replies to commands.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from garnetlanding.core.body import CLOSED_SINK, Body, Sink
from garnetlanding.core.engine import RequestEngine
from garnetlanding.core.ports import BackendTransport, InvalidRequestError
from garnetlanding.limits import Limits
from garnetlanding.resp import codec
from garnetlanding.resp.errors import InvalidArgumentError, InvalidCommandError, Problem, ProtocolError
from garnetlanding.resp.pending_reply import PendingReply, encode_answer
from garnetlanding.resp.request import parse_request
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.errors import BufferPoolExhaustedError
from garnetlanding.runtime.memory import MemoryAccount

_REPLY_BYTES = 128
"""Memory that a reply which waits for earlier ones needs besides its bytes."""

_BATCH_BYTES = 16 << 10
"""Replies are written together up to this size; longer batches would be copied without need."""

_OUT_OF_MEMORY_REPLY = b"-ERR out of memory\r\n"
_OK = b"+OK\r\n"
_PONG = b"+PONG\r\n"


def _always() -> bool:
    return True


@dataclass(frozen=True, slots=True)
class RespListenerContext:
    """Collaborators and state shared by all client connections of one listener."""

    engine: RequestEngine
    backend: BackendTransport
    pool: BufferPool
    limits: Limits
    accepts_clients: Callable[[], bool] = _always
    """Whether clients should use this instance; if not, as during a drain, PING is answered with an error."""
    open_ids: set[bytes] = field(default_factory=set)
    """Client-assigned ids of the requests in progress, over all connections."""


class RespClientProtocol:
    """Implements the runtime's `ClientProtocol` for RESP2: submits requests, writes replies in order.

    States:

    - receiving, initially: commands are processed as they arrive;
    - closing, once `is_closing` is set: input is ignored, pending replies are still written.

    Events:

    - `QUIT`: receiving -> closing; all pending replies are still written;
    - invalid RESP2, too many pipelined commands, too many invalid commands, or no buffer left: receiving ->
      closing; the client's requests in progress are aborted, and an error reply follows theirs;
    - `fail_pending`: receiving -> closing; the client's requests in progress are aborted, and each reply that
      is not written is replaced by an error;
    - `close`: any -> closing; the engine is told that the client has disconnected.

    Replies that wait for earlier ones are charged to the client's `account`. One that the client must not
    hold is replaced by an error.
    """

    def __init__(
        self, context: RespListenerContext, write: Sink, account: MemoryAccount | None = None
    ) -> None:
        self._account = account or context.pool.budget.process_account
        self._engine = context.engine
        self._backend = context.backend
        self._limits = context.limits
        self._pool = context.pool
        self._accepts_clients = context.accepts_clients
        self._open_ids = context.open_ids
        self._write = write
        self._decoder = codec.Decoder(context.pool, context.limits, self._account, commands_only=True)
        self._pending: deque[PendingReply] = deque()
        """Replies that are not completely written, in command order."""
        self._is_streaming = False
        """Whether the first pending reply is a value that is being streamed."""
        self._is_pipelining = False
        """Whether the client has ever sent a command before the reply to the one before it."""
        self.is_closing = False
        self.has_buffered_input = False
        self.messages_received = 0
        self.invalid_messages = 0
        self.requests_received = 0

    @property
    def pending_responses(self) -> int:
        """Number of replies that are not completely written."""
        return len(self._pending)

    @property
    def has_session_state(self) -> bool:
        """False: RESP2 connections have no session state that a close between requests would lose."""
        return False

    @property
    def has_partial_message(self) -> bool:
        """Whether a command has arrived only in part."""
        return self._decoder.has_partial_message

    def feed(self, data: bytes | memoryview) -> None:
        """Buffer received bytes and process the commands that they complete, up to a limit per call.

        The limit keeps one client from blocking the event loop. While `has_buffered_input` is set,
        `feed(b"")` processes further commands.
        """
        self.has_buffered_input = False
        if self.is_closing:
            return
        remaining = self._limits.commands_per_iteration
        if self._engine.pending_events >= self._limits.events_per_iteration:
            remaining = 1
        try:
            for arguments in self._decoder.feed(data):
                self.messages_received += 1
                if arguments:  # an empty array is ignored, as in other RESP servers
                    self._process(arguments)  # type: ignore[arg-type] # commands_only: lists of bytes
                if self.is_closing:
                    break
                remaining -= 1
                if not remaining:
                    self.has_buffered_input = self._decoder.has_partial_message
                    break
        except ProtocolError as error:
            self._close_with_error(f"Protocol error: {error}")
        except BufferPoolExhaustedError:
            # Closing the connection without an error reply would lose the replies to requests in progress.
            self._close_with_error("out of buffers")

    def fail_waiting(self, reason: str) -> None:
        """Do nothing: each request is passed on to the engine at once."""

    def fail_pending(self, reason: str) -> None:
        """Abort the requests in progress, and answer all that is pending with an error."""
        self.is_closing = True
        self._decoder.close()
        error = codec.encode_error("ERR " + reason)
        for pending in self._pending:
            if isinstance(pending.reply, bytes):
                self._release_held(pending)
                pending.reply = error
        for pending in list(self._pending):
            if isinstance(pending.reply, Body):
                pending.reply.end(complete=False)
        self._abort_requests(reason)

    def close(self) -> None:
        """Report to the engine that the client has disconnected, and release everything that it held.

        Nothing refers to the connection any more, so that its memory is freed at once.
        """
        self.is_closing = True
        self._decoder.close()
        abandoned = list(self._pending)
        self._pending.clear()
        for pending in abandoned:
            self._abandon(pending)
        self._write = CLOSED_SINK

    def _abandon(self, pending: PendingReply) -> None:
        reply = pending.reply
        pending.reply = None
        pending.stop_collect_timer()
        if isinstance(reply, Body):
            reply.end(complete=False)
        self._release_held(pending)
        if pending.ticket is not None:
            ticket = pending.ticket
            self._release_id(pending)
            self._engine.client_disconnected(ticket)

    # Commands

    def _process(self, arguments: list[bytes]) -> None:
        if len(self._pending) >= self._limits.pipelined_commands:
            self._close_with_error("too many commands at once")
            return
        pending = self._add_pending()
        match arguments[0].upper():
            case b"BLK.READ" | b"BLK.WRITE":
                self._submit(pending, arguments)
            case b"PING" if not self._accepts_clients():
                self._set_reply(pending, codec.encode_error("ERR draining"))
            case b"PING":
                self._set_reply(pending, codec.encode_bulk(arguments[1]) if len(arguments) > 1 else _PONG)
            case b"CLIENT" | b"SELECT":
                self._set_reply(pending, _OK)
            case b"QUIT":
                self.is_closing = True
                self._set_reply(pending, _OK)
            case _:
                self._reject_command(pending, "unknown command")

    def _submit(self, pending: PendingReply, arguments: list[bytes]) -> None:
        """Submit a request to the engine, which may answer before `submit` returns."""
        try:
            request = parse_request(arguments, self._limits)
            request_id = self._require_unused_id(arguments[2])
            self.requests_received += 1
            pending.stream_by = self._engine.now + request.timeout_us - self._limits.stream_margin_us
            ticket = self._engine.submit(
                request,
                self._backend,
                lambda answer: self._set_reply(pending, encode_answer(answer)),
                self._account,
            )
        except (InvalidCommandError, InvalidRequestError) as error:
            self._reject_command(pending, str(error))
            return
        if pending.reply is None:
            pending.ticket = ticket
            pending.request_id = request_id
            self._open_ids.add(request_id)

    def _require_unused_id(self, request_id: bytes) -> bytes:
        """Return the id. Raises `InvalidArgumentError` if a request with this id is in progress.

        A backend could not distinguish the two requests.
        """
        if request_id in self._open_ids:
            raise InvalidArgumentError("id", Problem.IN_USE)
        return request_id

    def _reject_command(self, pending: PendingReply, reason: str) -> None:
        """Reply to an invalid command with an error, and close the connection after too many of them."""
        self.invalid_messages += 1
        self._set_reply(pending, codec.encode_error("ERR " + reason))
        if self.invalid_messages >= self._limits.max_invalid_commands:
            self._close_with_error("too many errors")

    def _close_with_error(self, reason: str) -> None:
        """Abort the requests in progress, reply with an error, and then close the connection."""
        self.is_closing = True
        self._abort_requests(reason)
        self._set_reply(self._add_pending(), codec.encode_error("ERR " + reason))

    def _abort_requests(self, reason: str) -> None:
        tickets = [pending.ticket for pending in self._pending if pending.ticket is not None]
        for ticket in tickets:
            self._engine.abort(ticket, reason)

    # Replies

    def _add_pending(self) -> PendingReply:
        pending = PendingReply()
        self._pending.append(pending)
        if len(self._pending) > 1:
            self._is_pipelining = True
        return pending

    def _set_reply(self, pending: PendingReply, reply: bytes | Body) -> None:
        """Set the reply to a command, and write the replies that are now ready."""
        pending.reply = reply
        if pending.ticket is not None:
            self._release_id(pending)
        if isinstance(reply, Body):
            reply.account = self._account
            reply.on_end.append(lambda complete: self._on_body_end(pending, complete=complete))
        elif self._is_streaming or self._pending[0] is not pending:
            self._hold(pending, reply)
        self._write_ready()

    def _hold(self, pending: PendingReply, reply: bytes) -> None:
        """Charge a reply that has to wait for earlier ones, or replace it by an error."""
        held_bytes = len(reply) + _REPLY_BYTES
        if self._account.charge(held_bytes):
            pending.held_bytes = held_bytes
        else:
            pending.reply = _OUT_OF_MEMORY_REPLY

    def _release_held(self, pending: PendingReply) -> None:
        if pending.held_bytes:
            self._account.release(pending.held_bytes)
            pending.held_bytes = 0

    def _release_id(self, pending: PendingReply) -> None:
        """Mark the request as no longer in progress, so that its id can be reused."""
        pending.ticket = None
        self._open_ids.discard(pending.request_id)

    def _write_ready(self) -> None:
        """Write replies in order, up to the first that is unknown or still being streamed."""
        ready: list[bytes] = []
        ready_bytes = 0
        while not self._is_streaming and self._pending:
            pending = self._pending[0]
            reply = pending.reply
            if reply is None:
                break
            if isinstance(reply, Body):
                if self._must_collect(pending, reply):
                    break
                pending.stop_collect_timer()
                self._begin_streaming(reply, ready)
                if self._is_streaming:
                    return
                ready = [codec.CRLF]
                ready_bytes = 0
            else:
                self._release_held(pending)
                ready.append(reply)
                ready_bytes += len(reply)
            self._pending.popleft()
            if ready_bytes > _BATCH_BYTES:
                self._write(b"".join(ready))
                ready = []
                ready_bytes = 0
        if ready:
            self._write(b"".join(ready))

    def _must_collect(self, pending: PendingReply, body: Body) -> bool:
        """Return whether a streamed value has to be collected further before its first byte is written.

        From then on, if it is cut short, only the end of the connection tells the client, which loses the
        replies to all requests behind it. So the value of a client that sends several commands at once is
        collected until it is whole, its time is over, or memory becomes scarce.
        """
        now = self._engine.now
        if not self._is_pipelining or body.is_whole:
            return False
        if now >= pending.stream_by or not self._may_collect():
            return False
        if pending.collect_timer is None:
            pending.stream_by = min(pending.stream_by, now + self._limits.stream_collect_us)
            pending.collect_timer = self._engine.call_at(pending.stream_by, self._write_ready)
            body.collect(self._write_ready, self._may_collect)
        return True

    def _may_collect(self) -> bool:
        """Return whether there is memory for values that are collected."""
        return not self._pool.budget.is_scarce

    def _begin_streaming(self, body: Body, preceding: list[bytes]) -> None:
        """Write the preceding replies and the header of a streamed value; its bytes follow as they arrive."""
        self._write(b"".join([*preceding, b"$%d\r\n" % body.length]))
        body.attach_sink(self._write)
        self._is_streaming = not body.ended

    def _on_body_end(self, pending: PendingReply, *, complete: bool) -> None:
        """Continue after a streamed value, or end the connection if the value is incomplete.

        The end is all that tells the client of the truncation; replies before the value are still sent. If no
        byte of the value has been sent yet, an error reply takes its place.
        """
        if pending not in self._pending:
            return  # the connection has ended
        is_streamed = self._is_streaming and self._pending[0] is pending
        if not is_streamed:
            if not complete:
                pending.stop_collect_timer()
                pending.reply = codec.encode_error("ERR cut short")
                self._write_ready()
        elif complete:
            self._is_streaming = False
            self._pending.popleft()
            self._write(codec.CRLF)
            self._write_ready()
        elif self.is_closing:
            self._write.abort()
        else:
            self._end_after_flush()

    def _end_after_flush(self) -> None:
        """End the connection after what has been written; no reply that is still pending can be sent."""
        write = self._write
        self.close()
        write.end_after_flush()
