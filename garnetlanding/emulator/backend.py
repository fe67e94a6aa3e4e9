"""An emulated RESP2 backend with blocks in memory. Tests may script its responses or hold them back."""

from __future__ import annotations

from typing import Any

from garnetlanding.emulator.base import EmulatedConnection, EmulatedServer
from garnetlanding.resp import codec as resp
from garnetlanding.runtime.protocols import Write

WRITE_ARGUMENTS = 5  # the command, the block, the request's id, its attributes and the data
READ_ARGUMENTS = 4  # the same without data


class EmulatedBackendConnection(EmulatedConnection):
    """A connection that passes complete RESP2 commands to its backend."""

    server: EmulatedBackend

    def __init__(self, server: EmulatedBackend, write: Write) -> None:
        super().__init__(server, write)
        self._decoder = resp.Decoder(server.pool, server.limits, commands_only=True)

    def feed(self, data: bytes | memoryview) -> None:
        """Execute every command that these bytes complete."""
        for arguments in self._decoder.feed(data):
            assert isinstance(arguments, list)
            self.server.command([argument for argument in arguments if isinstance(argument, bytes)], self)


class EmulatedBackend(EmulatedServer):
    """A backend that executes commands at once, unless its responses are scripted or held."""

    connection_class = EmulatedBackendConnection

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.data: dict[bytes, bytes] = {}
        self.received: list[list[bytes]] = []  # every command
        self.holds_responses = False  # hold back every response until `release`
        self.scripted_responses: list[bytes | None] = []  # the next responses; None: hold it back
        self.held_commands: list[tuple[list[bytes], EmulatedBackendConnection]] = []

    def command(self, arguments: list[bytes], connection: EmulatedBackendConnection) -> None:
        """Execute a command and respond to it, or hold the response back."""
        self.received.append(arguments)
        response = self._next_response(arguments)
        if response is None:
            self.held_commands.append((arguments, connection))
        else:
            connection.write(response)

    def _next_response(self, arguments: list[bytes]) -> bytes | None:
        if self.scripted_responses:
            return self.scripted_responses.pop(0)
        if self.holds_responses:
            return None
        return self.execute(arguments)

    def execute(self, arguments: list[bytes]) -> bytes:
        """Write or read a block and return the response."""
        name = arguments[0].upper()
        if name == b"BLK.WRITE" and len(arguments) == WRITE_ARGUMENTS:
            self.data[arguments[1]] = arguments[4]
            value = b"OK"
        elif name == b"BLK.READ" and len(arguments) == READ_ARGUMENTS:
            value = self.data.get(arguments[1], b"")
        else:
            return b"-SYNTAX\r\n"
        return b"*3\r\n" + resp.encode_bulk(value) + resp.encode_bulk(b"used=50") + b"$-1\r\n"

    def release(self) -> None:
        """Execute the held commands and respond to them."""
        held = self.held_commands
        self.held_commands = []
        for arguments, connection in held:
            connection.write(self.execute(arguments))
