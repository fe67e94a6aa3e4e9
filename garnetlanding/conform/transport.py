"""Transports that connect the suite to a server: a TCP socket, which tests replace by a simulated one."""

from __future__ import annotations

import contextlib
import socket
from typing import Protocol

from garnetlanding.runtime.stream import parse_address

RECEIVE_BYTES = 65536
MIN_TIMEOUT_S = 0.001  # a socket timeout of zero would mean non-blocking


class Transport(Protocol):
    """A connected byte stream with a blocking read."""

    def send(self, data: bytes) -> None:
        """Send all the bytes; a closed connection is reported by the next `receive`."""

    def receive(self, wait_s: float) -> bytes | None:
        """Return the bytes that arrived, b"" at the end of the stream, None if `wait_s` pass without any."""

    def close(self) -> None:
        """Close the connection."""


class SocketTransport:
    """A TCP connection. The constructor raises OSError when it cannot connect within `timeout_s`."""

    def __init__(self, address: str, timeout_s: float) -> None:
        self._socket = socket.create_connection(parse_address(address), timeout=timeout_s)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, data: bytes) -> None:
        """Send all the bytes; a failure is reported by the next `receive` as the end of the stream."""
        with contextlib.suppress(OSError):
            self._socket.sendall(data)

    def receive(self, wait_s: float) -> bytes | None:
        """Return the bytes that arrived, b"" at the end of the stream, None if `wait_s` pass without any."""
        self._socket.settimeout(max(MIN_TIMEOUT_S, wait_s))
        try:
            return self._socket.recv(RECEIVE_BYTES)
        except TimeoutError:
            return None
        except OSError:
            return b""

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()
