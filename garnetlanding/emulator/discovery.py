"""An emulated discovery: an HTTP server with an endpoint list and watches on it."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

from garnetlanding.emulator.base import EmulatedConnection, EmulatedServer
from garnetlanding.runtime.protocols import Write

END_OF_HEADERS = b"\r\n\r\n"


class DiscoveryConnection(EmulatedConnection):
    """A connection that requests the list and may then watch it."""

    server: Discovery

    def __init__(self, server: Discovery, write: Write) -> None:
        super().__init__(server, write)
        self._buffer = b""
        self.is_watching = False

    def feed(self, data: bytes | memoryview) -> None:
        """Answer every request that these bytes complete."""
        self._buffer += bytes(data)
        while END_OF_HEADERS in self._buffer:
            request, _, self._buffer = self._buffer.partition(END_OF_HEADERS)
            self.is_watching = b"follow=1" in request
            self.server.calls.append(request.split(b" ")[1].decode())
            self.server.answer(self)

    def send_line(self, text: bytes) -> None:
        """Send one line of a watch as an HTTP chunk."""
        self.write(b"%x\r\n%b\r\n" % (len(text) + 1, text + b"\n"))


@dataclass
class EmulatedEndpoint:
    """An entry of the endpoint list: one backend."""

    name: str
    address: str
    cell: int
    state: str = "SERVING"
    extra: dict[str, Any] = field(default_factory=dict)  # fields to add to the entry or replace in it

    def entry(self) -> dict[str, Any]:
        """Return the entry as discovery sends it."""
        return {
            "instanceId": self.name,
            "hostPort": self.address,
            "zone": "a",
            "machineType": "emulated",
            "cell": self.cell,
            "lifecycle": self.state,
            "weight": 1.0,
            "startedAtMs": 0,
            **self.extra,
        }


class Discovery(EmulatedServer):
    """An emulated discovery. Tests set its list in `endpoints` and publish changes."""

    connection_class = DiscoveryConnection

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.generation = 1
        self.endpoints: list[EmulatedEndpoint] = []
        self.calls: list[str] = []  # the path of every request
        self.is_down = False  # every request is answered with 503

    def listing(self, endpoints: list[EmulatedEndpoint], complete: bool) -> dict[str, Any]:
        """Return the body of a complete list or of an incremental change."""
        return {
            "generation": self.generation,
            "reset": complete,
            "instances": [endpoint.entry() for endpoint in endpoints],
        }

    def answer(self, connection: DiscoveryConnection) -> None:
        """Send the complete list; on a watch, as its first line."""
        body = json.dumps(self.listing(self.endpoints, True)).encode()
        if self.is_down:
            connection.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        elif connection.is_watching:
            connection.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            connection.send_line(body)
        else:
            connection.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

    def publish(self, *endpoints: EmulatedEndpoint) -> None:
        """Send the changed endpoints to every watch."""
        self.generation += 1
        self._send_to_watching(json.dumps(self.listing(list(endpoints), False)).encode())

    def send_heartbeat(self) -> None:
        """Send an empty line to every watch, to show that the connection is alive."""
        self._send_to_watching(b"")

    def _send_to_watching(self, text: bytes) -> None:
        for connection in self.connections:
            if isinstance(connection, DiscoveryConnection) and connection.is_watching:
                connection.send_line(text)
