"""A listening socket: accepts connections up to a limit, evicts idle ones, shuts down gracefully."""

from __future__ import annotations

import logging
import socket
from collections.abc import Callable

from garnetlanding.limits import Limits
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.client_connection import ClientConnection
from garnetlanding.runtime.connection_capacity import CapacityUser
from garnetlanding.runtime.errors import StreamClosedError
from garnetlanding.runtime.protocols import ClientProtocol
from garnetlanding.runtime.scheduler import READ, Scheduler
from garnetlanding.runtime.stream import configure_socket, create_listening_socket

log = logging.getLogger(__name__)

SPARE_DIVISOR = 6
"""Connections count as scarce while less than this part of the limit, a sixth, is free."""


class Listener:
    """A listening socket and the connections accepted on it.

    At most `max_connections` are open, minus those granted to `capacity_user` if one is set. During an
    upgrade this process may use the fraction `capacity_quota` of `max_connections`, and the other process of
    the instance has the rest. `protocol_factory` creates the protocol of each connection. While
    `close_when_idle` is set, connections are closed as soon as they are idle.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        address: str,
        pool: BufferPool,
        limits: Limits,
        max_connections: int,
        protocol_factory: Callable[[ClientConnection], ClientProtocol],
        *,
        reuse_port: bool = False,
    ) -> None:
        self.scheduler = scheduler
        self.pool = pool
        self.limits = limits
        self.protocol_factory = protocol_factory
        self.capacity_user: CapacityUser | None = None
        self.capacity_quota = 1.0
        self.close_when_idle = False
        self._max_connections = max_connections
        self._clients: set[ClientConnection] = set()
        self._lingering: dict[ClientConnection, None] = {}  # a set ordered by when they began to linger
        self._sock: socket.socket | None = create_listening_socket(
            address, limits.backlog, reuse_port=reuse_port
        )
        host, port = self._sock.getsockname()[:2]
        self.address = f"{host}:{port}"
        scheduler.spawn(self._accept_forever)
        scheduler.call_at(scheduler.now + limits.client_sweep_us, self._sweep)

    def __len__(self) -> int:
        return len(self._clients) + len(self._lingering)

    @property
    def connections(self) -> list[ClientConnection]:
        """The open connections except lingering ones, in no particular order."""
        return list(self._clients)

    # Accepting

    @property
    def accepting(self) -> bool:
        """Whether new connections are accepted."""
        return self._sock is not None

    def _accept_forever(self) -> None:
        try:
            while self._sock:
                self.scheduler.wait(self._sock.fileno(), READ)
                try:
                    self._accept_pending()
                except OSError as error:
                    # Out of descriptors, or the client has disconnected: neither may stop the listener.
                    log.warning("accept failed", extra={"kv": {"error": error}})
                    self.scheduler.sleep(self.limits.accept_pause_us)
        except StreamClosedError:
            pass
        finally:
            if self._sock:
                self._sock.close()

    def _accept_pending(self) -> None:
        """Accept connections from the kernel's queue, as many as an iteration and the limit allow."""
        assert self._sock
        if not self.reserve():
            # Clients that wait in the kernel's queue fare better than ones that are accepted and closed.
            self.scheduler.sleep(self.limits.accept_pause_us)
            return
        # At the limit only one is accepted: only the next poll tells whether another one is waiting.
        for _ in range(min(self.limits.accepts_per_iteration, self._available)):
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                return
            self._add_connection(sock)

    def _add_connection(self, sock: socket.socket) -> None:
        configure_socket(sock)
        self._clients.add(ClientConnection(self, sock))
        self._abort_excess_lingering()

    def stop_accepting(self) -> None:
        """Accept the connections in the kernel's queue, and then refuse new ones.

        Queued connections beyond the limit are reset when the listening socket closes: accepting them would
        use up descriptors that discovery and backends need.
        """
        sock = self._sock
        self._sock = None
        if sock is None:
            return
        while self.reserve():
            try:
                accepted, _ = sock.accept()
            except OSError:
                break
            self._add_connection(accepted)
        self.scheduler.cancel_waits(sock.fileno(), StreamClosedError())
        sock.close()

    # Capacity

    @property
    def _granted(self) -> int:
        return self.capacity_user.granted if self.capacity_user else 0

    @property
    def _limit(self) -> int:
        return int(self._max_connections * self.capacity_quota)

    @property
    def _available(self) -> int:
        return self._limit - self._granted - len(self._clients)

    @property
    def utilization(self) -> float:
        """Fraction of the connections that are open or granted, from 0 to 1."""
        return (self._granted + len(self._clients)) / self._max_connections

    @property
    def has_free_capacity(self) -> bool:
        """Whether there is room for one connection without evicting another."""
        return self._available > 0

    def reserve(self) -> bool:
        """Make room for one connection, evicting an idle one if necessary; return whether there is room."""
        return self.has_free_capacity or self._evict()

    def _sweep(self) -> None:
        """Evict idle connections while few are free, so that new clients need not wait for one."""
        if self._sock:
            self.scheduler.call_at(self.scheduler.now + self.limits.client_sweep_us, self._sweep)
        missing = self._limit // SPARE_DIVISOR - self._available
        if missing > 0:
            self._evict(missing)

    def evict_down_to(self, max_connections: int) -> None:
        """Evict evictable connections while more than `max_connections` are open."""
        excess = len(self._clients) - max_connections
        if excess > 0:
            self._evict(excess)

    def _evict(self, count: int = 1) -> bool:
        """Close up to `count` connections that make no progress; return whether any was closed.

        Connections that have sent no request are closed before others, and longer idle ones before newer
        ones. Those whose client has stopped within a message come last.
        """
        now = self.scheduler.now
        candidates: list[tuple[bool, bool, int, ClientConnection]] = []
        for client in self._clients:
            evictable_from = client.evictable_from
            if evictable_from is not None and evictable_from <= now:
                protocol = client.protocol
                has_sent_request = protocol.requests_received > 0
                candidates.append((protocol.has_partial_message, has_sent_request, evictable_from, client))
        evicted = 0
        for *_, client in sorted(candidates, key=lambda candidate: candidate[:3]):
            if evicted >= count:
                break
            evicted += client.close_gracefully()
        return evicted > 0

    # Called by connections

    def on_lingering(self, connection: ClientConnection) -> None:
        """Stop counting a connection that only waits for its client to close.

        Its descriptor stays in use until the client closes, or until too many connections linger.
        """
        self._clients.discard(connection)
        self._lingering[connection] = None
        self._abort_excess_lingering()

    def _abort_excess_lingering(self) -> None:
        """Abort the longest-lingering connections above the number for which there are descriptors."""
        while len(self._lingering) > self.limits.lingering_connections + max(0, self._available):
            oldest = next(iter(self._lingering))
            self._lingering.pop(oldest)
            oldest.abort()

    def on_closed(self, connection: ClientConnection) -> None:
        """Remove a closed connection."""
        self._clients.discard(connection)
        self._lingering.pop(connection, None)

    # Shutdown

    def fail_waiting(self, reason: str) -> None:
        """Answer the requests of all connections that have not reached the engine yet with an error."""
        for client in list(self._clients):
            client.protocol.fail_waiting(reason)

    def close_idle(self) -> None:
        """Close idle connections now and, until `close_when_idle` is reset, others when they become idle."""
        self.close_when_idle = True
        for client in list(self._clients):
            client.close_if_idle()

    def abort_all(self) -> None:
        """Close every connection immediately, at the end of a shutdown."""
        for client in [*self._clients, *self._lingering]:
            client.abort()
