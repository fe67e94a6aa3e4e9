"""Sends attempts to backends over RESP2: the protocol of one backend connection, without I/O.

A backend replies to the requests of a connection in order, so that a request behind another one would wait
for that too. Therefore a connection carries one attempt at a time, and as many are open as attempts in
flight.
"""

from __future__ import annotations

from collections.abc import Callable

from garnetlanding.core.body import Body
from garnetlanding.core.ports import AttemptHandle, Timers
from garnetlanding.decision.interface import Outcome
from garnetlanding.limits import Limits
from garnetlanding.resp import codec
from garnetlanding.resp.backend_reply import read_reply
from garnetlanding.resp.errors import ProtocolError, SurplusReplyError
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.errors import BackendProtocolError, UnsolicitedResponseError
from garnetlanding.runtime.protocols import BackendProtocolFactory, Write
from garnetlanding.runtime.scheduler import Scheduler
from garnetlanding.runtime.upstream import Upstream


class RespBackendProtocol:
    """Implements the runtime's `BackendProtocol` for RESP2.

    States:

    - idle, from the start and whenever `on_idle` has been called: there is neither an attempt nor a `body`;
    - awaiting a reply, from `begin` on: there is an attempt, and its reply has not arrived completely;
    - streaming, while `body` is set: the attempt has been served with a value that is still arriving.

    Events:

    - `begin`: idle -> awaiting a reply;
    - a complete reply arrives: awaiting a reply -> idle, and the attempt is finished;
    - the first bytes of a long value arrive: awaiting a reply -> streaming, and the attempt is finished;
    - the rest of its reply arrives: streaming -> idle, and the body ends.

    Bytes that arrive while idle, and bytes behind a reply, raise `BackendProtocolError`, because they would
    be taken for the reply to the next attempt.
    """

    bytes_may_have_been_sent = True
    """A command is one message: a backend that has received all that was written may have executed it."""

    def __init__(
        self,
        timers: Timers,
        pool: BufferPool,
        limits: Limits,
        write: Write,
        on_idle: Callable[[], None],
    ) -> None:
        self._timers = timers
        self._write = write
        self._on_idle = on_idle
        self._decoder = codec.Decoder(pool, limits)
        self._max_usage_percent = limits.max_usage_percent
        self._attempt: AttemptHandle | None = None
        self.body: Body | None = None

    @property
    def has_partial_message(self) -> bool:
        """Whether part of a reply has arrived."""
        return self._decoder.has_partial_message

    def begin(self, attempt: AttemptHandle) -> None:
        """Write the attempt's command."""
        self._attempt = attempt
        self._write(attempt.operation.encode(attempt.deadline_us - self._timers.now))

    def feed(self, data: bytes | memoryview) -> None:
        """Process received bytes. Raises `BackendProtocolError`; the connection is unusable after that."""
        if self._is_idle:
            raise UnsolicitedResponseError
        if self._attempt:
            self._attempt.response_started()
        try:
            for value in self._decoder.feed(data):
                if not self._stream(value):
                    self._end_reply(value)
        except ProtocolError as error:
            raise BackendProtocolError(error) from error

    def can_carry(self, attempt: AttemptHandle) -> bool:  # noqa: ARG002 - of the `BackendProtocol` interface
        """Return that this connection is as good as any other."""
        return True

    def close(self) -> None:
        """Discard an incomplete reply; a value that is being streamed ends incomplete."""
        self._decoder.close()
        if self.body:
            self.body.end(complete=False)

    @property
    def _is_idle(self) -> bool:
        return self._attempt is None and self.body is None

    def _end_reply(self, value: codec.Value) -> None:
        """Finish the attempt, or the value that is streamed for it, with a complete reply.

        The reply is valid whatever follows it, because there is only one attempt that it can belong to.
        """
        if self._is_idle:
            raise SurplusReplyError(complete=True)
        reply = read_reply(value, self._max_usage_percent)
        attempt = self._attempt
        body = self.body
        self._attempt = None
        self.body = None
        if attempt:
            attempt.finish(*reply)
        elif body:
            body.end(complete=True)
        if self._decoder.has_partial_message:
            raise SurplusReplyError(complete=False)
        self._on_idle()

    def _stream(self, value: codec.Value) -> bool:
        """Pass a piece of a streamed value on to the client; return False if `value` is none.

        The attempt is finished by the first piece, because its reply is on the way to the client from then
        on.
        """
        if isinstance(value, codec.BulkStart) and self._attempt:
            attempt = self._attempt
            self._attempt = None
            self.body = Body(value.length)
            attempt.finish(Outcome.SERVED, self.body)
        elif isinstance(value, codec.BulkChunk) and self.body:
            self.body.feed(value.data)
        else:
            return False
        return True


class RespBackendProtocolFactory(BackendProtocolFactory):
    """Creates the protocol of each connection to a backend."""

    def __init__(self, timers: Timers, pool: BufferPool, limits: Limits) -> None:
        self._timers = timers
        self._pool = pool
        self._limits = limits

    def create(
        self,
        attempt: AttemptHandle,  # noqa: ARG002 - the protocol gets it by `begin`
        write: Write,
        on_idle: Callable[[], None],
    ) -> RespBackendProtocol:
        """Return the protocol of a new connection."""
        return RespBackendProtocol(self._timers, self._pool, self._limits, write, on_idle)


def resp_backends(scheduler: Scheduler, pool: BufferPool, limits: Limits) -> Upstream:
    """Return the upstream that sends attempts to all backends over RESP2."""
    factory = RespBackendProtocolFactory(scheduler, pool, limits)
    return Upstream(scheduler, pool, limits, limits.backend_connections, factory)
