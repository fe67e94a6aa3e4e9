"""Sends attempts to backends over pooled connections, each of which carries at most one attempt.

An attempt is stopped by closing its connection, which would also stop any other attempt on it.
"""

from __future__ import annotations

from collections import Counter

from garnetlanding.core.ports import AttemptHandle
from garnetlanding.decision.interface import Outcome
from garnetlanding.limits import Limits
from garnetlanding.runtime.backend_connection import BackendConnection, ConnectionKey
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.connection_capacity import UpstreamCapacity
from garnetlanding.runtime.connection_pool import ConnectionPool
from garnetlanding.runtime.connection_sweeper import ConnectionSweeper
from garnetlanding.runtime.protocols import BackendProtocolFactory
from garnetlanding.runtime.scheduler import Scheduler


class Upstream:
    """Implements the core's `BackendTransport` for one protocol.

    `connections` is the connection pool, `capacity` limits its size, and `sweeper` closes connections that
    are stuck or idle for too long. `protocol_errors` counts protocol errors by address and cause until the
    sweeper logs them.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        pool: BufferPool,
        limits: Limits,
        max_connections: int,
        protocol_factory: BackendProtocolFactory,
    ) -> None:
        self.scheduler = scheduler
        self.pool = pool
        self.limits = limits
        self.protocol_factory = protocol_factory
        self.protocol_errors: Counter[tuple[str, str]] = Counter()
        self.capacity = UpstreamCapacity(max_connections, limits.reserved_backend_connections)
        self.connections = ConnectionPool(self.capacity)
        self.sweeper = ConnectionSweeper(scheduler, limits, self.connections, self.protocol_errors)
        self._busy: dict[AttemptHandle, BackendConnection] = {}

    # The core's `BackendTransport`

    def start(self, attempt: AttemptHandle) -> None:
        """Send the attempt over an idle connection, or over a new one if there is none.

        Finishes it as unreachable, or as never dispatched, if no connection may be opened.
        """
        endpoint = attempt.address()
        if endpoint is None:
            attempt.finish(Outcome.UNREACHABLE)
            return
        factory = self.protocol_factory
        key = factory.resolve_address(endpoint), factory.connection_key(attempt)
        rested_since = self.scheduler.now - factory.rest_us
        connection = self.connections.take_idle(key, attempt, rested_since)
        if connection is None and not self._has_capacity(key, attempt.backend):
            # One without a rest, rather than an eviction or no connection at all.
            connection = self.connections.take_idle(key, attempt)
        if connection:
            self._busy[attempt] = connection
            connection.begin(attempt)
            return
        denied = self._outcome_if_connect_denied(key, attempt.backend)
        if denied:
            attempt.finish(denied)
            return
        self._connect(key, attempt)

    def stop(self, attempt: AttemptHandle) -> None:
        """Stop the attempt by closing its connection."""
        connection = self._busy.pop(attempt, None)
        if connection:
            connection.attempt = None
            connection.close()

    # New connections

    def _has_capacity(self, key: ConnectionKey, backend: str) -> bool:
        """Return whether a connection may be opened without closing another one."""
        open_count = self.connections.count(key)
        quota = self.connections.quota
        return (
            open_count < self.limits.connections_per_backend
            and (quota is None or open_count < quota.max_connections(backend))
            and self.capacity.has_free_capacity
        )

    def _outcome_if_connect_denied(self, key: ConnectionKey, backend: str) -> Outcome | None:
        """Return the outcome of an attempt for which no connection may be opened, `None` if one may."""
        open_count = self.connections.count(key)
        quota = self.connections.quota
        if quota and open_count >= quota.max_connections(backend):
            # The quota is exhausted, so the outcome must not count against the backend.
            quota.set_open(backend, open_count, denied_by_quota=True)
            return Outcome.NEVER_DISPATCHED
        if open_count >= self.limits.connections_per_backend:
            return Outcome.UNREACHABLE
        if not (self.capacity.reserve() or self.connections.close_longest_idle()):
            return Outcome.UNREACHABLE
        return None

    def _connect(self, key: ConnectionKey, attempt: AttemptHandle) -> None:
        connection = BackendConnection(self, key, attempt)
        self._busy[attempt] = connection
        self.connections.add(connection)

    # Called by connections

    def may_send(self, attempt: AttemptHandle, key: ConnectionKey) -> bool:
        """Return whether the attempt may still be sent and its backend still has the address of the key."""
        endpoint = attempt.address()
        return endpoint is not None and self.protocol_factory.resolve_address(endpoint) == key[0]

    def on_idle(self, connection: BackendConnection) -> None:
        """Return a connection to the pool after its attempt has ended."""
        if connection.attempt:
            self._busy.pop(connection.attempt, None)
        self.connections.put_idle(connection)

    def on_closed(self, connection: BackendConnection) -> None:
        """Remove a closed connection."""
        if connection.attempt:
            self._busy.pop(connection.attempt, None)
        self.connections.remove(connection)
