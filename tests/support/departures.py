"""Values shared by the tests of departures and shutdown."""

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


class Raw:
    """A client's end as the operating system has it: tells a reset from an end, reads when it wants to."""

    def __init__(self, world: SimulatedInstance, address: str) -> None:
        self.world = world
        self.sock = socket.create_connection(parse_address(address))
        self.sock.setblocking(False)
        world.settle()

    def say(self, data: bytes) -> None:
        self.sock.sendall(data)
        self.world.settle()

    def read(self) -> bytes:
        """All that has come. Raises BlockingIOError where the connection goes on, ConnectionResetError where
        it was reset: only an end says that this is all."""
        got = b""
        while piece := self.sock.recv(1 << 16):
            got += piece
        return got

    def open(self) -> bool:
        try:
            self.read()
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    def fin(self) -> None:
        self.sock.close()

    def abort(self) -> None:
        """Closes with a reset."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()

    def fin_behind_bytes(self) -> None:
        self.sock.sendall(PING * 50)
        self.sock.close()


class Waiting(SimulatedInstance):
    """A head whose only brick is not listed yet: requests wait for their first attempt."""

    def __init__(self, **limits: int) -> None:
        super().__init__(make_settings(parallel_attempts=False, max_attempts=4, instances=1), **limits)
        self.brick = self.server(EmulatedBackend)
        self.listener = self.front()
        self.list()

    def appear(self) -> None:
        self.list(EmulatedEndpoint("b0", self.brick.address, 0), whole=False)


def connect_late(instance: SimulatedInstance, monkeypatch: pytest.MonkeyPatch) -> None:
    """From now on a connection takes 0.2 s to come up."""
    connect = Stream.connect

    def late(_cls: type[Stream], *args: Any) -> Stream:
        instance.scheduler.sleep(200 * MS)
        return connect(*args)

    monkeypatch.setattr(Stream, "connect", classmethod(late))
