"""What every emulated server shares: a listener and connections that record what they hear."""

from __future__ import annotations

from garnetlanding.limits import Limits
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.listener import Listener, Write
from garnetlanding.runtime.scheduler import Scheduler


class Conn:
    """What every emulated server's connections share; a subclass says what to do with bytes."""

    def __init__(self, server: Server, write: Write) -> None:
        self.server, self.write = server, write
        self.ended = self.session = False
        self.owed = self.bad = 0
        self.taken = self.asked = 1  # a server whose clients may take their time
        self.midway = self.waiting = False

    def feed(self, data: bytes | memoryview) -> None:
        raise NotImplementedError

    def close(self) -> None:
        self.ended = True
        self.server.lost(self)


class Server:
    """A listener, on a free port unless told otherwise, with the machine of its protocol."""

    def __init__(
        self,
        scheduler: Scheduler,
        pool: BufferPool,
        limits: Limits,
        address: str = "127.0.0.1:0",
        machine: type[Conn] | None = None,
    ) -> None:
        self.scheduler, self.pool, self.limits = scheduler, pool, limits
        self.conns: list[Conn] = []
        self.accepted = 0
        self.listener = Listener(scheduler, address, pool, limits, 256, self._make)
        self.address = self.listener.address

    machine: type[Conn]

    def _make(self, write: Write) -> Conn:
        self.accepted += 1
        self.conns.append(self.machine(self, write))
        return self.conns[-1]

    def lost(self, conn: Conn) -> None:
        self.conns.remove(conn)

    def cut(self, conn: Conn) -> None:
        """Ends one connection, with whatever is unanswered on it."""
        for client in list(self.listener._clients):
            if client.machine is conn:
                client.stream.close()

    def drop(self) -> None:
        """Ends every connection, as a dying process does."""
        for client in list(self.listener._clients):
            client.stream.close()
