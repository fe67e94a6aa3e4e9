"""The streams between processes of an experiment: each goes through here, and fares as `Streams` says."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable

from garnetlanding.lab.limits import LIMITS
from garnetlanding.lab.streams import Link, Streams
from garnetlanding.runtime.scheduler import READ, WRITE, Scheduler
from garnetlanding.runtime.stream import parse_address

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: no time to say goodbye


class Pair:
    """One connection and its continuation."""

    def __init__(self, one: socket.socket, other: socket.socket) -> None:
        self.socks = (one, other)
        self.open = 2  # directions

    def close(self, scheduler: Scheduler, reset: bool) -> None:
        for sock in self.socks:
            if sock.fileno() < 0:
                continue
            scheduler.forget(sock.fileno(), OSError("closed"))
            if reset:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            sock.close()


class TcpLinks:
    def __init__(self, scheduler: Scheduler, streams: Streams, clock: Callable[[], int]) -> None:
        """`clock`: microseconds since the clients began, negative before."""
        self._scheduler, self._streams, self._clock = scheduler, streams, clock
        self._listeners: list[socket.socket] = []
        self._pairs: dict[Link, set[Pair]] = {}
        self.passed = 0  # connections

    def place(self, link: Link, host: str, target: str) -> str:
        """The address that stands for `target` on that link: its own where no fault is about such links."""
        if not self._streams.named(link.kind):
            return target
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.bind((host, 0))
        sock.listen(LIMITS.backend_conns)
        self._listeners.append(sock)
        self._pairs[link] = set()
        self._scheduler.spawn(lambda: self._accept(link, sock, parse_address(target)))
        return "{}:{}".format(*sock.getsockname())

    def reset(self) -> None:
        """Every connection on a link that is being reset by now."""
        for link, pairs in self._pairs.items():
            if self._streams.refuses(link, self._clock()):
                for pair in list(pairs):
                    pair.close(self._scheduler, True)
                pairs.clear()

    def _accept(self, link: Link, listener: socket.socket, target: tuple[str, int]) -> None:
        while True:
            try:
                self._scheduler.wait(listener.fileno(), READ)
                one, _ = listener.accept()
            except BlockingIOError:
                continue
            except OSError:
                return
            one.setblocking(False)
            other = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            other.setblocking(False)
            pair = Pair(one, other)
            if self._streams.refuses(link, self._clock()):
                pair.close(self._scheduler, True)
                continue
            self.passed += 1
            self._pairs[link].add(pair)
            self._scheduler.spawn(lambda pair=pair: self._begin(link, pair, target))  # type: ignore[misc]

    def _begin(self, link: Link, pair: Pair, target: tuple[str, int]) -> None:
        one, other = pair.socks
        try:
            other.connect_ex(target)
            self._scheduler.wait(other.fileno(), WRITE)
            if other.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                raise ConnectionRefusedError
        except OSError:
            return self._end(link, pair, True)
        self._scheduler.spawn(lambda: self._pump(link, pair, other, one))
        self._pump(link, pair, one, other)

    def _end(self, link: Link, pair: Pair, reset: bool) -> None:
        pair.close(self._scheduler, reset)
        self._pairs[link].discard(pair)

    def _pump(self, link: Link, pair: Pair, source: socket.socket, sink: socket.socket) -> None:
        """One direction, in order; its end is passed on once all before it has been."""
        try:
            while True:
                self._scheduler.wait(source.fileno(), READ)
                try:
                    data = source.recv(LIMITS.stream_bytes)
                except BlockingIOError:
                    continue
                passage = self._streams.passage(link, self._clock())
                if passage.hold_us:
                    self._scheduler.sleep(passage.hold_us)
                if not data:
                    break
                step = passage.piece or len(data)
                for at in range(0, len(data), step):
                    self._send(sink, data[at : at + step])
                    if passage.apart_us:
                        self._scheduler.sleep(passage.apart_us)
            sink.shutdown(socket.SHUT_WR)
        except (OSError, ValueError):  # closed meanwhile: it has no descriptor any more
            return self._end(link, pair, True)
        pair.open -= 1
        if not pair.open:
            self._end(link, pair, False)

    def _send(self, sink: socket.socket, data: bytes) -> None:
        while data:
            try:
                data = data[sink.send(data) :]
            except BlockingIOError:
                self._scheduler.wait(sink.fileno(), WRITE)

    def close(self) -> None:
        for sock in self._listeners:
            self._scheduler.forget(sock.fileno(), OSError("closed"))
            sock.close()
        for pairs in self._pairs.values():
            for pair in pairs:
                pair.close(self._scheduler, True)
