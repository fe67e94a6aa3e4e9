"""What every emulated server shares: a listener and connections that record what they receive."""

from __future__ import annotations

from garnetlanding.limits import Limits
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.listener import Listener
from garnetlanding.runtime.protocols import Write
from garnetlanding.runtime.scheduler import Scheduler

FREE_PORT = "127.0.0.1:0"
MAX_CONNECTIONS = 256


class EmulatedConnection:
    """One connection of an emulated server; a subclass says what to do with bytes.

    The attributes besides `server` and `write` are those of the runtime's `ClientProtocol`.
    """

    def __init__(self, server: EmulatedServer, write: Write) -> None:
        self.server = server
        self.write = write
        self.is_closing = False
        self.has_session_state = False
        self.pending_responses = 0
        self.invalid_messages = 0
        # Clients of an emulated server may take their time: they count as ones that have made a request.
        self.messages_received = 1
        self.requests_received = 1
        self.has_partial_message = False
        self.has_buffered_input = False

    def feed(self, data: bytes | memoryview) -> None:
        """Take in bytes of the client."""
        raise NotImplementedError

    def close(self) -> None:
        """Note that the connection has ended."""
        self.is_closing = True
        self.server.forget(self)


class EmulatedServer:
    """A listener, on a free port unless given an address; a subclass names its connections' class."""

    machine: type[EmulatedConnection]

    def __init__(
        self, scheduler: Scheduler, pool: BufferPool, limits: Limits, address: str = FREE_PORT
    ) -> None:
        self.scheduler = scheduler
        self.pool = pool
        self.limits = limits
        self.connections: list[EmulatedConnection] = []
        self.accepted = 0  # connections so far
        self.listener = Listener(scheduler, address, pool, limits, MAX_CONNECTIONS, self._make)
        self.address = self.listener.address

    def _make(self, write: Write) -> EmulatedConnection:
        self.accepted += 1
        self.connections.append(self.machine(self, write))
        return self.connections[-1]

    def forget(self, connection: EmulatedConnection) -> None:
        """Drop a connection that has ended."""
        self.connections.remove(connection)

    def close_connection(self, connection: EmulatedConnection) -> None:
        """End one connection, with whatever is unanswered on it."""
        for client in self.listener.connections:
            if client.protocol is connection:
                client.stream.close()

    def close_connections(self) -> None:
        """End every connection, as a dying process does."""
        for client in self.listener.connections:
            client.stream.close()
