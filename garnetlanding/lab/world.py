"""What stands round the heads of an experiment: a discovery for each, and bricks that work at a rate."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from garnetlanding.emulator.base import Conn
from garnetlanding.emulator.brick import Brick, BrickConn
from garnetlanding.emulator.discovery import Box, Discovery
from garnetlanding.lab.limits import LIMITS
from garnetlanding.limits import SECOND, Limits
from garnetlanding.resp import codec as resp
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.listener import Listener, Write
from garnetlanding.runtime.scheduler import Scheduler


class LabBrick(Brick):
    """Serves in turn, at a rate; says back the piece's name, so that a client knows its own answer."""

    def __init__(self, *args: Any, note: Callable[..., None], number: int, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._note, self.number = note, number
        self.silent = False
        self._free_at = 0
        self._most = 0  # connections at once, so far

    def _make(self, write: Write) -> Conn:
        conn = super()._make(write)
        if len(self.conns) > self._most:
            self._most = len(self.conns)
            self._note("open", brick=self.number, count=self._most)
        return conn

    def command(self, words: list[bytes], conn: BrickConn) -> None:
        if words[0].upper() != b"BLK.READ" or len(words) != 4:
            conn.write(b"-SYNTAX\r\n")
            return
        pairs = dict(pair.partition(b"=")[::2] for pair in words[3].split(b","))
        self._note("ran", id=words[2].decode(), brick=self.number, volume=pairs[b"volume"].decode())
        if self.silent:
            return
        units = float(pairs[b"units"])
        self._free_at = max(self._free_at, self.scheduler.now) + int(units / LIMITS.brick_units_s * SECOND)
        answer = b"*3\r\n" + resp.bulk(words[1]) + b"$-1\r\n$-1\r\n"
        self.scheduler.call_at(self._free_at, lambda: None if conn.ended else conn.write(answer))

    def fall(self) -> None:
        """Refuses connections from now on; the list goes on naming it."""
        self.listener.stop_accepting()
        self.drop()

    def rise(self) -> None:
        self.listener = Listener(
            self.scheduler, self.address, self.pool, self.limits, LIMITS.backend_conns, self._make
        )


class Surroundings:
    def __init__(
        self,
        scheduler: Scheduler,
        host: str,
        heads: int,
        bricks: int,
        note: Callable[..., None],
        reach: Callable[[int, int, str], str],
    ) -> None:
        """`reach`: the address at which a head reaches a brick of that number and address."""
        limits = Limits()
        pool = BufferPool(limits.buffer_bytes, limits.pool_free_max, limits.pool_max)
        self.bricks = [
            LabBrick(scheduler, pool, limits, f"{host}:0", note=note, number=i) for i in range(bricks)
        ]
        self.discoveries = [Discovery(scheduler, pool, limits, f"{host}:0") for _ in range(heads)]
        self.spare = Discovery(scheduler, pool, limits, f"{host}:0")  # to which a head may be moved
        for head, discovery in enumerate(self.discoveries):
            discovery.boxes = [
                Box(f"b{b.number}", reach(head, b.number, b.address), b.number) for b in self.bricks
            ]
        self.spare.boxes = [Box(f"b{b.number}", b.address, b.number) for b in self.bricks]
        self._scheduler = scheduler
        scheduler.spawn(self._beat)

    def started(self, brick: LabBrick) -> None:
        """It comes back as a new process: the list tells when that began, and it is cold."""
        brick.rise()
        for discovery in [*self.discoveries, self.spare]:
            box = discovery.boxes[brick.number]
            box.extra = {"startedAtMs": time.time_ns() // 1_000_000}
            discovery.tell(box)

    def _beat(self) -> None:
        while True:
            self._scheduler.sleep(LIMITS.beat_us)
            for discovery in [*self.discoveries, self.spare]:
                discovery.beat()
