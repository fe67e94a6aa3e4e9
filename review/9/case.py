"""Case 9: a brick breaks off in a long value, and other requests follow on the client's connection."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from review.standins_2 import resp
from review.standins_2.bricks import Brick
from review.standins_2.discovery import Discovery
from review.standins_2.platform import Platform, config, free_address, main, settings, wait_for_pong
from review.standins_2.record import BROKEN, HELD, TROUBLE, Record

LONG = b"00000000000000f0"  # a piece with a long value
LONG_BYTES = 1 << 20
SENT_BYTES = 300_000  # of it, before the brick dies
SHORT = [b"%016x" % number for number in range(1, 5)]
WORK_S = 0.03
DEADLINE_S = 1.2
GRACE_S = 0.55  # an answer up to half a second late is not lost; limits on sockets are 50 ms longer


async def serve(brick: Brick, words: list[bytes], writer: asyncio.StreamWriter) -> None:
    """Serve a read; the brick of the long piece dies in the middle of its answer."""
    await asyncio.sleep(WORK_S)
    brick.run(words)
    if words[1] != LONG:
        writer.write(resp.served(brick.value_of(words)))
        return
    answer = resp.served(b"v" * LONG_BYTES)
    if not TROUBLE:
        writer.write(answer)
        return
    writer.write(answer[:SENT_BYTES])
    await writer.drain()
    await asyncio.sleep(0.05)
    brick.record(f"{brick.name} dies")
    writer.transport.abort()
    raise ConnectionResetError


async def case(platform: Platform, record: Record) -> int:
    """Send a read of a long value and four of short ones, from other bricks, on one connection."""
    bricks = [Brick(f"s-{shard}", shard, record, serve) for shard in range(3)]
    for brick in bricks:
        await brick.start()
    discovery = Discovery(bricks)
    await discovery.start()
    address = free_address()
    await platform.start_head(
        "head", platform.write_config("head.json", config(address, discovery.address, settings(3)))
    )
    await wait_for_pong(address)
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port), limit=4 << 20)
    pieces = [LONG, *SHORT]
    for number, piece in enumerate(pieces):
        shard = 0 if piece == LONG else 1 + number % 2
        fields = b"c=segment-read,t=standard,d=1200,volume=00000000000000a%d,units=1,shard=%d,hosts=1"
        record(f"client sends BLK.READ {piece.decode()} to shard {shard}")
        writer.write(resp.command(b"BLK.READ", piece, b"%016x" % number, fields % (number, shard)))
    answered = 0
    try:
        async with asyncio.timeout(DEADLINE_S + GRACE_S):
            for piece in pieces:
                answer = await resp.read(reader)
                record(f"{piece.decode()} is answered {answer[:40]!r}, {len(answer)} bytes")
                answered += 1
    except (TimeoutError, asyncio.IncompleteReadError, ConnectionError) as end:
        record(f"no whole answer to {pieces[answered].decode()}: {end!r:.90}")
    # The value that was cut short has failed, and is excused.
    excused = 1 if answered == 0 and TROUBLE else 0
    lost = len(pieces) - answered - excused
    record.say(f"{answered} of {len(pieces)} requests answered, {lost} behind the long value lost")
    return BROKEN if lost else HELD


if __name__ == "__main__":
    sys.exit(main(case, Path(__file__).parent))
