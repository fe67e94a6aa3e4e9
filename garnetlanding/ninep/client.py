"""Sends attempts to file servers: the state machine of one connection, one message exchange at a time.

The exchange of an attempt (`operations.py`) yields a T-message and waits for its R-message, so one message is
in flight at a time. Clunks are sent after the exchange ends, without waiting for their replies.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from garnetlanding.core.ports import AttemptHandle
from garnetlanding.decision.interface import Outcome
from garnetlanding.limits import Limits
from garnetlanding.ninep import codec, codec_linux
from garnetlanding.ninep.client_dialect import may_change
from garnetlanding.ninep.operations import Operation, Read, ReadDirectory, Write
from garnetlanding.ninep.session import Session, SessionLimits, Steps, clunk_unused_fids
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.errors import BackendProtocolError, UnsolicitedResponseError
from garnetlanding.runtime.memory import MemoryAccount
from garnetlanding.runtime.protocols import BackendProtocolFactory, discard_bytes, ignore_idle
from garnetlanding.runtime.scheduler import Scheduler
from garnetlanding.runtime.stream import parse_address
from garnetlanding.runtime.upstream import Upstream

ATTEMPT_TAGS = range(1, 0x8000)
"""Tags of the messages of attempts, in rotation: a second reply is not taken for that to the next message."""

CLUNK_TAGS = range(0x8000, 0xFFFF)
"""Tags of clunks, assigned in rotation."""


def next_tag(tag: int, tags: range) -> int:
    """Return the tag after `tag` in rotation."""
    return tag + 1 if tag + 1 in tags else tags[0]


OFFERED_VERSIONS = {
    "auto": (codec_linux.VERSION, codec.VERSION),
    codec.VERSION: (codec.VERSION,),
    codec_linux.VERSION: (codec_linux.VERSION,),
}
"""Versions to offer a server in order of preference, by the value of the `server_dialect` setting."""


class NinepBackendProtocol:
    """Implements the runtime's `BackendProtocol` for file servers.

    States:

    - idle, initially and after `done` was called: there is neither an attempt nor an exchange;
    - running, from `begin` on: the attempt's exchange waits for the reply to its message;
    - cleaning up: the attempt has ended, and the exchange clunks an exclusive-use file.

    Data in the idle state, unexpected tags and malformed messages raise `BackendProtocolError`.
    """

    body = None
    """Part of `BackendProtocol`: replies are never streamed, because msize limits their size."""

    def __init__(
        self,
        work: Operation,
        pool: BufferPool,
        limits: Limits,
        offered_versions: tuple[str, ...],
        write: Callable[[bytes], None],
        done: Callable[[], None],
        account: MemoryAccount | None = None,
    ) -> None:
        self._write = write
        self._done = done
        session_limits = SessionLimits(limits.ninep_msize, limits.ninep_msize_min, limits.ninep_keep_open)
        self._session = Session(work.identity, session_limits, offered_versions)
        self._framer = codec.Framer(pool, limits.ninep_msize, account=account)
        self._attempt: AttemptHandle | None = None
        self._exchange: Steps[Any] | None = None
        self._attempt_tag = ATTEMPT_TAGS[0]  # of the message in flight
        self._clunk_tags: set[int] = set()  # tags of clunks in flight
        self._next_clunk_tag = CLUNK_TAGS[0]
        self.bytes_may_have_been_sent = False
        """Whether the server may have started to execute the attempt's operation."""

    @property
    def has_partial_message(self) -> bool:
        """Whether an incomplete reply has been received."""
        return self._framer.has_partial_message

    def begin(self, attempt: AttemptHandle) -> None:
        """Start the exchange. Raises `BackendProtocolError` if nothing may be sent to the server."""
        self._attempt = attempt
        self.bytes_may_have_been_sent = False
        self._exchange = attempt.operation.attempt_steps(self._session)
        self._advance_exchange(None)

    def feed(self, data: bytes | memoryview) -> None:
        """Process received bytes. Raises `BackendProtocolError` if the connection can no longer be used."""
        try:
            for tag, message in self._framer.feed(data):
                if tag in self._clunk_tags and isinstance(message, codec.Rclunk):
                    self._clunk_tags.remove(tag)
                else:
                    self._handle_reply(tag, message)
        except codec.FrameError as error:
            raise BackendProtocolError(error) from error

    def can_carry(self, attempt: AttemptHandle) -> bool:
        """Return whether the file that the attempt needs is already open on this connection."""
        work = attempt.operation
        return (
            isinstance(work, Read | ReadDirectory | Write)
            and (work.path, work.open_mode) in self._session.open_files
        )

    def close(self) -> None:
        """Discard a partially received reply.

        Nothing refers to the attempt and the connection any more, so that their memory is freed at once.
        """
        self._framer.close()
        self._attempt = None
        self._exchange = None
        self._write = discard_bytes
        self._done = ignore_idle

    def _handle_reply(self, tag: int, message: codec.Message | codec.MalformedMessage) -> None:
        if self._exchange is None:
            raise UnsolicitedResponseError
        if isinstance(message, codec.MalformedMessage):
            raise BackendProtocolError(message.reason)
        if tag != (codec.NOTAG if isinstance(message, codec.Rversion) else self._attempt_tag):
            raise BackendProtocolError(f"reply with unexpected tag {tag}")
        self._advance_exchange(message)

    def _advance_exchange(self, reply: codec.Message | None) -> None:
        """Run the exchange up to its next message, and send that message."""
        assert self._exchange
        try:
            # A generator that has not started accepts only None, which is what begin() passes.
            message = self._exchange.send(reply)  # type: ignore[arg-type]
        except StopIteration as end:
            self._end_exchange(end.value)
            return
        # A server that has started to drain must not be sent further messages of the exchange.
        if self._attempt and self._attempt.address() is None:
            raise BackendProtocolError("server is draining")
        self._record_exposure(message)
        self._framer.table = self._session.table
        if isinstance(message, codec.Tversion):
            self._write(codec.encode(codec.NOTAG, message))
            return
        self._attempt_tag = next_tag(self._attempt_tag, ATTEMPT_TAGS)
        self._write(codec.encode(self._attempt_tag, message))

    def _record_exposure(self, message: codec.Message) -> None:
        """Record that the server may execute the operation once it has received this message.

        The exchange of a change first sends messages that change nothing; until the changing message is sent,
        the change cannot have been executed.
        """
        if self._attempt is None or self.bytes_may_have_been_sent:
            return
        work: Operation = self._attempt.operation
        if not work.spec.changes_tree:
            self.bytes_may_have_been_sent = True
        elif may_change(message):
            self.bytes_may_have_been_sent = True
            work.delivery.maybe_delivered = True
            work.delivery.unresolved_attempts += 1

    def _end_exchange(self, result: object) -> None:
        """End the attempt; the connection becomes idle once no exclusive-use file is open on it.

        An exclusive-use file is clunked first, because the next attempt may run on another connection, which
        could not open the file.
        """
        attempt = self._attempt
        self._attempt = None
        if attempt:
            work: Operation = attempt.operation
            if work.spec.changes_tree and self.bytes_may_have_been_sent:
                work.delivery.unresolved_attempts -= 1
            if self._session.must_clunk_before_next:
                self._exchange = clunk_unused_fids(self._session)
                attempt.finish(Outcome.SERVED, result)
                if self._exchange:  # the connection may have been closed meanwhile
                    self._advance_exchange(None)
                return
            attempt.finish(Outcome.SERVED, result)
        self._exchange = None
        self._send_clunks()
        self._done()

    def _send_clunks(self) -> None:
        fids = self._session.fids_to_clunk
        self._session.fids_to_clunk = []
        for fid in fids:
            tag = self._next_clunk_tag
            self._next_clunk_tag = next_tag(tag, CLUNK_TAGS)
            self._clunk_tags.add(tag)
            self._write(codec.encode(tag, codec.Tclunk(fid)))


class NinepBackendProtocolFactory(BackendProtocolFactory):
    """Creates the protocol of each connection to a file server.

    `port` is the port of the servers on the machines found by discovery; 0 uses the port from discovery.
    `offered_versions` lists the protocol versions to offer, in order of preference.
    """

    def __init__(
        self, pool: BufferPool, limits: Limits, port: int, offered_versions: tuple[str, ...]
    ) -> None:
        self._pool = pool
        self._limits = limits
        self._port = port
        self._offered_versions = offered_versions

    def create(
        self,
        attempt: AttemptHandle,
        write: Callable[[bytes], None],
        on_idle: Callable[[], None],
        account: MemoryAccount,
    ) -> NinepBackendProtocol:
        """Return the protocol of a new connection, which attaches as the attempt's user."""
        return NinepBackendProtocol(
            attempt.operation, self._pool, self._limits, self._offered_versions, write, on_idle, account
        )

    def resolve_address(self, endpoint: str) -> str:
        """Return the address of the file server on an endpoint's machine."""
        return f"{parse_address(endpoint)[0]}:{self._port}" if self._port else endpoint

    def connection_key(self, attempt: AttemptHandle) -> str:
        """Return the identity of the connection: only attempts of the same user and tree may share it."""
        identity = attempt.operation.identity
        return f"{identity.uname}\0{identity.n_uname}\0{identity.aname}"


def create_upstream(
    scheduler: Scheduler, pool: BufferPool, limits: Limits, port: int, dialect: str = "auto"
) -> Upstream:
    """Return the upstream that sends attempts to the file servers over 9P.

    `port` is as in `NinepBackendProtocolFactory`. `dialect` is the version to offer the servers, or `auto` to
    offer all versions, 9P2000.L first.
    """
    factory = NinepBackendProtocolFactory(pool, limits, port, OFFERED_VERSIONS[dialect])
    return Upstream(scheduler, pool, limits, limits.ninep_server_connections, factory)
