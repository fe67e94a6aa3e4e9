"""The operators' front: a state machine for one connection, which makes one call. It decides nothing."""

from __future__ import annotations

import logging
import re
from collections.abc import Callable
from typing import Protocol
from urllib.parse import unquote

from garnetlanding.http.errors import HttpError
from garnetlanding.http.request import RequestParser
from garnetlanding.limits import Limits
from garnetlanding.ops.fleet_access import FleetView
from garnetlanding.runtime.buffers import BufferPool

log = logging.getLogger(__name__)

BRICK = re.compile(r"/-/bricks/([^/]+)/(disable|enable)")
HEAD = re.compile(r"/-/fleet/heads/(\d{1,5})/(forget|shut-out|let-in)")
FLEET = {f"/-/fleet/{view.value}": view for view in FleetView}
REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    411: "Length Required",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


class AdminTarget(Protocol):
    """What operators may ask of a head. Its answers are whether it could be done."""

    def ready(self) -> bool: ...

    def metrics(self) -> str: ...

    def disable(self, brick: str) -> bool: ...

    def enable(self, brick: str) -> bool: ...

    def drain(self) -> None: ...

    def resume(self) -> None: ...

    def fleet_view(self, view: FleetView) -> str | None:
        """What is known of the other heads, as JSON; None where heads don't hear each other."""

    def forget_instance(self, head: int) -> bool | None:
        """A head has stopped for good; None where the group of heads is not found by itself."""

    def set_fenced(self, head: int, out: bool) -> bool | None:
        """A head is to act no more, or again; None where operators' words are this head's alone. Raises
        HttpError where too many would be out."""


class AdminConnection:
    """Fed one connection's bytes; answers the call in it and ends."""

    waiting = session = False

    def __init__(
        self, desk: AdminTarget, pool: BufferPool, limits: Limits, write: Callable[[bytes], None]
    ) -> None:
        self._desk, self._write = desk, write
        self._parser = RequestParser(pool, limits)
        self._name_bytes = limits.name_bytes
        self.ended = False
        self.taken = self.bad = self.asked = self.owed = 0

    @property
    def midway(self) -> bool:
        return self._parser.midway

    def feed(self, data: bytes | memoryview) -> None:
        if self.ended:
            return
        try:
            if not self._parser.feed(data):
                return
            self.asked = 1
            status, text = self._call(self._parser.method, self._parser.target.partition("?")[0])
        except HttpError as problem:
            status, text = problem.status, f"{problem}\n"
        except Exception:
            # An operator is owed an answer whatever fails; the log has the cause.
            log.exception("call failed")
            status, text = 500, "failed; the head's log has the cause\n"
        self.taken, self.ended = 1, True
        body = text.encode()
        allow = "Allow: %s\r\n" % ("GET" if self._parser.method != "GET" else "POST") if status == 405 else ""
        self._write(
            f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Type: text/plain; charset=utf-8\r\n"
            f"Content-Length: {len(body)}\r\n{allow}Connection: close\r\n\r\n".encode()
            + body
        )

    def _call(self, method: str, path: str) -> tuple[int, str]:
        desk = self._desk
        if path in ("/-/ready", "/-/metrics"):
            if method != "GET":
                return 405, "only GET\n"
            if path == "/-/metrics":
                return 200, desk.metrics()
            return (200, "ready\n") if desk.ready() else (503, "not ready\n")
        if path in FLEET and (told := desk.fleet_view(FLEET[path])) is not None:
            return (200, told) if method == "GET" else (405, "only GET\n")
        brick, head = BRICK.fullmatch(path), HEAD.fullmatch(path)
        if head and method == "POST":
            number, what = int(head[1]), head[2]
            known = (
                desk.forget_instance(number)
                if what == "forget"
                else desk.set_fenced(number, what == "shut-out")
            )
            if known is not None:
                return (200, f"{what} {number}\n") if known else (404, "no such head\n")
        if not brick and path not in ("/-/drain", "/-/resume"):
            return 404, "no such call\n"
        if method != "POST":
            return 405, "only POST\n"
        if brick:
            return self._brick(unquote(brick[1], errors="replace"), brick[2])
        (desk.drain if path == "/-/drain" else desk.resume)()
        return 200, path[3:] + "\n"

    def _brick(self, name: str, what: str) -> tuple[int, str]:
        if len(name) > self._name_bytes or not (name.isascii() and name.isprintable()) or " " in name:
            return 400, "not a brick's id\n"
        done = self._desk.disable(name) if what == "disable" else self._desk.enable(name)
        return (200, f"{name} {what}d\n") if done else (404, f"no brick {name}\n")

    def close(self) -> None:
        self.ended = True
        self._parser.close()
