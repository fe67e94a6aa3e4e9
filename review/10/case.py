"""Case 10: a head is told to end while a client's writes to one file wait for each other."""

from __future__ import annotations

import asyncio
import signal
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

WRITES = 60
WORK_S = 0.05  # of a write at the file server: 60 take 3 s
DEADLINE_S = 4.0  # `change_deadline_ms`
GRACE_S = 0.55  # an answer up to half a second late is not lost; limits on sockets are 50 ms longer
SENT_AFTER_S = 1.2  # after SIGTERM; the connection stays open, as one write is out from before
KILL_AFTER_S = 3.7  # SIGKILL comes so long after SIGTERM at the earliest
FID = 5


async def case(platform: Platform, record: Record) -> int:
    """Send SIGTERM, then writes on the connection that stays open, and wait for their answers."""
    files = ninep.FileServer(record, {"memory": bytes(4096)}, WORK_S)
    await files.start()
    brick = Brick("s-0", 0, record)
    brick.address = files.address
    discovery = Discovery([brick])
    await discovery.start()
    address, files_address = free_address(), free_address()
    head = await platform.start_head(
        "head",
        platform.write_config("head.json", config(address, discovery.address, settings(1))),
        platform.write("head.toml", file_export(files_address, "bulk-export", int(DEADLINE_S * 1000))),
    )
    await wait_for_pong(address)
    client = ninep.Client(record, "client")
    await client.connect(files_address)
    await client.open(FID, "memory", 2)
    if TROUBLE:
        head.send_signal(signal.SIGTERM)
        record("SIGTERM")
    terminated_at = record.now
    await asyncio.sleep(SENT_AFTER_S)
    sent: dict[int, float] = {}
    for tag in range(100, 100 + WRITES):
        sent[tag] = record.now
        client.write(tag, FID, 8 * (tag - 100), b"%08d" % tag)
    await asyncio.sleep(DEADLINE_S + GRACE_S + 0.2)
    lost = [tag for tag, at in sent.items() if client.answered_at.get(tag, 1e9) > at + DEADLINE_S + GRACE_S]
    ended = client.ended_at
    when = "stayed open" if ended is None else f"was ended {ended - terminated_at:.2f} s after SIGTERM"
    record.say(f"{len(lost)} of {WRITES} writes without an answer; the connection {when}")
    if ended is not None and ended - terminated_at > KILL_AFTER_S:
        record.say("it was ended after the earliest SIGKILL")
    return BROKEN if lost else HELD


if __name__ == "__main__":
    sys.exit(main(case, Path(__file__).parent))
