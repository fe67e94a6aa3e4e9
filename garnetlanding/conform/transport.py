"""How the suite reaches a server: a plain socket. Tests put simulated transports in its place."""

from __future__ import annotations

import contextlib
import socket
from typing import Protocol

from garnetlanding.runtime.stream import parse_address

READ_BYTES = 65536
MIN_TIMEOUT_S = 0.001  # a socket timeout of zero would mean non-blocking


class Transport(Protocol):
    """A connected byte stream with a blocking read."""

    def send(self, data: bytes) -> None:
        """Send all the bytes; a connection that is closed is noticed by the next `receive`."""

    def receive(self, wait_s: float) -> bytes | None:
        """Return the bytes that arrived, b"" at the end of the stream, None after `wait_s` without any."""

    def close(self) -> None:
        """Close the connection."""


class SocketTransport:
    """A TCP connection. The constructor raises OSError when it cannot connect within `timeout_s`."""

    def __init__(self, address: str, timeout_s: float) -> None:
        self._socket = socket.create_connection(parse_address(address), timeout=timeout_s)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, data: bytes) -> None:
        """Send all the bytes; a failure shows as the end of the stream when a reply is read."""
        with contextlib.suppress(OSError):
            self._socket.sendall(data)

    def receive(self, wait_s: float) -> bytes | None:
        """Return the bytes that arrived, b"" at the end of the stream, None after `wait_s` without any."""
        self._socket.settimeout(max(MIN_TIMEOUT_S, wait_s))
        try:
            return self._socket.recv(READ_BYTES)
        except TimeoutError:
            return None
        except OSError:
            return b""

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()
