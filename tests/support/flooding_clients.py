"""Clients that make an instance hold as much as it lets them, each kind in another way."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from garnetlanding.resp import codec
from tests.support.flooded_instance import (
    CHUNK_BYTES,
    DEAD_CELL,
    HOSTILE_CELL,
    LARGE_VALUES_CELL,
    LONGEST_DEADLINE_MS,
    STREAMED_VALUES_CELL,
    FloodedInstance,
    encode_read,
    encode_write,
)

COMMANDS = 64  # that an instance takes of one connection at once
FIRST_VOLUME = 1 << 20
LONG_ARGUMENT = b"x" * (1 << 16)


@dataclass(frozen=True)
class Flood:
    """One kind of flooding client: the bytes that each sends, and whether it reads what comes."""

    name: str
    input_of: Callable[[int, random.Random], Iterator[bytes]]
    reads: bool = True
    repeats: bool = False
    """Whether a client whose connection has ended connects again."""
    stays_s: tuple[float, float] | None = None
    """How long a client stays, at least and at most, before it goes; `None`: until the connection ends."""


def replies_behind_open_request(number: int, _random: random.Random) -> Iterator[bytes]:
    """An open request, and PINGs whose long replies must wait for its answer."""
    yield _dead_read(number, 0)
    for _ in range(COMMANDS - 1):
        yield codec.encode_command([b"PING", LONG_ARGUMENT])


def values_behind_open_request(number: int, _random: random.Random) -> Iterator[bytes]:
    """An open request, and reads whose long values must wait for its answer."""
    yield _dead_read(number, 0)
    for index in range(1, COMMANDS):
        yield encode_read(FIRST_VOLUME + number, index, _id(number, index), LARGE_VALUES_CELL)


def streams_behind_open_request(number: int, _random: random.Random) -> Iterator[bytes]:
    """An open request, and reads whose streamed values must wait for its answer."""
    yield _dead_read(number, 0)
    for index in range(1, COMMANDS):
        yield encode_read(FIRST_VOLUME + number, index, _id(number, index), STREAMED_VALUES_CELL)


def values_of_departing_clients(number: int, generator: random.Random) -> Iterator[bytes]:
    """As `values_behind_open_request`, but its clients go, and come again."""
    yield _dead_read(number, 0)
    for _ in range(1, COMMANDS):
        request = generator.getrandbits(60)  # those of the visit before may still be open
        yield encode_read(FIRST_VOLUME + number, request, request, LARGE_VALUES_CELL)


def incomplete_command(_number: int, _random: random.Random) -> Iterator[bytes]:
    """All but the last argument of a command."""
    yield b"*16\r\n"
    for _ in range(15):
        yield codec.encode_bulk(LONG_ARGUMENT)


def large_open_writes(number: int, _random: random.Random) -> Iterator[bytes]:
    """Writes that no backend takes."""
    for index in range(COMMANDS):
        yield encode_write(
            FIRST_VOLUME + number, index, _id(number, index), DEAD_CELL, LONG_ARGUMENT, LONGEST_DEADLINE_MS
        )


def many_open_reads(number: int, _random: random.Random) -> Iterator[bytes]:
    """Reads that no backend takes, each of another volume."""
    for index in range(COMMANDS):
        yield encode_read(
            FIRST_VOLUME + (number << 10) + index, index, _id(number, index), DEAD_CELL, LONGEST_DEADLINE_MS
        )


def values_that_are_not_read(number: int, _random: random.Random) -> Iterator[bytes]:
    """Reads of long values by a client that does not read."""
    for index in range(COMMANDS):
        yield encode_read(FIRST_VOLUME + number, index, _id(number, index), LARGE_VALUES_CELL)


def echoes_that_are_not_read(_number: int, _random: random.Random) -> Iterator[bytes]:
    """PINGs without end, by a client that does not read."""
    for _ in range(16 * COMMANDS):
        yield codec.encode_command([b"PING", LONG_ARGUMENT])


def reads_of_hostile_backend(number: int, _random: random.Random) -> Iterator[bytes]:
    """Reads from a backend whose replies do not end."""
    for index in range(8):
        yield encode_read(FIRST_VOLUME + number, index, _id(number, index), HOSTILE_CELL, LONGEST_DEADLINE_MS)


def new_volumes(number: int, generator: random.Random) -> Iterator[bytes]:
    """Reads that no backend takes, with little time left, each of a volume that was never seen before."""
    for index in range(COMMANDS):
        volume = generator.getrandbits(62)
        yield encode_read(volume, index, _id(number, index), DEAD_CELL, deadline_ms=1)


DEPARTING_CLIENTS = Flood(
    "values-of-departing-clients", values_of_departing_clients, repeats=True, stays_s=(0.3, 1.0)
)

FLOODS = (
    Flood("replies-behind-open-request", replies_behind_open_request),
    Flood("values-behind-open-request", values_behind_open_request),
    Flood("streams-behind-open-request", streams_behind_open_request),
    DEPARTING_CLIENTS,
    Flood("incomplete-command", incomplete_command, repeats=True),
    Flood("large-open-writes", large_open_writes),
    Flood("many-open-reads", many_open_reads),
    Flood("values-not-read", values_that_are_not_read, reads=False),
    Flood("echoes-not-read", echoes_that_are_not_read, reads=False),
    Flood("hostile-backend", reads_of_hostile_backend),
    Flood("new-volumes", new_volumes, repeats=True),
)


def _dead_read(number: int, index: int) -> bytes:
    return encode_read(FIRST_VOLUME + number, index, _id(number, index), DEAD_CELL, LONGEST_DEADLINE_MS)


def _id(number: int, index: int) -> int:
    return (1 << 60) + (number << 20) + index


class FloodingClient:
    """One connection that sends its input at once and then stays until it is told to end."""

    def __init__(self, number: int, flood: Flood, instance: FloodedInstance) -> None:
        self._number = number
        self._flood = flood
        self._instance = instance
        self._random = random.Random(f"{flood.name} {number}")
        self.connections = 0

    async def run(self, stop: asyncio.Event) -> None:
        """Flood the instance until `stop` is set."""
        while not stop.is_set():
            self.connections += 1
            with contextlib.suppress(OSError):
                await self._flood_once(stop)
            if not self._flood.repeats:
                await stop.wait()
            await asyncio.sleep(0.05)

    async def _flood_once(self, stop: asyncio.Event) -> None:
        reader, writer = await asyncio.open_connection(*self._instance.host_port)
        sending = asyncio.create_task(self._send(writer))
        receiving = asyncio.create_task(self._receive(reader))
        stopping = asyncio.create_task(stop.wait())
        stay_s = self._random.uniform(*self._flood.stays_s) if self._flood.stays_s else None
        try:
            await asyncio.wait({receiving, stopping}, timeout=stay_s, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in (sending, receiving, stopping):
                task.cancel()
            writer.transport.abort()

    async def _send(self, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            for data in self._flood.input_of(self._number, self._random):
                writer.write(data)
                await writer.drain()

    async def _receive(self, reader: asyncio.StreamReader) -> None:
        """Read until the instance ends the connection; return at once then."""
        if not self._flood.reads:
            await asyncio.Event().wait()
        with contextlib.suppress(OSError):
            while await reader.read(CHUNK_BYTES):
                pass
