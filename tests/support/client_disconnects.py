"""A client on a plain socket and an instance without backends, for tests of disconnects and shutdown."""

from __future__ import annotations

import socket
import struct
from typing import Any

import pytest

from garnetlanding.emulator.backend import EmulatedBackend
from garnetlanding.emulator.discovery import EmulatedEndpoint
from garnetlanding.resp import codec
from garnetlanding.runtime.stream import Stream, parse_address
from tests.support.clock import MS
from tests.support.decision_bench import make_settings
from tests.support.simulated_instance import SimulatedInstance

PING = codec.encode_command([b"PING"])
QUIT = codec.encode_command([b"QUIT"])


class RawClient:
    """A client on a plain socket, which can tell a reset from an orderly close and reads only on request."""

    def __init__(self, instance: SimulatedInstance, address: str) -> None:
        self.instance = instance
        self.sock = socket.create_connection(parse_address(address))
        self.sock.setblocking(False)
        instance.settle()

    def send_bytes(self, data: bytes) -> None:
        self.sock.sendall(data)
        self.instance.settle()

    def read(self) -> bytes:
        """Return all data up to the end of the stream.

        Raises BlockingIOError if the connection is still open, ConnectionResetError if it was reset.
        """
        received = b""
        while data := self.sock.recv(1 << 16):
            received += data
        return received

    def close(self) -> None:
        self.sock.close()

    def abort(self) -> None:
        """Close the connection with a reset."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()

    def close_after_data(self) -> None:
        self.sock.sendall(PING * 50)
        self.sock.close()


class InstanceWithoutBackends(SimulatedInstance):
    """An instance whose only backend is not in the endpoint list yet: requests wait for it."""

    def __init__(self, **limits: int) -> None:
        super().__init__(make_settings(parallel_attempts=False, max_attempts=4, instances=1), **limits)
        self.backend = self.server(EmulatedBackend)
        self.listener = self.start_resp_listener()
        self.list_endpoints()

    def list_backend(self) -> None:
        self.list_endpoints(EmulatedEndpoint("b0", self.backend.address, 0), complete=False)


def delay_connects(instance: SimulatedInstance, monkeypatch: pytest.MonkeyPatch) -> None:
    """Make every connect from now on take 200 ms."""
    connect = Stream.connect

    def connect_after_delay(_cls: type[Stream], *args: Any) -> Stream:
        instance.scheduler.sleep(200 * MS)
        return connect(*args)

    monkeypatch.setattr(Stream, "connect", classmethod(connect_after_delay))
