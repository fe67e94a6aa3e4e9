"""Case 8: some clients write their commands slowly, beside 190 others that are served."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import sys
from collections import Counter
from pathlib import Path

from review.standins_2 import resp
from review.standins_2.bricks import Brick
from review.standins_2.discovery import Discovery
from review.standins_2.platform import Platform, config, free_address, main, settings, wait_for_pong
from review.standins_2.record import BROKEN, HELD, NOT_RUN, TROUBLE, Record

SHARDS = 9
CLIENTS = 190  # with a connection and a request at a time each; the head has places for 822
PAUSE_S = (1.2, 1.8)  # between an answer and the next request: about 120 requests a second in all
WORK_S = (0.022, 0.06)
SLOW = 12  # clients that write slowly
PIECES = 6
PIECE_S = 0.1  # between two pieces: a command takes half a second
DEADLINE_MS = 2000
GRACE_S = 0.55  # an answer up to half a second late is not lost; limits on sockets are 50 ms longer
RNG = random.Random(6)
IDS = itertools.count(1)

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def serve(brick: Brick, words: list[bytes], writer: asyncio.StreamWriter) -> None:
    """Run a command, and answer it."""
    await asyncio.sleep(RNG.uniform(*WORK_S))
    brick.run(words)
    writer.write(resp.served(brick.value_of(words)))


async def connect(address: str) -> Connection:
    """Open a connection to the head."""
    host, port = address.split(":")
    return await asyncio.open_connection(host, int(port))


async def write_draft(address: str, name: str, record: Record) -> str:
    """Write a draft, once more if its connection ends without an answer; return what became of it."""
    request = b"%016x" % next(IDS)
    fields = b"c=draft-save,t=standard,d=%d,volume=00000000000000ff,units=1,shard=%d,hosts=1"
    words = (
        b"BLK.WRITE",
        b"%016x" % RNG.getrandbits(64),
        request,
        fields % (DEADLINE_MS, RNG.randrange(SHARDS)),
    )
    command = resp.command(*words, b"a draft")
    for attempt in ("first", "new"):
        reader, writer = await connect(address)
        began = record.now
        with contextlib.suppress(ConnectionError):
            step = -(-len(command) // PIECES) if TROUBLE else len(command)
            for at in range(0, len(command), step):
                if at:
                    await asyncio.sleep(PIECE_S)
                writer.write(command[at : at + step])
                await writer.drain()
        record(
            f"{name} has written {request.decode()} on a {attempt} connection in {record.now - began:.2f} s"
        )
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000 + GRACE_S):
                answer = await resp.read(reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            record(
                f"{name}: connection ended without an answer, {record.now - began:.2f} s after the first byte"
            )
            continue
        except TimeoutError:
            record(f"{name}: no answer in time")
            return "unanswered"
        finally:
            writer.close()
        record(f"{name} gets {answer!r}")
        return "refused or failed" if isinstance(answer, resp.Error) else "served"
    record(f"LOST: {request.decode()} of {name}")
    return "lost"


async def case(platform: Platform, record: Record) -> int:
    """Serve many ordinary clients, and let some others write a draft each."""
    bricks = [Brick(f"s-{shard}", shard, record, serve) for shard in range(SHARDS)]
    for brick in bricks:
        await brick.start()
    discovery = Discovery(bricks)
    await discovery.start()
    address = free_address()
    await platform.start_head(
        "head", platform.write_config("head.json", config(address, discovery.address, settings(SHARDS)))
    )
    await wait_for_pong(address)
    ordinary: Counter[str] = Counter()

    async def client(volume: int) -> None:
        reader, writer = await connect(address)
        await asyncio.sleep(RNG.uniform(0, PAUSE_S[1]))
        while True:
            request = b"%016x" % next(IDS)
            fields = b"c=segment-read,t=standard,d=1200,volume=%016x,units=1,shard=%d,hosts=1"
            words = (b"BLK.READ", b"%016x" % volume, request, fields % (volume, RNG.randrange(SHARDS)))
            writer.write(resp.command(*words))
            try:
                answer = await resp.read(reader)
            except (asyncio.IncompleteReadError, ConnectionError):
                ordinary["ended"] += 1
                reader, writer = await connect(address)
                continue
            ordinary["refused or failed" if isinstance(answer, resp.Error) else "served"] += 1
            await asyncio.sleep(RNG.uniform(*PAUSE_S))

    tasks = [asyncio.create_task(client(volume)) for volume in range(1, CLIENTS + 1)]
    await asyncio.sleep(5)
    drafts: Counter[str] = Counter()
    for number in range(SLOW):
        drafts[await write_draft(address, f"slow client {number}", record)] += 1
    for task in tasks:
        task.cancel()
    record.say(f"drafts: {dict(drafts)}; requests of the {CLIENTS} others: {dict(ordinary)}")
    if not ordinary["served"]:
        return NOT_RUN
    return BROKEN if drafts["lost"] or drafts["unanswered"] else HELD


if __name__ == "__main__":
    sys.exit(main(case, Path(__file__).parent))
