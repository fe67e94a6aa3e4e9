"""Discovery: a list of instances, and watches on it."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

from garnetlanding.emulator.base import Conn, Server
from garnetlanding.runtime.listener import Write


class DiscoveryConn(Conn):
    server: Discovery

    def __init__(self, server: Discovery, write: Write) -> None:
        super().__init__(server, write)
        self._text = b""
        self.following = False

    def feed(self, data: bytes | memoryview) -> None:
        self._text += bytes(data)
        while b"\r\n\r\n" in self._text:
            request, _, self._text = self._text.partition(b"\r\n\r\n")
            self.following = b"follow=1" in request
            self.server.calls.append(request.split(b" ")[1].decode())
            self.server.answer(self)

    def line(self, text: bytes) -> None:
        self.write(b"%x\r\n%b\r\n" % (len(text) + 1, text + b"\n"))


@dataclass
class Box:
    """One instance in the list."""

    name: str
    address: str
    cell: int
    state: str = "SERVING"
    extra: dict[str, Any] = field(default_factory=dict)

    def entry(self) -> dict[str, Any]:
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


class Discovery(Server):
    machine = DiscoveryConn

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.version = 1
        self.boxes: list[Box] = []
        self.calls: list[str] = []
        self.down = False

    def listing(self, boxes: list[Box], whole: bool) -> dict[str, Any]:
        return {"generation": self.version, "reset": whole, "instances": [b.entry() for b in boxes]}

    def answer(self, conn: DiscoveryConn) -> None:
        body = json.dumps(self.listing(self.boxes, True)).encode()
        if self.down:
            conn.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        elif conn.following:
            conn.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            conn.line(body)
        else:
            conn.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

    def tell(self, *boxes: Box) -> None:
        """Tells every watch of the boxes that changed."""
        self.version += 1
        self._say(json.dumps(self.listing(list(boxes), False)).encode())

    def beat(self) -> None:
        """Nothing has changed: an empty line shows that the watch stands."""
        self._say(b"")

    def _say(self, text: bytes) -> None:
        for conn in self.conns:
            if isinstance(conn, DiscoveryConn) and conn.following:
                conn.line(text)
