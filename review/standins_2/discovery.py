"""A stand-in for discovery: the whole list on a call, and a watch with its changes and empty lines."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Iterable

from review.standins_2.bricks import Brick

EMPTY_LINE_S = 2.0


class Discovery:
    """Lists bricks. `publish` sends the entries that have changed to every watch."""

    def __init__(self, bricks: Iterable[Brick]) -> None:
        self.bricks = list(bricks)
        self.address = ""
        self.generation = 1
        self._watches: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen at a free port."""
        self.server = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def listing(self, bricks: Iterable[Brick], *, whole: bool) -> bytes:
        """Return a list, or changes to it, as JSON."""
        entries = [brick.entry() for brick in bricks]
        return json.dumps({"generation": self.generation, "reset": whole, "instances": entries}).encode()

    def publish(self, *changed: Brick) -> None:
        """Make a new version, and tell it on every watch."""
        self.generation += 1
        line = self.listing(changed, whole=False)
        for watch in self._watches:
            self._send_line(watch, line)

    @staticmethod
    def _send_line(writer: asyncio.StreamWriter, line: bytes) -> None:
        writer.write(b"%x\r\n%b\n\r\n" % (len(line) + 1, line))

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            head = await reader.readuntil(b"\r\n\r\n")
            body = self.listing(self.bricks, whole=True)
            if b"follow=1" not in head:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                await writer.drain()
            else:
                await self._watch(writer, body)
        self._watches.discard(writer)
        writer.close()

    async def _watch(self, writer: asyncio.StreamWriter, body: bytes) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._send_line(writer, body)
        self._watches.add(writer)
        while not writer.is_closing():
            await asyncio.sleep(EMPTY_LINE_S)
            self._send_line(writer, b"")
            await writer.drain()
