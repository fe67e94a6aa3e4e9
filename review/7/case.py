"""Case 7: large values stop for ever on their way to slow clients, once memory is half used."""

from __future__ import annotations

import asyncio
import random
import socket
import time
from pathlib import Path

from review.standins_3.platform import TROUBLE, Case, Head, main, small_site
from review.standins_3.servers import Brick, Discovery
from review.standins_3.wire import new_id, read_request, served

BRICKS = 4
CLIENTS = 90
RUN_S = 25
VALUE_BYTES = 600_000
LIMITS = {"cores": 1.0, "memory_mb": 64, "sockets": 512}
HELD_BACK_S = 2.05  # the page's 2 s, and 50 ms as for every time limit on sockets
WAIT_S = 6.0
READ_BYTES = 16_384
PAUSE_S = 0.01  # between two reads of a slow client: 0.4 s in all for one value
SEGMENT_BYTES = 1448  # as on Ethernet; the loopback's own would hide a slow client from the head


class Client:
    """A client that asks for large values, one at a time."""

    def __init__(self, case: Case, head: Head, rng: random.Random) -> None:
        self._case = case
        self._head = head
        self._rng = rng

    def _socket(self) -> socket.socket:
        sock = socket.socket()
        sock.setblocking(False)
        if TROUBLE:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        return sock

    async def run(self, until: float) -> None:
        """Ask for values until the time is over or one of them has stopped."""
        loop = asyncio.get_running_loop()
        host, port = self._head.listen.split(":")
        while time.monotonic() < until:
            with self._socket() as sock:
                await loop.sock_connect(sock, (host, int(port)))
                request_id, shard = new_id(), self._rng.randrange(BRICKS)
                piece = f"{self._rng.getrandbits(64):016x}"
                await loop.sock_sendall(sock, read_request(piece, request_id, shard, "bulk-export", 4000))
                await self._receive(sock, request_id)

    async def _receive(self, sock: socket.socket, request_id: str) -> None:
        loop = asyncio.get_running_loop()
        whole = len(b"$%d\r\n\r\n" % VALUE_BYTES) + VALUE_BYTES
        received = 0
        longest_s = 0.0
        while received < whole:
            asked_at = time.monotonic()
            try:
                data = await asyncio.wait_for(loop.sock_recv(sock, READ_BYTES), WAIT_S)
            except TimeoutError:
                self._case.breach(f"{request_id}: nothing for {WAIT_S} s after {received} of {whole} bytes")
                return
            longest_s = max(longest_s, time.monotonic() - asked_at)
            if data.startswith(b"-") and not received:
                self._case.note(f"{request_id} answered {data!r}")
                return
            if not data:
                self._case.note(f"{request_id}: ended after {received} of {whole} bytes")
                return
            received += len(data)
            if TROUBLE:
                await asyncio.sleep(PAUSE_S)
        if longest_s > HELD_BACK_S:
            # The first bytes may take as long as the request; they came long before this wait was over.
            self._case.note(f"{request_id}: waited {longest_s:.2f} s for some bytes")
        self._case.note(f"{request_id}: {received} bytes")


async def play(case: Case) -> None:
    """Read large values, slowly; each client always waits for bytes but for its short pauses."""
    rng = random.Random(7)

    async def answer(brick: Brick, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(rng.uniform(0.02, 0.035))
        case.note(f"{brick.name} ran {words[2].decode()} and gives its value at once")
        writer.write(served(bytes(VALUE_BYTES)))
        await writer.drain()

    discovery = await Discovery().start()
    for cell in range(BRICKS):
        brick = await Brick(f"s-{cell}", cell, answer).start()
        discovery.add(brick.name, brick.address, cell)
    head = Head(case, discovery.address, small_site(BRICKS), LIMITS)
    await head.start()
    until = time.monotonic() + RUN_S
    await asyncio.gather(*(Client(case, head, rng).run(until) for _ in range(CLIENTS)))


if __name__ == "__main__":
    main(Path(__file__).parent, play)
