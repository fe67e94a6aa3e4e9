"""Case 9: a new version is started beside the old one, and a class keeps order by key."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import sys
from pathlib import Path

from review.standins_2 import resp
from review.standins_2.bricks import Brick
from review.standins_2.discovery import Discovery
from review.standins_2.platform import (
    Platform,
    config,
    free_address,
    main,
    request_class,
    settings,
    wait_for_pong,
)
from review.standins_2.record import BROKEN, HELD, TROUBLE, Record

PIECE = b"00000000000000a1"
NEW_CONNECTIONS = 8
WORK_S = 0.4
GAP_S = 0.05  # between two requests, which therefore come in this order to whichever process
READY_S = 6.0  # the page's limit
TURN_GAP_US = 200_000

running: list[str] = []
overlaps: list[str] = []


async def serve(brick: Brick, words: list[bytes], writer: asyncio.StreamWriter) -> None:
    """Run a request for some time, and note which others run for the same piece."""
    request = words[2].decode()
    brick.record(f"{brick.name} begins {request} for {words[1].decode()}")
    if running:
        overlaps.append(request)
        brick.record(f"OVERLAP: {request} is begun while {', '.join(running)} runs")
    running.append(request)
    await asyncio.sleep(WORK_S)
    running.remove(request)
    brick.run(words)
    writer.write(resp.served(brick.value_of(words)))


async def says_yes(address: str) -> bool:
    """Ask at the operators' address whether the process takes clients."""
    host, port = address.split(":")
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /-/ready HTTP/1.1\r\nHost: head\r\n\r\n")
        status = await reader.readline()
        writer.close()
        return b" 200 " in status
    return False


async def case(platform: Platform, record: Record) -> int:
    """Write to one piece through the old process and then through new connections."""
    brick = Brick("s-0", 0, record, serve)
    await brick.start()
    discovery = Discovery([brick])
    await discovery.start()
    address, old_ops, new_ops = (free_address() for _ in range(3))
    ordered = request_class("draft-save", 4000, 4000, KeepOrder=True)
    day = settings(1, [ordered])
    day["Rules"]["TurnGapUs"] = TURN_GAP_US
    file = platform.write_config("head.json", config(address, discovery.address, day, ops=old_ops))
    await platform.start_head("old", file)
    await wait_for_pong(address)
    host, port = address.split(":")
    ids = itertools.count(1)

    async def write(connection: tuple[asyncio.StreamReader, asyncio.StreamWriter], via: str) -> None:
        reader, writer = connection
        request = b"%016x" % next(ids)
        fields = b"c=draft-save,t=standard,d=4000,volume=00000000000000b1,units=1,shard=0,hosts=1"
        record(f"client sends {request.decode()} on {via}")
        writer.write(resp.command(b"BLK.WRITE", PIECE, request, fields, b"text"))
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            record(f"{request.decode()} is answered {await resp.read(reader)!r}")

    first = await asyncio.open_connection(host, int(port))
    await write(first, "the first connection")
    if TROUBLE:
        await platform.start_head("new", file, RELAY_OPS=new_ops)
        async with asyncio.timeout(READY_S):
            while not await says_yes(new_ops):
                await asyncio.sleep(0.05)
        record("the new process says yes")
    new = [await asyncio.open_connection(host, int(port)) for _ in range(NEW_CONNECTIONS)]
    tasks = [asyncio.create_task(write(first, "the first connection"))]
    for number, connection in enumerate(new):
        await asyncio.sleep(GAP_S)
        tasks.append(asyncio.create_task(write(connection, f"new connection {number}")))
    await asyncio.gather(*tasks)
    record.say(f"{len(overlaps)} requests were begun while an earlier one for that piece was running")
    return BROKEN if overlaps else HELD


if __name__ == "__main__":
    sys.exit(main(case, Path(__file__).parent))
