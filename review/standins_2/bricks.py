"""A stand-in for a brick, which serves its shard as the protocol page says; a case may change that."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from review.standins_2 import resp
from review.standins_2.record import Record

Serve = Callable[["Brick", list[bytes], asyncio.StreamWriter], Awaitable[None]]


async def serve_at_once(brick: Brick, words: list[bytes], writer: asyncio.StreamWriter) -> None:
    """Run the command, and answer it."""
    brick.run(words)
    writer.write(resp.served(brick.value_of(words)))


class Brick:
    """One brick: takes commands of a connection in order, and begins each at its last byte."""

    def __init__(self, name: str, cell: int, record: Record, serve: Serve = serve_at_once) -> None:
        self.name = name
        self.cell = cell
        self.record = record
        self.serve = serve
        self.address = ""
        self.lifecycle = "SERVING"
        self.started_ms = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._connected, "127.0.0.1", 0, backlog=512)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def run(self, words: list[bytes]) -> None:
        """Note that a command is run."""
        self.record(f"{self.name} runs {words[0].decode()} {words[1].decode()} {words[2].decode()}")

    @staticmethod
    def value_of(words: list[bytes]) -> bytes:
        """Return the value that belongs to a request: it names the piece, and for a write says OK."""
        return b"value of " + words[1] if words[0] == b"BLK.READ" else b"OK"

    def entry(self) -> dict[str, object]:
        """Return the brick as discovery lists it."""
        return {
            "instanceId": self.name,
            "hostPort": self.address,
            "zone": "a",
            "machineType": "m",
            "cell": self.cell,
            "lifecycle": self.lifecycle,
            "weight": 1.0,
            "startedAtMs": self.started_ms,
        }

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                words = await resp.read(reader)
                await self.serve(self, words, writer)
                await writer.drain()
        writer.close()
