"""Serves clients over RESP2: the protocol of one client connection, without I/O.

Replies are written in the order of the commands, whatever the order in which the engine answers the requests,
because a client can match replies to commands by their order alone.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from garnetlanding.core.body import Body, Sink
from garnetlanding.core.engine import RequestEngine
from garnetlanding.core.ports import Answer, BackendTransport, InvalidRequestError, Rejected, Served
from garnetlanding.limits import MS, Limits
from garnetlanding.resp import codec
from garnetlanding.resp.errors import InvalidArgumentError, InvalidCommandError, Problem, ProtocolError
from garnetlanding.resp.request import read_request
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.errors import BufferPoolExhaustedError

_OK = b"+OK\r\n"
_PONG = b"+PONG\r\n"


def _always() -> bool:
    return True


@dataclass(frozen=True, slots=True)
class Front:
    """What all client connections of one listener share."""

    engine: RequestEngine
    backend: BackendTransport
    pool: BufferPool
    limits: Limits
    accepts_clients: Callable[[], bool] = _always
    """Whether clients should use this instance; while it drains, PING gets an error."""
    open_ids: set[bytes] = field(default_factory=set)
    """The clients' ids of the requests in progress on all connections."""


class PendingReply:
    """The reply to one command, to be written after those to all earlier commands.

    `reply` is `None` until it is known. While the command's request is in progress, `ticket` is the engine's
    name for it, and `request_id` the client's.
    """

    __slots__ = ("reply", "request_id", "ticket")

    def __init__(self) -> None:
        self.reply: bytes | Body | None = None
        self.ticket: str | None = None
        self.request_id = b""


def encode_answer(answer: Answer) -> bytes | Body:
    """Encode the engine's answer as a reply; a value that is to be streamed is returned as it is."""
    match answer:
        case Served(Body() as body):
            return body
        case Served(value):
            return codec.bulk(value)
        case Rejected(retry_after_us) if retry_after_us:
            retry_after_ms = -(-retry_after_us // MS)  # rounded up: never sooner than the engine asks for
            return b"-BUSY %d\r\n" % retry_after_ms
        case Rejected():
            return b"-BUSY\r\n"
    return codec.error("ERR " + answer.reason)


class RespClientProtocol:
    """Implements the runtime's `ClientProtocol` for RESP2: submits requests, writes replies in order.

    States:

    - receiving, from the start: commands are processed as they arrive;
    - closing, once `is_closing` is set: input is ignored, pending replies are still written.

    Events:

    - `QUIT`: receiving -> closing, with all pending replies still to come;
    - invalid RESP2, too many commands at once, too many invalid commands, or no buffer left: receiving ->
      closing, with an error reply, after the client's requests in progress have been aborted;
    - `close`: any -> closing, and the engine is told that the client has disconnected.
    """

    has_buffered_input = False
    """`feed` processes all complete commands at once."""

    def __init__(self, front: Front, write: Sink) -> None:
        self._engine = front.engine
        self._backend = front.backend
        self._limits = front.limits
        self._accepts_clients = front.accepts_clients
        self._open_ids = front.open_ids
        self._write = write
        self._decoder = codec.Decoder(front.pool, front.limits, commands_only=True)
        self._pending: deque[PendingReply] = deque()
        """Replies that are not completely written, in the order of the commands."""
        self._streaming = False
        """Whether the first of them is a value that is being streamed."""
        self.is_closing = False
        self.messages_received = 0
        self.invalid_messages = 0
        self.requests_received = 0

    @property
    def pending_responses(self) -> int:
        """Number of replies that are not completely written."""
        return len(self._pending)

    @property
    def has_session_state(self) -> bool:
        """Whether a close between requests would lose state: never in this protocol."""
        return False

    @property
    def has_partial_message(self) -> bool:
        """Whether part of a command has arrived."""
        return self._decoder.has_partial_message

    def feed(self, data: bytes | memoryview) -> None:
        """Process received bytes, and the commands that they complete."""
        if self.is_closing:
            return
        try:
            for arguments in self._decoder.feed(data):
                self.messages_received += 1
                if arguments:  # an empty array is ignored, as by other RESP servers
                    self._process(arguments)  # type: ignore[arg-type] # what commands_only yields
                if self.is_closing:
                    break
        except ProtocolError as error:
            self._reject_client(f"Protocol error: {error}")
        except BufferPoolExhaustedError:
            # To close the connection without a word would lose the replies to the requests in progress.
            self._reject_client("out of buffers")

    def close(self) -> None:
        """Tell the engine that the client has left its requests in progress, and release all buffers."""
        self.is_closing = True
        for pending in list(self._pending):
            if isinstance(pending.reply, Body):
                pending.reply.end(complete=False)
        self._decoder.close()
        for pending in self._pending:
            ticket = pending.ticket
            if ticket is not None:
                self._release_id(pending)
                self._engine.client_disconnected(ticket)

    # Commands

    def _process(self, arguments: list[bytes]) -> None:
        if len(self._pending) >= self._limits.pipelined_commands:
            self._reject_client("too many commands at once")
            return
        pending = self._add_pending()
        match arguments[0].upper():
            case b"BLK.READ" | b"BLK.WRITE":
                self._submit(pending, arguments)
            case b"PING" if not self._accepts_clients():
                self._settle(pending, codec.error("ERR draining"))
            case b"PING":
                self._settle(pending, codec.bulk(arguments[1]) if len(arguments) > 1 else _PONG)
            case b"CLIENT" | b"SELECT":
                self._settle(pending, _OK)
            case b"QUIT":
                self.is_closing = True
                self._settle(pending, _OK)
            case _:
                self._reject_command(pending, "unknown command")

    def _submit(self, pending: PendingReply, arguments: list[bytes]) -> None:
        """Submit a request to the engine, which may answer it before `submit` returns."""
        try:
            request = read_request(arguments, self._limits)
            request_id = self._require_unused_id(arguments[2])
            self.requests_received += 1
            ticket = self._engine.submit(
                request, self._backend, lambda answer: self._settle(pending, encode_answer(answer))
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

        A backend could not tell the two requests apart.
        """
        if request_id in self._open_ids:
            raise InvalidArgumentError("id", Problem.IN_USE)
        return request_id

    def _reject_command(self, pending: PendingReply, reason: str) -> None:
        """Reply to an invalid command with an error; too many of them close the connection."""
        self.invalid_messages += 1
        self._settle(pending, codec.error("ERR " + reason))
        if self.invalid_messages >= self._limits.bad_commands:
            self._reject_client("too many errors")

    def _reject_client(self, reason: str) -> None:
        """Reply with an error, abort the requests in progress, and close the connection after that."""
        self.is_closing = True
        tickets = [pending.ticket for pending in self._pending if pending.ticket is not None]
        for ticket in tickets:
            self._engine.abort(ticket, reason)
        self._settle(self._add_pending(), codec.error("ERR " + reason))

    # Replies

    def _add_pending(self) -> PendingReply:
        pending = PendingReply()
        self._pending.append(pending)
        return pending

    def _settle(self, pending: PendingReply, reply: bytes | Body) -> None:
        """Set the reply to a command, and write all replies that can now be written."""
        pending.reply = reply
        if pending.ticket is not None:
            self._release_id(pending)
        if isinstance(reply, Body):
            reply.on_end.append(lambda complete: self._body_ended(pending, complete=complete))
        self._write_ready()

    def _release_id(self, pending: PendingReply) -> None:
        """Mark the request as no longer in progress, so that its id can be used again."""
        pending.ticket = None
        self._open_ids.discard(pending.request_id)

    def _write_ready(self) -> None:
        """Write replies in order, up to one that is not known yet or is still being streamed."""
        ready: list[bytes] = []
        while not self._streaming and self._pending:
            reply = self._pending[0].reply
            if reply is None:
                break
            if isinstance(reply, Body):
                self._begin_streaming(reply, ready)
                if self._streaming:
                    return
                ready = [codec.CRLF]
            else:
                ready.append(reply)
            self._pending.popleft()
        if ready:
            self._write(b"".join(ready))

    def _begin_streaming(self, body: Body, before: list[bytes]) -> None:
        """Write the replies before a streamed value and its header; the value follows as it arrives."""
        self._write(b"".join([*before, b"$%d\r\n" % body.length]))
        body.attach_sink(self._write)
        self._streaming = not body.ended

    def _body_ended(self, pending: PendingReply, *, complete: bool) -> None:
        """Write what follows a streamed value; abort the connection if the value is incomplete.

        Only by the abort can the client tell. A value that has not begun to be sent is replaced by an error.
        """
        is_streamed = self._streaming and self._pending[0] is pending
        if not is_streamed:
            if not complete:
                pending.reply = codec.error("ERR cut short")
        elif complete:
            self._streaming = False
            self._pending.popleft()
            self._write(codec.CRLF)
            self._write_ready()
        else:
            self._write.abort()
