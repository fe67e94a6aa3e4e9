"""Case 3: answers that wait behind an open request are held without a bound, past the head's memory."""

from __future__ import annotations

import asyncio
import contextlib
import random
import re
import signal
from contextlib import ExitStack
from pathlib import Path

from review.standins import resp
from review.standins.bricks import Brick
from review.standins.discovery import Discovery
from review.standins.platform import MEMORY_MB, Head, kilkenny_settings
from review.standins.record import Record, trouble
from review.standins.run import main

SEED = 47
BRICKS = 9
SOUND_CLIENTS = 8
PAUSE_S = (0.02, 0.08)  # of a sound client between its requests
BAD_CLIENTS = 60
FIRST_BAD_S = 3.0
BETWEEN_BAD_S = 0.02
COMMANDS = 64  # of a bad client, all at once
VALUE_BYTES = 65536  # "a value holds at most 64 KiB"
BAD_DEADLINE_MS = 30_000
DURATION_S = 16.0
CHECK_S = 0.02  # between two looks at the memory


class SoundClient:
    """A client with one connection and one request at a time."""

    def __init__(self, number: int, head: Head, record: Record) -> None:
        self._number = number
        self._head = head
        self._record = record
        self._random = random.Random(f"{SEED} client {number}")
        self.asked = 0
        self.answered = 0
        self.unanswered: str | None = None

    async def run(self, until: float) -> None:
        """Send requests until then, or until the head ends the connection under one."""
        reader, writer = await asyncio.open_connection(*self._head.host_port)
        try:
            while self._record.now < until:
                self.asked += 1
                request = b"%04x%012x" % (self._number, self.asked)
                self.unanswered = request.decode()
                await self._ask(request, reader, writer)
                self.answered += 1
                self.unanswered = None
                await asyncio.sleep(self._random.uniform(*PAUSE_S))
        except (OSError, asyncio.IncompleteReadError):
            self._record.line(f"client {self._number}: the connection ended under {self.unanswered}")
        finally:
            writer.close()

    async def _ask(self, request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        shard = self._random.randrange(BRICKS)
        attributes = b"c=segment-read,t=standard,d=1200,volume=%016x,units=2,shard=%d,hosts=1" % (
            self._number,
            shard,
        )
        writer.write(resp.command(b"BLK.READ", b"%016x" % self._random.getrandbits(64), request, attributes))
        await resp.read_answer(reader)


async def bad_client(number: int, head: Head, record: Record) -> None:
    """Send at once a read of a shard that no brick holds, and PINGs with long arguments; then read on."""
    await asyncio.sleep(FIRST_BAD_S + number * BETWEEN_BAD_S)
    attributes = b"c=bulk-export,t=standard,d=%d,volume=%016x,units=1,shard=%d,hosts=1" % (
        BAD_DEADLINE_MS,
        1000 + number,
        BRICKS,
    )
    request = resp.command(b"BLK.READ", b"%016x" % number, b"ff%014x" % number, attributes)
    ping = resp.command(b"PING", b"x" * VALUE_BYTES)
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection(*head.host_port)
        try:
            record.line(f"bad client {number} sends {COMMANDS} commands at once")
            writer.write(request + ping * (COMMANDS - 1))
            await writer.drain()
            while await reader.read(1 << 16):
                pass
            record.line(f"bad client {number}: the head has ended the connection")
        finally:
            writer.close()


def memory_mb(process: int) -> float | None:
    """Return the resident memory of a process in MB, or None if it has ended."""
    with contextlib.suppress(OSError):
        found = re.search(r"VmRSS:\s+(\d+) kB", Path(f"/proc/{process}/status").read_text())
        return int(found[1]) / 1024 if found else None
    return None


async def hold_to_memory(head: Head, record: Record) -> tuple[float, float | None]:
    """Kill the head once it is over its memory, as the platform does; return its peak and when that was."""
    peak = 0.0
    assert head.process
    while (used := memory_mb(head.process.pid)) is not None and head.is_running():
        if used > peak + 5:
            record.line(f"the head uses {used:.0f} MB")
        peak = max(peak, used)
        if used > MEMORY_MB:
            record.say(f"the head uses {used:.0f} MB of {MEMORY_MB}")
            head.send(signal.SIGKILL)
            return peak, record.now
        await asyncio.sleep(CHECK_S)
    return peak, None


async def scenario(record: Record, started: ExitStack) -> list[str]:
    """Play the case."""
    bricks = [Brick(f"s-{cell}", cell, record, SEED) for cell in range(BRICKS)]
    for brick in bricks:
        await brick.start()
    discovery = Discovery(bricks, record)
    await discovery.start()
    head = Head(record, discovery.address, kilkenny_settings(BRICKS + 1))
    started.callback(head.end)
    await head.start()
    watch = asyncio.create_task(hold_to_memory(head, record))
    clients = [SoundClient(number, head, record) for number in range(SOUND_CLIENTS)]
    bad = [asyncio.create_task(bad_client(n, head, record)) for n in range(BAD_CLIENTS if trouble() else 0)]
    until = record.now + DURATION_S
    await asyncio.gather(*(client.run(until) for client in clients))
    ended = not head.is_running()
    for task in bad:
        task.cancel()
    if not ended:
        head.end()
    peak, killed_at = await watch
    record.say(f"peak of the head's memory: {peak:.0f} MB; limit: {MEMORY_MB} MB")
    asked = sum(client.asked for client in clients)
    record.say(f"sound requests: {asked}, answered: {sum(client.answered for client in clients)}")
    breaches = []
    if killed_at is not None:
        breaches.append(f"the head went over {MEMORY_MB} MB and was killed at {killed_at:.2f} s")
        breaches += [
            f"request {client.unanswered} was lost with it" for client in clients if client.unanswered
        ]
    elif ended:
        breaches.append("the head ended by itself")
    return breaches


if __name__ == "__main__":
    main(scenario)
