"""The base classes of the emulated servers: a listener and its connections."""

from __future__ import annotations

from garnetlanding.limits import Limits
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.listener import Listener
from garnetlanding.runtime.protocols import Write, discard_bytes
from garnetlanding.runtime.scheduler import Scheduler

FREE_PORT = "127.0.0.1:0"
MAX_CONNECTIONS = 256


class EmulatedConnection:
    """One connection of an emulated server; a subclass handles the received bytes.

    The attributes besides `server` and `write` are those of the runtime's `ClientProtocol`.
    """

    def __init__(self, server: EmulatedServer, write: Write) -> None:
        self.server = server
        self.write = write
        self.is_closing = False
        self.has_session_state = False
        self.pending_responses = 0
        self.invalid_messages = 0
        # Exempts clients of an emulated server from the timeout for the first request.
        self.messages_received = 1
        self.requests_received = 1
        self.has_partial_message = False
        self.has_buffered_input = False

    def feed(self, data: bytes | memoryview) -> None:
        """Handle bytes from the client."""
        raise NotImplementedError

    def fail_waiting(self, reason: str) -> None:
        """Do nothing: no request waits."""

    def fail_pending(self, reason: str) -> None:
        """Do nothing: the connection is closed."""

    def close(self) -> None:
        """Handle the end of the connection."""
        self.is_closing = True
        self.write = discard_bytes
        self.server.discard_connection(self)


class EmulatedServer:
    """A listener, by default on a free port; a subclass sets the class of its connections."""

    connection_class: type[EmulatedConnection]

    def __init__(
        self, scheduler: Scheduler, pool: BufferPool, limits: Limits, address: str = FREE_PORT
    ) -> None:
        self.scheduler = scheduler
        self.pool = pool
        self.limits = limits
        self.connections: list[EmulatedConnection] = []
        self.accepted_connections = 0  # since the start, open or not
        self.listener = Listener(scheduler, address, pool, limits, MAX_CONNECTIONS, self._make)
        self.address = self.listener.address

    def _make(self, write: Write) -> EmulatedConnection:
        self.accepted_connections += 1
        self.connections.append(self.connection_class(self, write))
        return self.connections[-1]

    def discard_connection(self, connection: EmulatedConnection) -> None:
        """Remove a connection that has ended."""
        self.connections.remove(connection)

    def close_connection(self, connection: EmulatedConnection) -> None:
        """Close one connection without answering its pending requests."""
        for client in self.listener.connections:
            if client.protocol is connection:
                client.stream.close()

    def close_connections(self) -> None:
        """Close every connection, as the end of a process does."""
        for client in self.listener.connections:
            client.stream.close()
