"""Serves clients: the state machine of one client connection.

Commands are answered in the order in which they came, whatever the order in which the engine ends their
requests, because a client matches replies to commands by order alone.
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
from garnetlanding.resp.errors import InvalidCommandError, ProtocolError
from garnetlanding.resp.request import read_request
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.errors import BufferPoolExhaustedError

_OK = b"+OK\r\n"
_PONG = b"+PONG\r\n"


def _always() -> bool:
    return True


@dataclass(frozen=True, slots=True)
class Front:
    """What all client connections of one listener have in common."""

    engine: RequestEngine
    backend: BackendTransport
    pool: BufferPool
    limits: Limits
    accepts_clients: Callable[[], bool] = _always
    """Whether clients are to come to this instance, which is what they ask by PING."""
    open_ids: set[bytes] = field(default_factory=set)
    """The clients' ids of the requests that are open on any of the connections."""


class PendingReply:
    """The reply owed for one command.

    `reply` is `None` until it is known. While the command's request is open in the engine, `ticket` is the
    engine's name for it and `request_id` the client's.
    """

    __slots__ = ("reply", "request_id", "ticket")

    def __init__(self) -> None:
        self.reply: bytes | Body | None = None
        self.ticket: str | None = None
        self.request_id = b""


def encode_answer(answer: Answer) -> bytes | Body:
    """Encode the engine's answer; a value that is streamed stays the `Body` that it is."""
    match answer:
        case Served(Body() as body):
            return body
        case Served(value):
            return codec.bulk(value)
        case Rejected(retry_after_us) if retry_after_us:
            retry_after_ms = -(-retry_after_us // MS)  # rounded up: never sooner than asked for
            return b"-BUSY %d\r\n" % retry_after_ms
        case Rejected():
            return b"-BUSY\r\n"
    return codec.error("ERR " + answer.reason)


class RespClientProtocol:
    """Implements the listener's `ClientProtocol`: passes requests to the engine, writes replies in order.

    A client whose bytes are not RESP, that sends too many commands at once or too many invalid ones, gets an
    error and nothing more is read of it (`is_closing`); the engine then aborts what it has open.
    """

    has_buffered_input = False  # all that is fed is processed at once

    def __init__(self, front: Front, write: Sink) -> None:
        self._engine = front.engine
        self._backend = front.backend
        self._limits = front.limits
        self._accepts_clients = front.accepts_clients
        self._open_ids = front.open_ids
        self._write = write
        self._decoder = codec.Decoder(front.pool, front.limits, commands_only=True)
        self._pending: deque[PendingReply] = deque()
        """Replies owed, in the order of the commands."""
        self._streaming = False
        """Whether the first of them is being streamed."""
        self.is_closing = False
        self.messages_received = 0
        self.invalid_messages = 0
        self.requests_received = 0

    @property
    def pending_responses(self) -> int:
        """Number of replies not yet written."""
        return len(self._pending)

    @property
    def has_session_state(self) -> bool:
        """Whether a client loses something by a close between requests: in this protocol never."""
        return False

    @property
    def has_partial_message(self) -> bool:
        """Whether part of a command has arrived."""
        return self._decoder.has_partial_message

    def feed(self, data: bytes | memoryview) -> None:
        """Take received bytes and process the commands that are complete with them."""
        if self.is_closing:
            return
        try:
            for arguments in self._decoder.feed(data):
                self.messages_received += 1
                if arguments:  # an empty array is no command, as with any RESP server
                    self._process(arguments)  # type: ignore[arg-type] # what commands_only yields
                if self.is_closing:
                    break
        except ProtocolError as error:
            self._reject_client(f"Protocol error: {error}")
        except BufferPoolExhaustedError:
            # Closed without a reply, the connection would lose what it has open.
            self._reject_client("out of buffers")

    def close(self) -> None:
        """Report the open requests to the engine as left by their client."""
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
        if len(self._pending) >= self._limits.pipeline:
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
        """Pass a request to the engine, which may answer it before it returns."""
        try:
            request = read_request(arguments, self._limits)
            request_id = arguments[2]
            if request_id in self._open_ids:
                # Its first sender is owed the reply; passed on, the two could be taken for each other.
                raise InvalidCommandError("id: of a request that is open")
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

    def _reject_command(self, pending: PendingReply, reason: str) -> None:
        self.invalid_messages += 1
        self._settle(pending, codec.error("ERR " + reason))
        if self.invalid_messages >= self._limits.bad_commands:
            self._reject_client("too many errors")

    def _reject_client(self, reason: str) -> None:
        """Reply with an error and read no more; open requests are aborted, so that the close comes soon."""
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
        """Set the reply to a command; it is written once all before it are."""
        pending.reply = reply
        if pending.ticket is not None:
            self._release_id(pending)
        if isinstance(reply, Body):
            reply.on_end.append(lambda complete: self._body_ended(pending, complete))
        self._write_ready()

    def _release_id(self, pending: PendingReply) -> None:
        """Take note that the request is no longer open."""
        pending.ticket = None
        self._open_ids.discard(pending.request_id)

    def _write_ready(self) -> None:
        """Write replies from the first on, up to one that is not known, or that goes on being streamed."""
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
        """Write what is ready and the header of a value, and let the value follow as it arrives."""
        self._write(b"".join([*before, b"$%d\r\n" % body.length]))
        body.attach_sink(self._write)
        self._streaming = not body.ended

    def _body_ended(self, pending: PendingReply, complete: bool) -> None:
        """Go on behind a streamed value, or close where it was cut short, so that the client can tell."""
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
