"""A TCP proxy for the connections between an experiment's processes that stream faults may affect."""

from __future__ import annotations

import socket
import struct
from functools import partial
from types import TracebackType

from garnetlanding.lab.limits import LIMITS
from garnetlanding.lab.run_clock import RunClock
from garnetlanding.lab.stream_faults import StreamFaultModel, StreamLink
from garnetlanding.runtime.scheduler import READ, WRITE, Scheduler
from garnetlanding.runtime.stream import parse_address

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of 0: close sends RST


def _new_socket() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    return sock


class _ProxiedConnection:
    """An accepted connection and the matching connection to the target."""

    def __init__(self, downstream: socket.socket, upstream: socket.socket) -> None:
        self.downstream = downstream
        self.upstream = upstream
        self.open_directions = 2

    def close(self, scheduler: Scheduler, reset: bool) -> None:
        for sock in (self.downstream, self.upstream):
            if sock.fileno() < 0:
                continue
            scheduler.cancel_waits(sock.fileno(), OSError("closed"))
            if reset:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            sock.close()


class StreamProxy:
    """Forwards connections as the stream fault model decides. A context manager that closes its sockets."""

    def __init__(self, scheduler: Scheduler, host: str, clock: RunClock, faults: StreamFaultModel) -> None:
        """Listen on `host`, with one port for each opened link."""
        self._scheduler = scheduler
        self._host = host
        self._clock = clock
        self._faults = faults
        self._listeners: list[socket.socket] = []
        self._connections: dict[StreamLink, set[_ProxiedConnection]] = {}
        self.accepted = 0  # number of connections forwarded so far

    def open_link(self, link: StreamLink, target: str) -> str:
        """Return the address that represents `target` on that link.

        It is the target's own address if no fault targets such links.
        """
        if not self._faults.affects(link.kind):
            return target
        listener = _new_socket()
        listener.bind((self._host, 0))
        listener.listen(LIMITS.backend_connections_max)
        self._listeners.append(listener)
        self._connections[link] = set()
        self._scheduler.spawn(lambda: self._accept_all(link, listener, parse_address(target)))
        return "{}:{}".format(*listener.getsockname())

    def reset(self) -> None:
        """Reset every connection on the links that a fault currently resets."""
        for link, connections in self._connections.items():
            if self._faults.is_reset(link, self._clock.elapsed_us()):
                for connection in list(connections):
                    connection.close(self._scheduler, reset=True)
                connections.clear()

    def _accept_all(self, link: StreamLink, listener: socket.socket, target: tuple[str, int]) -> None:
        while True:
            try:
                self._scheduler.wait(listener.fileno(), READ)
                downstream, _ = listener.accept()
            except BlockingIOError:
                continue
            except OSError:
                return
            downstream.setblocking(False)
            connection = _ProxiedConnection(downstream, _new_socket())
            if self._faults.is_reset(link, self._clock.elapsed_us()):
                connection.close(self._scheduler, reset=True)
                continue
            self.accepted += 1
            self._connections[link].add(connection)
            self._scheduler.spawn(partial(self._connect, link, connection, target))

    def _connect(self, link: StreamLink, connection: _ProxiedConnection, target: tuple[str, int]) -> None:
        """Connect to the target and forward both directions."""
        downstream = connection.downstream
        upstream = connection.upstream
        try:
            upstream.connect_ex(target)
            self._scheduler.wait(upstream.fileno(), WRITE)
            if upstream.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                raise ConnectionRefusedError
        except OSError:
            self._end(link, connection, reset=True)
            return
        self._scheduler.spawn(lambda: self._forward(link, connection, upstream, downstream))
        self._forward(link, connection, downstream, upstream)

    def _forward(
        self, link: StreamLink, connection: _ProxiedConnection, source: socket.socket, sink: socket.socket
    ) -> None:
        """Forward one direction in order, including its end of stream."""
        try:
            while self._forward_once(link, source, sink):
                pass
            sink.shutdown(socket.SHUT_WR)
        except (OSError, ValueError):  # ValueError: closed meanwhile, without a descriptor
            self._end(link, connection, reset=True)
            return
        connection.open_directions -= 1
        if not connection.open_directions:
            self._end(link, connection, reset=False)

    def _forward_once(self, link: StreamLink, source: socket.socket, sink: socket.socket) -> bool:
        """Forward the next bytes received; return False at end of stream."""
        self._scheduler.wait(source.fileno(), READ)
        try:
            data = source.recv(LIMITS.stream_read_bytes)
        except BlockingIOError:
            return True
        schedule = self._faults.forwarding_schedule(link, self._clock.elapsed_us())
        if schedule.hold_us:
            self._scheduler.sleep(schedule.hold_us)
        if not data:
            return False
        piece_bytes = schedule.piece_bytes or len(data)
        for offset in range(0, len(data), piece_bytes):
            self._send(sink, data[offset : offset + piece_bytes])
            if schedule.interval_us:
                self._scheduler.sleep(schedule.interval_us)
        return True

    def _send(self, sink: socket.socket, data: bytes) -> None:
        while data:
            try:
                data = data[sink.send(data) :]
            except BlockingIOError:
                self._scheduler.wait(sink.fileno(), WRITE)

    def _end(self, link: StreamLink, connection: _ProxiedConnection, reset: bool) -> None:
        connection.close(self._scheduler, reset)
        self._connections[link].discard(connection)

    def __enter__(self) -> StreamProxy:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        for listener in self._listeners:
            self._scheduler.cancel_waits(listener.fileno(), OSError("closed"))
            listener.close()
        for connections in self._connections.values():
            for connection in connections:
                connection.close(self._scheduler, reset=True)
