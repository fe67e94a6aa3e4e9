"""A listening address: accepts connections within its capacity, evicts idle ones, stops gracefully."""

from __future__ import annotations

import logging
import socket
from collections.abc import Callable

from garnetlanding.limits import Limits
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.client_connection import Client, ClientMachine, Write
from garnetlanding.runtime.errors import StreamClosedError
from garnetlanding.runtime.scheduler import READ, Scheduler
from garnetlanding.runtime.stream import listen

__all__ = ["Client", "ClientMachine", "Listener", "Write"]

log = logging.getLogger(__name__)


class Listener:
    """One listening address and the connections it has accepted.

    At most `most` connections are open, less those that backends have borrowed (`lent`), and only `part` of
    them while another process of the instance has the rest. `make` returns the protocol's state machine for
    a connection. While `ending` is set, a connection is closed as soon as it is idle.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        address: str,
        pool: BufferPool,
        limits: Limits,
        most: int,
        make: Callable[[Client], ClientMachine],
        shared: bool = False,
    ) -> None:
        self.scheduler = scheduler
        self.pool = pool
        self.limits = limits
        self.make = make
        self._most = most
        self.lent: Callable[[], int] = lambda: 0
        self._clients: set[Client] = set()
        self._lingering: dict[Client, None] = {}  # closed for sending, the oldest first
        self.ending = False
        self.part = 1.0
        self._sock: socket.socket | None = listen(address, limits.backlog, shared)
        host, port = self._sock.getsockname()[:2]
        self.address = f"{host}:{port}"
        scheduler.spawn(self._accept)
        scheduler.call_at(scheduler.now + limits.client_sweep_us, self._sweep)

    def __len__(self) -> int:
        return len(self._clients) + len(self._lingering)

    # Accepting

    @property
    def accepting(self) -> bool:
        """Return whether the address is still listened at."""
        return self._sock is not None

    def _accept(self) -> None:
        try:
            while self._sock:
                self.scheduler.wait(self._sock.fileno(), READ)
                try:
                    self._accept_waiting()
                except OSError as problem:
                    # Out of descriptors, or the client is gone already: it must not end the listening.
                    log.warning("accept failed", extra={"kv": {"error": problem}})
                    self.scheduler.sleep(self.limits.accept_pause_us)
        except StreamClosedError:
            pass
        finally:
            if self._sock:
                self._sock.close()

    def _accept_waiting(self) -> None:
        assert self._sock
        if not self.lend():
            # Waiting clients stay with the kernel: accepting one now could only lose it.
            self.scheduler.sleep(self.limits.accept_pause_us)
            return
        # At the bound, a connection is evicted for a waiting client, which only the next poll reports.
        for _ in range(min(self.limits.accepts_per_iteration, self._free)):
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                return
            self._adopt(sock)

    def _adopt(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._clients.add(Client(self, sock))
        self._cut_lingering()

    def stop_accepting(self) -> None:
        """Accept what the kernel has queued already, then refuse new connections.

        Those beyond the capacity are reset with the listening socket: accepted, they would use up the
        descriptors that discovery and backends need.
        """
        sock = self._sock
        self._sock = None
        if sock is None:
            return
        while self.lend():
            try:
                accepted, _ = sock.accept()
            except OSError:
                break
            self._adopt(accepted)
        self.scheduler.forget(sock.fileno(), StreamClosedError())
        sock.close()

    # Capacity

    @property
    def _free(self) -> int:
        return int(self._most * self.part) - self.lent() - len(self._clients)

    @property
    def used(self) -> float:
        """Return the part of the capacity that is in use, from 0 to 1."""
        return (self.lent() + len(self._clients)) / self._most

    def lend(self) -> bool:
        """Return whether a connection more is possible, evicting an idle one where necessary."""
        return self._free > 0 or self._evict()

    def _sweep(self) -> None:
        """Keep idle connections down: clients that hold too many would have none left to ask on."""
        if self._sock:
            self.scheduler.call_at(self.scheduler.now + self.limits.client_sweep_us, self._sweep)
        self.shed(self.limits.idle_clients)

    def shed(self, most: int) -> None:
        """Evict connections that may be evicted, as long as there are more than `most`."""
        if len(self._clients) > most:
            self._evict(len(self._clients) - most)

    def _evict(self, count: int = 1) -> bool:
        """Close up to `count` connections between requests; return whether one was.

        First go those that never asked for anything, of these the longest idle, unless a request has
        arrived on them that is unread.
        """
        now = self.scheduler.now
        candidates: list[tuple[bool, int, Client]] = []
        for client in self._clients:
            spare_from = client.spare_from
            if spare_from is not None and spare_from <= now:
                candidates.append((client.machine.asked > 0, spare_from, client))
        evicted = 0
        for _, _, client in sorted(candidates, key=lambda candidate: candidate[:2]):
            if evicted >= count:
                break
            evicted += client.let_go()
        return evicted > 0

    # What connections report

    def lingers(self, client: Client) -> None:
        """Free the connection's place: it sends nothing more and only waits for the client to close.

        Its descriptor is free once the client has closed too, or when too many others linger.
        """
        self._clients.discard(client)
        self._lingering[client] = None
        self._cut_lingering()

    def _cut_lingering(self) -> None:
        while len(self._lingering) > self.limits.linger_conns + max(0, self._free):
            oldest = next(iter(self._lingering))
            self._lingering.pop(oldest)
            oldest.cut()

    def gone(self, client: Client) -> None:
        """Forget a connection that is closed."""
        self._clients.discard(client)
        self._lingering.pop(client, None)

    # The end

    def close_idle(self) -> None:
        """Close idle connections, and until `ending` is reset every other one as soon as it is idle."""
        self.ending = True
        for client in list(self._clients):
            client.close_if_idle()

    def cut_all(self) -> None:
        """Close every connection at once: nothing is owed any more that a client would still take."""
        for client in [*self._clients, *self._lingering]:
            client.cut()
