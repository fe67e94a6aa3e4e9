"""Periodically closes stuck and idle backend connections, and logs protocol errors."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable

from garnetlanding.limits import Limits
from garnetlanding.runtime.backend_connection import BackendConnection
from garnetlanding.runtime.connection_pool import ConnectionPool
from garnetlanding.runtime.scheduler import Scheduler

log = logging.getLogger(__name__)


class ConnectionSweeper:
    """Sweeps a pool's connections every `Limits.sweep_us`.

    If the instance uses a subset of the backends, `backend_subset` returns their names, and idle connections
    to other backends are closed after the shorter timeout `outside_subset_idle_us`.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        limits: Limits,
        connections: ConnectionPool,
        protocol_errors: Counter[tuple[str, str]],
    ) -> None:
        self._scheduler = scheduler
        self._limits = limits
        self._connections = connections
        self._protocol_errors = protocol_errors
        self.backend_subset: Callable[[], frozenset[str]] | None = None
        self.outside_subset_idle_us = limits.backend_idle_us
        self._schedule_next()

    def _schedule_next(self) -> None:
        self._scheduler.call_at(self._scheduler.now + self._limits.sweep_us, self._sweep)

    def _sweep(self) -> None:
        self._schedule_next()
        self._log_protocol_errors()
        self._close_stuck()
        for key in self._connections.idle_keys():
            self._connections.close_above_quota(key)
        self._close_idle()
        self._connections.forget_unused_keys()

    def _log_protocol_errors(self) -> None:
        """Log the number of protocol errors since the last sweep, with the most frequent one."""
        if not self._protocol_errors:
            return
        address, cause = self._protocol_errors.most_common(1)[0][0]
        count = self._protocol_errors.total()
        log.warning(
            "backend connections closed",
            extra={"kv": {"count": count, "most_at": address, "mostly": cause}},
        )
        self._protocol_errors.clear()

    def _close_stuck(self) -> None:
        """Close connections busy for longer than any attempt may take: the backend will not respond."""
        began_before = self._scheduler.now - self._limits.max_deadline_us - self._limits.sweep_us
        stuck = [conn for conn in self._connections.open_connections() if conn.began_at <= began_before]
        for connection in stuck:
            if not self._connections.is_idle(connection):
                connection.close()

    def _close_idle(self) -> None:
        """Close idle connections before the backend does, whose close could race with a request."""
        now = self._scheduler.now
        subset = self.backend_subset() if self.backend_subset else None
        for connection in self._connections.idle_connections():
            if connection.idle_since <= now - self._max_idle_us(connection, subset):
                connection.close()

    def _max_idle_us(self, connection: BackendConnection, subset: frozenset[str] | None) -> int:
        if subset is None or connection.backend in subset:
            return self._limits.backend_idle_us
        return self.outside_subset_idle_us
