"""The pool of backend connections, which keeps idle ones for reuse."""

from __future__ import annotations

from garnetlanding.core.ports import AttemptHandle
from garnetlanding.runtime.backend_connection import BackendConnection, ConnectionKey
from garnetlanding.runtime.connection_capacity import ConnectionQuota, UpstreamCapacity


class ConnectionPool:
    """All connections to the backends of one protocol, by key.

    `quota` is set if all instances together have a limit on the connections to each backend. Connections
    beyond the quota are closed: idle ones immediately, busy ones when they become idle. The quota shrinks
    when capacity that peers had granted is returned to them.
    """

    def __init__(self, capacity: UpstreamCapacity) -> None:
        self.capacity = capacity
        self.quota: ConnectionQuota | None = None
        self._open: dict[ConnectionKey, set[BackendConnection]] = {}
        self._idle: dict[
            ConnectionKey, list[BackendConnection]
        ] = {}  # ordered by last use, the most recent one last

    # Opened and closed connections

    def count(self, key: ConnectionKey) -> int:
        """Return the number of open connections of a key."""
        return len(self._open.get(key, ()))

    def add(self, connection: BackendConnection) -> None:
        """Add a new connection, which is busy."""
        self.capacity.open_count += 1
        self._open.setdefault(connection.key, set()).add(connection)
        self._report_open(connection)

    def remove(self, connection: BackendConnection) -> None:
        """Remove a closed connection."""
        self.capacity.open_count -= 1
        self._open[connection.key].discard(connection)
        self._report_open(connection)
        if self.is_idle(connection):
            self._idle[connection.key].remove(connection)

    def _report_open(self, connection: BackendConnection) -> None:
        if self.quota:
            self.quota.set_open(connection.backend, len(self._open[connection.key]))

    # Reuse

    def take_idle(
        self, key: ConnectionKey, attempt: AttemptHandle, idle_since: int | None = None
    ) -> BackendConnection | None:
        """Take an idle connection for an attempt, which makes it busy; return `None` if there is none.

        With `idle_since`, only one that has been idle since that time. Idle connections that have become
        unusable are closed.
        """
        idle = self._idle.get(key)
        while idle:
            # The most recently used one, unless another is preferred: the others can then time out.
            connection = self._preferred(idle, attempt, idle_since)
            if connection is None:
                return None
            if connection.is_reusable():
                idle.remove(connection)
                return connection
            # Either the backend closed it after the last response, and a request sent now would be reset; or
            # it sent surplus data, which would be mistaken for the response to this request.
            connection.close()
        return None

    @staticmethod
    def _preferred(
        idle: list[BackendConnection], attempt: AttemptHandle, idle_since: int | None
    ) -> BackendConnection | None:
        most_recent = None
        for connection in reversed(idle):
            if idle_since is not None and connection.idle_since > idle_since:
                continue
            if connection.protocol.can_carry(attempt):
                return connection
            most_recent = most_recent or connection
        return most_recent

    def put_idle(self, connection: BackendConnection) -> None:
        """Make a connection available for reuse, unless it is closed or exceeds the quota."""
        if not connection.closed:
            self._idle.setdefault(connection.key, []).append(connection)
            self.close_above_quota(connection.key)

    def is_idle(self, connection: BackendConnection) -> bool:
        """Return whether the connection is available for reuse."""
        return connection in self._idle.get(connection.key, ())

    # Closing connections

    def close_longest_idle(self) -> bool:
        """Close the connection that has been idle longest; return whether there was one."""
        connection = min(self.idle_connections(), key=lambda idle: idle.idle_since, default=None)
        if connection is None:
            return False
        connection.close()
        return True

    def close_idle_down_to(self, max_connections: int) -> None:
        """Close idle connections while more than `max_connections` are open."""
        while self.capacity.open_count > max_connections and self.close_longest_idle():
            pass

    def close_above_quota(self, key: ConnectionKey) -> None:
        """Close idle connections of a key while more are open than the quota allows."""
        idle = self._idle.get(key, [])
        while self.quota and idle and len(self._open[key]) > self.quota.max_connections(idle[0].backend):
            idle[0].close()

    # For the periodic sweep

    def idle_keys(self) -> list[ConnectionKey]:
        """Return the keys that have, or have had, idle connections."""
        return list(self._idle)

    def open_connections(self) -> list[BackendConnection]:
        """Return all connections."""
        return [connection for connections in self._open.values() for connection in connections]

    def idle_connections(self) -> list[BackendConnection]:
        """Return the connections that are available for reuse."""
        return [connection for connections in self._idle.values() for connection in connections]

    def forget_unused_keys(self) -> None:
        """Drop the entries of keys without connections."""
        for key in [key for key, connections in self._open.items() if not connections]:
            del self._open[key]
            self._idle.pop(key, None)
