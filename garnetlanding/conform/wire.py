"""How a suite reaches a server: a plain socket. Tests put other wires in its place."""

from __future__ import annotations

import socket
import time
from typing import Protocol

from garnetlanding.runtime.stream import parse_address

READ_BYTES = 65536


class Wire(Protocol):
    def send(self, data: bytes) -> None: ...

    def receive(self, wait_s: float) -> bytes | None:
        """What has come; empty when the other side has ended; None when nothing came in that time."""

    def close(self) -> None: ...


class SocketWire:
    """Raises OSError when it cannot connect."""

    def __init__(self, address: str, wait_s: float) -> None:
        self._sock = socket.create_connection(parse_address(address), timeout=wait_s)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, data: bytes) -> None:
        try:
            self._sock.sendall(data)
        except OSError:
            pass  # seen as an end when something is awaited

    def receive(self, wait_s: float) -> bytes | None:
        until = time.monotonic() + wait_s
        self._sock.settimeout(max(0.001, until - time.monotonic()))
        try:
            return self._sock.recv(READ_BYTES)
        except TimeoutError:
            return None
        except OSError:
            return b""

    def close(self) -> None:
        self._sock.close()
