"""Case 6: clients that ask for much at once and go take the head over its memory, and it is killed."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import time
from pathlib import Path

from review.standins_3.platform import TROUBLE, Case, Head, main, small_site
from review.standins_3.servers import Brick, Discovery
from review.standins_3.wire import new_id, read_request, read_value, served

BRICKS = 4
GONE = BRICKS  # the shard whose brick is gone
BAD_CLIENTS = 10
READS = 63  # behind the first: 64 commands at once are what the head takes of a connection
STAY_S = (0.5, 2.5)
SOUND_CLIENTS = 8
SOUND_PAUSE_S = 0.08
RUN_S = 60
MEMORY_MB = 192
LIMITS = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024}
LONG_VALUE = bytes(60_000)
LONG_PIECE = "f" * 16
LOOK_S = 0.02


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / (1 << 20)


class Clients:
    """The bad clients and the sound ones, until `stop` is set."""

    def __init__(self, case: Case, head: Head, rng: random.Random) -> None:
        self._case = case
        self._head = head
        self._rng = rng
        self.stop = asyncio.Event()
        self.visits = 0
        self.answers = 0
        self.lost = 0  # requests of sound clients that were out when their connection ended

    async def ask_much_and_go(self) -> None:
        """Send 64 reads at once, stay for a moment, and go; again and again."""
        while not self.stop.is_set():
            with contextlib.suppress(OSError):
                _, writer = await self._head.connect()
                self.visits += 1
                reads = [read_request("0" * 16, new_id(), GONE, "bulk-export", 4000)]
                for number in range(READS):
                    reads.append(read_request(LONG_PIECE, new_id(), number % BRICKS, "bulk-export", 4000))
                writer.write(b"".join(reads))
                await asyncio.sleep(self._rng.uniform(*STAY_S))
                writer.transport.abort()
            await asyncio.sleep(0.01)

    async def ask_on(self) -> None:
        """Send one read after the other; count what is lost when the head is killed."""
        reader, writer = await self._head.connect()
        while not self.stop.is_set():
            writer.write(read_request("1" * 16, new_id(), self._rng.randrange(BRICKS)))
            try:
                await asyncio.wait_for(read_value(reader), 5)
            except (OSError, asyncio.IncompleteReadError):
                self.lost += 1
                return
            self.answers += 1
            await asyncio.sleep(SOUND_PAUSE_S)
            if reader.at_eof():
                return


async def watch_memory(case: Case, head: Head) -> None:
    """Be the platform, which kills a head over its memory."""
    until = time.monotonic() + RUN_S
    noted = 0.0
    while time.monotonic() < until:
        used = resident_mb(head.process.pid)
        if used > MEMORY_MB:
            head.process.send_signal(signal.SIGKILL)
            case.breach(f"the head used {used:.1f} MB of {MEMORY_MB} and was killed")
            return
        if used > noted + 10:
            noted = used
            case.note(f"the head uses {used:.1f} MB")
        await asyncio.sleep(LOOK_S)


async def play(case: Case) -> None:
    """Watch the head's memory while sound clients are served beside bad ones."""
    rng = random.Random(7)

    async def answer(_: Brick, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(rng.uniform(0.022, 0.035))
        writer.write(served(LONG_VALUE if words[1] == LONG_PIECE.encode() else b"value for " + words[2]))

    discovery = await Discovery().start()
    for cell in range(BRICKS):
        brick = await Brick(f"s-{cell}", cell, answer).start()
        discovery.add(brick.name, brick.address, cell)
    head = Head(case, discovery.address, small_site(BRICKS + 1), LIMITS)
    await head.start()
    clients = Clients(case, head, rng)
    tasks = [asyncio.ensure_future(clients.ask_on()) for _ in range(SOUND_CLIENTS)]
    if TROUBLE:
        tasks += [asyncio.ensure_future(clients.ask_much_and_go()) for _ in range(BAD_CLIENTS)]
    await watch_memory(case, head)
    await asyncio.sleep(0.2)
    clients.stop.set()
    case.note(f"bad clients came {clients.visits} times; sound clients had {clients.answers} answers")
    if clients.lost:
        case.breach(f"{clients.lost} requests of sound clients were lost with it")
    await asyncio.wait(tasks, timeout=6)


if __name__ == "__main__":
    main(Path(__file__).parent, play)
