"""Stand-in bricks: two cores each, a queue, an answer in the form of the protocol page."""

from __future__ import annotations

import asyncio
import random

from review.standins import resp
from review.standins.record import Record

CORES = 2
WORK_S = {b"segment-read": (0.022, 0.035), b"draft-save": (0.037, 0.060), b"bulk-export": (0.064, 0.100)}
"""Of kilkenny-store, by class: the least and the greatest time that a request's work takes."""


class Brick:
    """A sound brick for one shard; a subclass may change how it answers.

    A request's work takes a time drawn from that of its class, on one of `CORES` cores. The value names
    the piece and the request, so that a client can tell its own from another's.
    """

    def __init__(self, name: str, cell: int, record: Record, seed: int) -> None:
        self.name = name
        self.cell = cell
        self.record = record
        self.random = random.Random(f"{seed} {name}")
        self.address = ""
        self.lifecycle = "SERVING"
        self.begun = 0
        self._cores = asyncio.Semaphore(CORES)
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (words := await resp.read_command(reader)) is not None:
                await self._answer(words, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        if words[0] not in (b"BLK.READ", b"BLK.WRITE"):
            writer.write(b"+OK\r\n" if words[0] in (b"CLIENT", b"SELECT") else b"-ERR\r\n")
            return
        if int(resp.fields(words[3])[b"shard"]) not in (self.cell, -1):
            writer.write(b"-BUSY\r\n")
            return
        self.begun += 1
        self.record.line(f"brick {self.name} begins {words[2].decode()} of piece {words[1].decode()}")
        async with self._cores:
            await asyncio.sleep(self.random.uniform(*WORK_S[resp.fields(words[3])[b"c"]]))
        await self.reply(words, writer)

    async def reply(self, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        """Write the answer to a request."""
        writer.write(
            b"*3\r\n" + resp.bulk(value_of(words[1], words[2])) + resp.bulk(b"used=50") + resp.bulk(None)
        )

    def entry(self) -> dict[str, object]:
        """Return the brick's entry in discovery's list."""
        return {
            "instanceId": self.name,
            "hostPort": self.address,
            "zone": "a",
            "machineType": "dual-core",
            "cell": self.cell,
            "lifecycle": self.lifecycle,
            "weight": 1.0,
            "startedAtMs": 0,
        }


def value_of(piece: bytes, request: bytes) -> bytes:
    """Return the value with which a brick serves a request."""
    return b"piece " + piece + b" for request " + request
