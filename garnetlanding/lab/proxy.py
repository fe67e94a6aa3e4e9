"""The links between heads: each datagram goes through here, and fares as the weather says.

For each pair of heads there are two sockets: one stands for the second towards the first, one for the first
towards the second. So each head sees the other at one address, as `peers` names it.
"""

from __future__ import annotations

import socket

from garnetlanding.lab.lies import lie
from garnetlanding.lab.limits import LIMITS
from garnetlanding.lab.weather import Weather
from garnetlanding.runtime.scheduler import READ, Scheduler


def datagrams(host: str) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.bind((host, 0))
    return sock


class Links:
    def __init__(
        self,
        scheduler: Scheduler,
        host: str,
        weather: Weather,
        reach: list[tuple[str, int]],
        bricks: list[str],
    ) -> None:
        """`reach`: where each head hears others; `bricks`: the names that a lie is about."""
        self._bricks = bricks
        self._scheduler, self._weather, self._reach = scheduler, weather, reach
        self.began: int | None = None  # when the clients did; before, the weather is fair
        heads = range(len(reach))
        self._socks = {(a, b): datagrams(host) for a in heads for b in heads if a != b}
        for pair in self._socks:
            scheduler.spawn(lambda pair=pair: self._carry(*pair))  # type: ignore[misc]

    def peers(self, me: int) -> list[str]:
        """Every head of the tier as head `me` reaches it; itself at its own address."""
        names = []
        for you, own in enumerate(self._reach):
            host, port = own if you == me else self._socks[me, you].getsockname()
            names.append(f"{host}:{port}")
        return names

    def _carry(self, sender: int, receiver: int) -> None:
        sock, back = self._socks[sender, receiver], self._socks[receiver, sender]
        while True:
            self._scheduler.wait(sock.fileno(), READ)
            try:
                data, source = sock.recvfrom(LIMITS.datagram_bytes)
            except OSError:
                continue
            if source != self._reach[sender]:
                continue
            now = -1 if self.began is None else self._scheduler.now - self.began
            if how := self._weather.lies(sender, now):
                data = lie(data, self._bricks, how)
            for delay in self._weather.fate(sender, receiver, now):
                self._scheduler.call_at(
                    self._scheduler.now + delay,
                    lambda data=data: self._pass(back, data, receiver),  # type: ignore[misc]
                )

    def _pass(self, sock: socket.socket, data: bytes, receiver: int) -> None:
        try:
            sock.sendto(data, self._reach[receiver])
        except OSError:
            pass  # a head that is down: as on any network

    def close(self) -> None:
        for sock in self._socks.values():
            self._scheduler.forget(sock.fileno(), OSError("closed"))
            sock.close()
