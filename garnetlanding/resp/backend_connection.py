"""Sends attempts to backends: the state machine of one connection.

A backend replies to a connection's requests in order, so an attempt behind another would also wait for it.
Therefore a connection carries one attempt at a time, and there are as many connections as attempts in flight.
"""

from __future__ import annotations

from collections.abc import Callable

from garnetlanding.core.body import Body
from garnetlanding.core.ports import AttemptHandle, Timers
from garnetlanding.decision.interface import Outcome
from garnetlanding.limits import Limits
from garnetlanding.resp import codec
from garnetlanding.resp.backend_reply import read_reply
from garnetlanding.resp.errors import ProtocolError
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.errors import BackendProtocolError
from garnetlanding.runtime.protocols import BackendProtocolFactory, Write
from garnetlanding.runtime.scheduler import Scheduler
from garnetlanding.runtime.upstream import Upstream


class RespBackendProtocol:
    """Implements the runtime's `BackendProtocol`: matches each reply to the one attempt in flight.

    States:

    - idle, from the start and after `done` is called: no attempt and no `body`;
    - awaiting, from `begin` on: the attempt's reply is to come;
    - streaming, while `body` is set: the attempt has ended with a value that is still arriving.

    Bytes in the idle state, and bytes behind a reply, are a `BackendProtocolError`: they would be taken for
    the reply to the next attempt.
    """

    bytes_may_have_been_sent = True
    """A command is one message: once the backend has it whole, it may run."""

    def __init__(
        self,
        timers: Timers,
        pool: BufferPool,
        limits: Limits,
        write: Callable[[bytes], None],
        done: Callable[[], None],
    ) -> None:
        self._timers = timers
        self._write = write
        self._done = done
        self._decoder = codec.Decoder(pool, limits)
        self._max_used_percent = limits.use_percent
        self._attempt: AttemptHandle | None = None
        self.body: Body | None = None

    @property
    def has_partial_message(self) -> bool:
        """Whether part of a reply has arrived."""
        return self._decoder.has_partial_message

    def begin(self, attempt: AttemptHandle) -> None:
        """Write the attempt's command."""
        self._attempt = attempt
        self._write(attempt.work.encode(attempt.until_us - self._timers.now))

    def feed(self, data: bytes | memoryview) -> None:
        """Take received bytes. Raises `BackendProtocolError`: the connection cannot be used any more."""
        if self._is_idle:
            raise BackendProtocolError("answer to nothing")
        if self._attempt:
            self._attempt.response_started()
        try:
            for value in self._decoder.feed(data):
                if not self._stream(value):
                    self._end_reply(value)
        except ProtocolError as error:
            raise BackendProtocolError(error) from error

    def can_carry(self, attempt: AttemptHandle) -> bool:  # noqa: ARG002 - of the BackendProtocol protocol
        """Whether this free connection would serve the attempt better than others: all are alike."""
        return True

    def close(self) -> None:
        """Drop what has arrived of a reply; a value that is being streamed ends cut short."""
        self._decoder.close()
        if self.body:
            self.body.end(complete=False)

    @property
    def _is_idle(self) -> bool:
        return self._attempt is None and self.body is None

    def _end_reply(self, value: codec.Value) -> None:
        """End the attempt, or its streamed value, by a complete reply.

        The reply counts whatever stands behind it: with one attempt in flight, it is that one's.
        """
        if self._is_idle:
            raise BackendProtocolError("more than one answer")
        reply = read_reply(value, self._max_used_percent)
        attempt = self._attempt
        body = self.body
        self._attempt = None
        self.body = None
        if attempt:
            attempt.finish(*reply)
        elif body:
            body.end(complete=True)
        if self._decoder.has_partial_message:
            raise BackendProtocolError("more behind an answer")
        self._done()

    def _stream(self, value: codec.Value) -> bool:
        """Pass on a part of a streamed value; return whether `value` was one.

        The attempt ends with the first byte of the value: its one reply is on its way to the client.
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
    """Creates the protocol of each connection to a backend; all connections to one address are alike."""

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
    """Return what sends attempts to all backends over RESP2."""
    factory = RespBackendProtocolFactory(scheduler, pool, limits)
    return Upstream(scheduler, pool, limits, limits.backend_conns, factory)
