"""A backend that keeps blocks of data in a map. Tests may script its responses or hold them back."""

from __future__ import annotations

from typing import Any

from garnetlanding.emulator.base import EmulatedConnection, EmulatedServer
from garnetlanding.resp import codec as resp
from garnetlanding.runtime.protocols import Write

WRITE_WORDS = 5  # the command, the block, the request's id, its attributes and the data
READ_WORDS = 4  # the same without data


class EmulatedBackendConnection(EmulatedConnection):
    """A connection that passes whole RESP2 commands to its backend."""

    server: EmulatedBackend

    def __init__(self, server: EmulatedBackend, write: Write) -> None:
        super().__init__(server, write)
        self._decoder = resp.Decoder(server.pool, server.limits, commands_only=True)

    def feed(self, data: bytes | memoryview) -> None:
        """Run every command that is whole with these bytes."""
        for words in self._decoder.feed(data):
            assert isinstance(words, list)
            self.server.command([word for word in words if isinstance(word, bytes)], self)


class EmulatedBackend(EmulatedServer):
    """A backend that executes commands at once, unless its responses are scripted or held."""

    machine = EmulatedBackendConnection

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.data: dict[bytes, bytes] = {}
        self.received: list[list[bytes]] = []  # every command
        self.holds_responses = False  # every response, until `release`
        self.scripted_responses: list[bytes | None] = []  # to send next, in order; None: hold it back
        self.held_commands: list[tuple[list[bytes], EmulatedBackendConnection]] = []

    def command(self, words: list[bytes], connection: EmulatedBackendConnection) -> None:
        """Take a command and respond to it, or hold the response back."""
        self.received.append(words)
        response = self._next_response(words)
        if response is None:
            self.held_commands.append((words, connection))
        else:
            connection.write(response)

    def _next_response(self, words: list[bytes]) -> bytes | None:
        if self.scripted_responses:
            return self.scripted_responses.pop(0)
        if self.holds_responses:
            return None
        return self.execute(words)

    def execute(self, words: list[bytes]) -> bytes:
        """Write or read a block and return the response."""
        verb = words[0].upper()
        if verb == b"BLK.WRITE" and len(words) == WRITE_WORDS:
            self.data[words[1]] = words[4]
            value = b"OK"
        elif verb == b"BLK.READ" and len(words) == READ_WORDS:
            value = self.data.get(words[1], b"")
        else:
            return b"-SYNTAX\r\n"
        return b"*3\r\n" + resp.encode_bulk(value) + resp.encode_bulk(b"used=50") + b"$-1\r\n"

    def release(self) -> None:
        """Execute the commands that are held and respond to them."""
        held = self.held_commands
        self.held_commands = []
        for words, connection in held:
            connection.write(self.execute(words))
