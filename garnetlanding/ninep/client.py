"""Sends attempts to file servers: the state machine of one connection, which runs one program after another.

The program of an attempt (`operations.py`) yields a T-message and waits for its R-message, so that one
message is in flight at a time. Clunks are sent behind it, and nothing waits for their replies.
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
from garnetlanding.ninep.session import Session, SessionLimits, Steps, clunk_surplus_fids
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.errors import BackendProtocolError, UnsolicitedResponseError
from garnetlanding.runtime.protocols import BackendProtocolFactory
from garnetlanding.runtime.scheduler import Scheduler
from garnetlanding.runtime.stream import parse_address
from garnetlanding.runtime.upstream import Upstream

TAG = 1
"""The tag of the attempt's one message in flight."""

CLUNK_TAGS = range(2, 0xFFFF)
"""The tags of clunks, used in turn."""

OFFERS = {
    "auto": (codec_linux.VERSION, codec.VERSION),
    codec.VERSION: (codec.VERSION,),
    codec_linux.VERSION: (codec_linux.VERSION,),
}
"""The versions to offer a server, the best first, by the setting."""


class NinepBackendProtocol:
    """Implements the runtime's `BackendProtocol` for file servers.

    States:

    - idle, from the start and after `done` is called: neither an attempt nor a program;
    - running, from `begin` on: the attempt's program waits for the reply to its message;
    - cleaning up: the attempt has ended, and the program clunks a file that keeps others out.

    Bytes in the idle state, replies with another tag and what is not a message are a `BackendProtocolError`.
    """

    body = None
    """Of the `BackendProtocol` protocol: no reply is streamed, as msize bounds it."""

    def __init__(
        self,
        work: Operation,
        pool: BufferPool,
        limits: Limits,
        offered_versions: tuple[str, ...],
        write: Callable[[bytes], None],
        done: Callable[[], None],
    ) -> None:
        self._write = write
        self._done = done
        session_limits = SessionLimits(limits.ninep_msize, limits.ninep_msize_min, limits.ninep_keep_open)
        self._session = Session(work.identity, session_limits, offered_versions)
        self._framer = codec.Framer(pool, limits.ninep_msize)
        self._attempt: AttemptHandle | None = None
        self._program: Steps[Any] | None = None
        self._clunks: set[int] = set()  # the tags of those in flight
        self._next_clunk = CLUNK_TAGS[0]
        self.bytes_may_have_been_sent = False
        """Whether the server may have begun what the attempt is for."""

    @property
    def has_partial_message(self) -> bool:
        """Whether part of a reply has arrived."""
        return self._framer.has_partial_message

    def begin(self, attempt: AttemptHandle) -> None:
        """Start the attempt's program. Raises `BackendProtocolError` if the server is to be sent nothing."""
        self._attempt = attempt
        self.bytes_may_have_been_sent = False
        self._program = attempt.operation.attempt_steps(self._session)
        self._run_program(None)

    def feed(self, data: bytes | memoryview) -> None:
        """Take received bytes. Raises `BackendProtocolError`: the connection cannot be used any more."""
        try:
            for tag, message in self._framer.feed(data):
                if tag in self._clunks and isinstance(message, codec.Rclunk):
                    self._clunks.remove(tag)
                else:
                    self._take_reply(tag, message)
        except codec.FrameError as error:
            raise BackendProtocolError(error) from error

    def can_carry(self, attempt: AttemptHandle) -> bool:
        """Return whether the file that the attempt needs is open on this connection."""
        work = attempt.operation
        return (
            isinstance(work, Read | ReadDirectory | Write)
            and (work.path, work.open_mode) in self._session.open_files
        )

    def close(self) -> None:
        """Drop what has arrived of a reply."""
        self._framer.close()

    def _take_reply(self, tag: int, message: codec.Message | codec.MalformedMessage) -> None:
        if self._program is None:
            raise UnsolicitedResponseError
        if isinstance(message, codec.MalformedMessage):
            raise BackendProtocolError(message.reason)
        if tag != (codec.NOTAG if isinstance(message, codec.Rversion) else TAG):
            raise BackendProtocolError(f"answer to tag {tag}")
        self._run_program(message)

    def _run_program(self, reply: codec.Message | None) -> None:
        """Run the program up to its next message, and send that."""
        assert self._program
        try:
            # A generator that has not begun takes None alone, which is what begin() hands over.
            message = self._program.send(reply)  # type: ignore[arg-type]
        except StopIteration as end:
            self._end_program(end.value)
            return
        # Each message of a longer program is new work for the server: it may have begun to drain.
        if self._attempt and self._attempt.address() is None:
            raise BackendProtocolError("server drains")
        self._note_exposure(message)
        self._framer.table = self._session.table
        self._write(codec.encode(codec.NOTAG if isinstance(message, codec.Tversion) else TAG, message))

    def _note_exposure(self, message: codec.Message) -> None:
        """Note that the server may run the operation once it has this message.

        A program that changes something sends others first; before the one that changes, nothing can have
        run.
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

    def _end_program(self, result: object) -> None:
        """End the attempt; the connection is free as soon as no file of it keeps others out.

        What the attempt leaves open serves the next one, which another connection might not be allowed to
        open.
        """
        attempt = self._attempt
        self._attempt = None
        if attempt:
            work: Operation = attempt.operation
            if work.spec.changes_tree and self.bytes_may_have_been_sent:
                work.delivery.unresolved_attempts -= 1
            if self._session.clunk_before_next:
                self._program = clunk_surplus_fids(self._session)
                attempt.finish(Outcome.SERVED, result)
                self._run_program(None)
                return
            attempt.finish(Outcome.SERVED, result)
        self._program = None
        self._clunk_unawaited()
        self._done()

    def _clunk_unawaited(self) -> None:
        fids = self._session.surplus_fids
        self._session.surplus_fids = []
        for fid in fids:
            tag = self._next_clunk
            self._next_clunk = tag + 1 if tag + 1 in CLUNK_TAGS else CLUNK_TAGS[0]
            self._clunks.add(tag)
            self._write(codec.encode(tag, codec.Tclunk(fid)))


class NinepBackendProtocolFactory(BackendProtocolFactory):
    """Creates the protocol of each connection to a file server.

    `port` is where the servers listen on the machines that discovery names; 0: at the address it gives.
    `offered_versions` are the versions to offer them, the best first.
    """

    def __init__(
        self, pool: BufferPool, limits: Limits, port: int, offered_versions: tuple[str, ...]
    ) -> None:
        self._pool = pool
        self._limits = limits
        self._port = port
        self._offered_versions = offered_versions

    def create(
        self, attempt: AttemptHandle, write: Callable[[bytes], None], on_idle: Callable[[], None]
    ) -> NinepBackendProtocol:
        """Return the protocol of a new connection, which is attached as the attempt's user."""
        return NinepBackendProtocol(
            attempt.operation, self._pool, self._limits, self._offered_versions, write, on_idle
        )

    def resolve_address(self, endpoint: str) -> str:
        """Return the address of the file server on an endpoint's machine."""
        return f"{parse_address(endpoint)[0]}:{self._port}" if self._port else endpoint

    def connection_key(self, attempt: AttemptHandle) -> str:
        """Return what a connection is attached as: only attempts of the same user and tree may share it."""
        identity = attempt.operation.identity
        return f"{identity.uname}\0{identity.n_uname}\0{identity.aname}"


def file_servers(
    scheduler: Scheduler, pool: BufferPool, limits: Limits, port: int, dialect: str = "auto"
) -> Upstream:
    """Return what sends attempts to all file servers over 9P.

    `port` is as in `NinepBackendProtocolFactory`. `dialect` is the version to offer the servers, or `auto` to
    offer all, the richer one first.
    """
    factory = NinepBackendProtocolFactory(pool, limits, port, OFFERS[dialect])
    return Upstream(scheduler, pool, limits, limits.ninep_server_connections, factory)
