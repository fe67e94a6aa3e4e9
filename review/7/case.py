"""Case 7: the writer of the store is killed while a client has many writes to one file outstanding."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from review.standins_2 import ninep
from review.standins_2.bricks import Brick
from review.standins_2.discovery import Discovery
from review.standins_2.platform import (
    Platform,
    config,
    file_export,
    free_address,
    main,
    settings,
    wait_for_pong,
)
from review.standins_2.record import BROKEN, HELD, TROUBLE, Record

WRITES = 127  # at once, from one client; an instance takes 128
WORK_S = 0.06  # of a write at the file server
DEADLINE_S = 4.0  # `change_deadline_ms`
GRACE_S = 0.55  # an answer up to half a second late is not lost; limits on sockets are 50 ms longer
CURRENT_S = 1  # a follower that cannot show for so long that its settings are current sends nothing
FID = 5


def unanswered(client: ninep.Client, sent: dict[int, float], record: Record) -> list[int]:
    """Return the tags without an answer in time."""
    late = [tag for tag, at in sent.items() if client.answered_at.get(tag, 1e9) > at + DEADLINE_S + GRACE_S]
    for tag in late:
        record(f"NO ANSWER in {DEADLINE_S + GRACE_S:.2f} s to {client.name}'s write with tag {tag}")
    return late


async def case(platform: Platform, record: Record) -> int:
    """Send writes, kill the writer of the store, start it again, and write once more."""
    files = ninep.FileServer(record, {"memory": bytes(4096)}, WORK_S)
    await files.start()
    brick = Brick("s-0", 0, record)
    brick.address = files.address
    discovery = Discovery([brick])
    await discovery.start()
    writer_address, address, files_address, store_address = (free_address() for _ in range(4))
    store = f'[store]\nwriter = "n0"\naddress = "{store_address}"\n'
    writer_config = platform.write_config("n0.json", config(writer_address, discovery.address, settings(1)))
    writer_operator = platform.write("n0.toml", f'{store}role = "writer"\n')
    follower_config = platform.write_config(
        "n1.json", config(address, discovery.address, settings(1), name="n1")
    )
    follower_operator = platform.write(
        "n1.toml",
        f'{store}role = "follower"\ncurrent_s = {CURRENT_S}\n'
        + file_export(files_address, "bulk-export", int(DEADLINE_S * 1000)),
    )
    writer = await platform.start_head("n0", writer_config, writer_operator)
    await wait_for_pong(writer_address)
    await platform.start_head("n1", follower_config, follower_operator)
    await wait_for_pong(address)
    await asyncio.sleep(2)  # the follower has heard of its writer

    client = ninep.Client(record, "client")
    await client.connect(files_address)
    await client.open(FID, "memory", 2)
    if TROUBLE:
        writer.kill()
        await writer.wait()
        record("SIGKILL to the writer, n0")
    await asyncio.sleep(0.5)
    sent: dict[int, float] = {}
    for tag in range(100, 100 + WRITES):
        sent[tag] = record.now
        client.write(tag, FID, 8 * (tag - 100), b"%08d" % tag)
    await asyncio.sleep(DEADLINE_S + GRACE_S + 0.2)
    lost = unanswered(client, sent, record)

    if TROUBLE:
        await platform.start_head("n0", writer_config, writer_operator)
        await wait_for_pong(writer_address)
        record("the writer answers PING again")
    await asyncio.sleep(4)
    again = {300: record.now}
    client.write(300, FID, 0, b"once more")
    await asyncio.sleep(DEADLINE_S + GRACE_S + 0.2)
    lost_again = unanswered(client, again, record)
    record.say(
        f"{len(lost)} of {WRITES} writes without an answer; after the writer's return "
        f"{len(lost_again)} of 1 write to that file"
    )
    return BROKEN if lost or lost_again else HELD


if __name__ == "__main__":
    sys.exit(main(case, Path(__file__).parent))
