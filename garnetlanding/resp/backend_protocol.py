"""The client side of RESP2 on one backend connection, without I/O.

A backend replies to the requests of a connection in order, so a pipelined request would wait for the one
before it (head-of-line blocking). Therefore a connection carries one attempt at a time, and there are as many
connections as attempts in flight.
"""

from __future__ import annotations

from collections.abc import Callable

from garnetlanding.core.body import Body
from garnetlanding.core.ports import AttemptHandle, Timers
from garnetlanding.decision.interface import Outcome
from garnetlanding.limits import Limits
from garnetlanding.resp import codec
from garnetlanding.resp.backend_reply import parse_reply
from garnetlanding.resp.errors import ProtocolError, SurplusReplyError
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.errors import BackendProtocolError, UnsolicitedResponseError
from garnetlanding.runtime.memory import MemoryAccount
from garnetlanding.runtime.protocols import BackendProtocolFactory, Write, discard_bytes, ignore_idle
from garnetlanding.runtime.scheduler import Scheduler
from garnetlanding.runtime.upstream import Upstream


class RespBackendProtocol:
    """Implements the runtime's `BackendProtocol` for RESP2.

    States:

    - idle, initially and after each `on_idle`: there is neither an attempt nor a `body`;
    - awaiting a reply, after `begin`: there is an attempt, and its reply is incomplete;
    - streaming, while `body` is set: the attempt was finished as served with a value that is still arriving.

    Events:

    - `begin`: idle -> awaiting a reply;
    - a complete reply arrives: awaiting a reply -> idle, and the attempt is finished;
    - the first bytes of a long value arrive: awaiting a reply -> streaming, and the attempt is finished;
    - the rest of the reply arrives: streaming -> idle, and the body ends.

    Bytes that arrive while idle, or after a complete reply, raise `BackendProtocolError`; otherwise they
    would be mistaken for the reply to the next attempt.
    """

    bytes_may_have_been_sent = True
    """A command is a single message: once all of it has been sent, the backend may have executed it."""

    def __init__(
        self,
        timers: Timers,
        pool: BufferPool,
        limits: Limits,
        write: Write,
        on_idle: Callable[[], None],
        account: MemoryAccount | None = None,
    ) -> None:
        self._timers = timers
        self._write = write
        self._on_idle = on_idle
        self._decoder = codec.Decoder(pool, limits, account)
        self._max_usage_percent = limits.max_usage_percent
        self._attempt: AttemptHandle | None = None
        self.body: Body | None = None

    @property
    def has_partial_message(self) -> bool:
        """Whether a reply has arrived only in part."""
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
                if not self._handle_streamed_part(value):
                    self._complete_reply(value)
        except ProtocolError as error:
            raise BackendProtocolError(error) from error

    def can_carry(self, attempt: AttemptHandle) -> bool:  # noqa: ARG002 - required by `BackendProtocol`
        """Return True: connections have no state that would make one preferable."""
        return True

    def close(self) -> None:
        """Discard an incomplete reply; a streamed value ends as incomplete.

        Nothing refers to the attempt and the connection any more, so that their memory is freed at once.
        """
        self._decoder.close()
        body = self.body
        self._attempt = None
        self.body = None
        self._write = discard_bytes
        self._on_idle = ignore_idle
        if body:
            body.end(complete=False)

    @property
    def _is_idle(self) -> bool:
        return self._attempt is None and self.body is None

    def _complete_reply(self, value: codec.Value) -> None:
        """Finish the attempt, or the value streamed for it, with a complete reply.

        The reply counts even if surplus bytes follow it, because only this attempt is in flight.
        """
        if self._is_idle:
            raise SurplusReplyError(complete=True)
        reply = parse_reply(value, self._max_usage_percent)
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

    def _handle_streamed_part(self, value: codec.Value) -> bool:
        """Forward a part of a streamed value to the client; return False if `value` is not such a part.

        The attempt is finished by the first part, because from then on its reply is being sent to the client.
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
        self.rest_us = limits.backend_rest_us

    def create(
        self,
        attempt: AttemptHandle,  # noqa: ARG002 - the protocol receives it in `begin`
        write: Write,
        on_idle: Callable[[], None],
        account: MemoryAccount,
    ) -> RespBackendProtocol:
        """Return the protocol of a new connection."""
        return RespBackendProtocol(self._timers, self._pool, self._limits, write, on_idle, account)


def create_resp_upstream(scheduler: Scheduler, pool: BufferPool, limits: Limits) -> Upstream:
    """Return the upstream that sends attempts to all backends over RESP2."""
    factory = RespBackendProtocolFactory(scheduler, pool, limits)
    return Upstream(scheduler, pool, limits, limits.backend_connections, factory)
