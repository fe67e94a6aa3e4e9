"""Carries attempts to backends, over pooled connections with at most one attempt on each.

Only one, because an attempt is stopped by closing its connection, which would stop any other on it too.
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

    `connections` are the pooled connections, `capacity` is the limit on their number, and `sweeper` closes
    those that are stuck or idle for too long. `protocol_errors` counts protocol errors by address and cause,
    until the sweeper logs them.
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

    # The core's port

    def start(self, attempt: AttemptHandle) -> None:
        """Send the attempt over an idle connection, or else over a new one.

        Finishes it as unreachable, or as never dispatched, if there can be no connection.
        """
        endpoint = attempt.address()
        if endpoint is None:
            attempt.finish(Outcome.UNREACHABLE)
            return
        factory = self.protocol_factory
        key = factory.resolve_address(endpoint), factory.connection_key(attempt)
        connection = self.connections.take_idle(key, attempt)
        if connection:
            self._busy[attempt] = connection
            connection.begin(attempt)
            return
        obstacle = self._obstacle_to_connecting(key, attempt.backend)
        if obstacle:
            attempt.finish(obstacle)
            return
        self._connect(key, attempt)

    def stop(self, attempt: AttemptHandle) -> None:
        """Stop the attempt by closing its connection."""
        connection = self._busy.pop(attempt, None)
        if connection:
            connection.attempt = None
            connection.close()

    # New connections

    def _obstacle_to_connecting(self, key: ConnectionKey, backend: str) -> Outcome | None:
        """Return the outcome of an attempt for which no connection may be opened; `None` if one may."""
        open_count = self.connections.count(key)
        quota = self.connections.quota
        if quota and open_count >= quota.max_connections(backend):
            # The outcome must not count against the backend, because it is the quota that is used up.
            quota.set_open(backend, open_count, lacking=True)
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
        """Return whether the backend may still be sent the attempt, and still has the address of the key."""
        endpoint = attempt.address()
        return endpoint is not None and self.protocol_factory.resolve_address(endpoint) == key[0]

    def on_idle(self, connection: BackendConnection) -> None:
        """Return a connection to the pool once its attempt has ended."""
        if connection.attempt:
            self._busy.pop(connection.attempt, None)
        self.connections.put_idle(connection)

    def on_closed(self, connection: BackendConnection) -> None:
        """Forget a closed connection."""
        if connection.attempt:
            self._busy.pop(connection.attempt, None)
        self.connections.remove(connection)
