"""Stand-in discovery: the whole list, and watches that stay open, with an empty line every 2 s."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Sequence

from review.standins.bricks import Brick
from review.standins.record import Record

HEARTBEAT_S = 2.0


class Discovery:
    """Tells the list of bricks to those that ask or watch."""

    def __init__(self, bricks: Sequence[Brick], record: Record) -> None:
        self._bricks = bricks
        self._record = record
        self._watches: set[asyncio.StreamWriter] = set()
        self.generation = 41
        self.address = ""
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        self._tasks.add(asyncio.create_task(self._send_heartbeats()))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            head = await reader.readuntil(b"\r\n\r\n")
            body = self.listing(self._bricks, complete=True)
            if b"follow=1" not in head:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                return
            self._record.line("discovery opens a watch and tells the whole list")
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + _chunk(body + b"\n"))
            self._watches.add(writer)
            await reader.read()
        self._watches.discard(writer)
        writer.close()

    def listing(self, bricks: Sequence[Brick], *, complete: bool) -> bytes:
        """Return a list, or changes to it, as one line of JSON."""
        instances = [brick.entry() for brick in bricks]
        return json.dumps({"generation": self.generation, "reset": complete, "instances": instances}).encode()

    def tell(self, *bricks: Brick) -> None:
        """Tell a change of these bricks to all watches."""
        self.generation += 1
        self._send(self.listing(bricks, complete=False) + b"\n")

    def _send(self, line: bytes) -> None:
        for writer in self._watches:
            writer.write(_chunk(line))

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self._send(b"\n")


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)
