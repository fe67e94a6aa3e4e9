"""Case 6: a brick answers some requests a second time, some milliseconds late."""

from __future__ import annotations

import asyncio
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
CLIENTS = 20
SECONDS = 60.0
PAUSE_S = (0.1, 0.25)  # between a client's answer and its next request: about 100 requests a second in all
WORK_S = (0.022, 0.035)  # of `segment-read`
SPOILT = 0.05  # of the answers come a second time
LATE_S = (0.002, 0.010)
RNG = random.Random(6)
spoilt = 0


async def serve(brick: Brick, words: list[bytes], writer: asyncio.StreamWriter) -> None:
    """Serve a request; a connection's next one is begun at once, as a brick does."""
    global spoilt
    await asyncio.sleep(RNG.uniform(*WORK_S))
    brick.run(words)
    answer = resp.served(brick.value_of(words))
    writer.write(answer)
    if TROUBLE and RNG.random() < SPOILT:
        spoilt += 1
        asyncio.get_running_loop().call_later(
            RNG.uniform(*LATE_S), answer_again, brick, words, answer, writer
        )


def answer_again(brick: Brick, words: list[bytes], answer: bytes, writer: asyncio.StreamWriter) -> None:
    """Send the answer to a request a second time."""
    if not writer.is_closing():
        brick.record(f"{brick.name} answers {words[2].decode()} a second time")
        writer.write(answer)


async def case(platform: Platform, record: Record) -> int:
    """Read pieces of which each has a value of its own, and compare."""
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
    ids = itertools.count(1)
    answers: Counter[str] = Counter()
    end = record.now + SECONDS

    async def client(volume: int) -> None:
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        while record.now < end:
            piece, request = b"%016x" % RNG.getrandbits(64), b"%016x" % next(ids)
            shard = (volume + RNG.randrange(2)) % SHARDS
            fields = b"c=segment-read,t=standard,d=1200,volume=%016x,units=2,shard=%d,hosts=1" % (
                volume,
                shard,
            )
            record(f"client sends BLK.READ {piece.decode()} {request.decode()} to shard {shard}")
            writer.write(resp.command(b"BLK.READ", piece, request, fields))
            answer = await resp.read(reader)
            record(f"{request.decode()} is answered {answer!r}")
            if isinstance(answer, resp.Error):
                answers["refused or failed"] += 1
            elif answer == b"value of " + piece:
                answers["right"] += 1
            else:
                answers["wrong"] += 1
                record(f"WRONG: {request.decode()} asked for {piece.decode()}")
            await asyncio.sleep(RNG.uniform(*PAUSE_S))
        writer.close()

    await asyncio.gather(*map(client, range(CLIENTS)))
    record.say(f"{dict(answers)}, {spoilt} second answers")
    if not answers["right"]:
        return NOT_RUN
    return BROKEN if answers["wrong"] else HELD


if __name__ == "__main__":
    sys.exit(main(case, Path(__file__).parent))
