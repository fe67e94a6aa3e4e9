"""Stand-ins for bricks and discovery, on free loopback ports."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from typing import Any

from review.standins_3.wire import read_value

HEARTBEAT_S = 1.5

Answer = Callable[["Brick", list[bytes], asyncio.StreamWriter], Awaitable[None]]
"""Answers one command; the next one on the connection is read when it has returned."""


def _address(server: asyncio.Server) -> str:
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"


class Brick:
    """A brick that holds one shard; requests on a connection are answered in order."""

    def __init__(self, name: str, cell: int, answer: Answer) -> None:
        self.name = name
        self.cell = cell
        self.address = ""
        self._answer = answer

    async def start(self) -> Brick:
        """Listen."""
        self.address = _address(await asyncio.start_server(self._serve, "127.0.0.1", 0))
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                words = await read_value(reader)
                assert isinstance(words, list)
                await self._answer(self, words, writer)
        writer.close()


class Discovery:
    """A discovery service that answers every call and keeps watches open; its list does not change."""

    def __init__(self) -> None:
        self.address = ""
        self._entries: list[dict[str, Any]] = []

    async def start(self) -> Discovery:
        """Listen."""
        self.address = _address(await asyncio.start_server(self._serve, "127.0.0.1", 0))
        return self

    def add(self, name: str, address: str, cell: int) -> None:
        """Add a brick to the list."""
        entry = {"instanceId": name, "hostPort": address, "zone": "a", "machineType": "m", "cell": cell}
        self._entries.append({**entry, "lifecycle": "SERVING", "weight": 1.0, "startedAtMs": 0})

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            head = await reader.readuntil(b"\r\n\r\n")
            line = json.dumps({"generation": 1, "reset": True, "instances": self._entries}).encode() + b"\n"
            if b"follow=1" in head:
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            else:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(line), line))
            while b"follow=1" in head:
                writer.write(b"%x\r\n%b\r\n" % (len(line), line))
                await writer.drain()
                await asyncio.sleep(HEARTBEAT_S)
                line = b"\n"
        writer.close()
