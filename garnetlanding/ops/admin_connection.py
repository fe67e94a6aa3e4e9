"""The operators' HTTP front: a state machine for one connection, which carries one call."""

from __future__ import annotations

import logging
from collections.abc import Callable

from garnetlanding.http.errors import HttpError
from garnetlanding.http.request import RequestParser
from garnetlanding.limits import Limits
from garnetlanding.ops.admin_router import AdminResponse, AdminRouter
from garnetlanding.ops.admin_target import AdminTarget
from garnetlanding.ops.errors import DisableRejectedError
from garnetlanding.runtime.buffers import BufferPool

log = logging.getLogger(__name__)

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


class AdminConnection:
    """Reads one request, has it carried out, writes the answer and ends (a ClientMachine of the listener)."""

    waiting = False
    session = False

    def __init__(
        self, target: AdminTarget, pool: BufferPool, limits: Limits, write: Callable[[bytes], None]
    ) -> None:
        self._router = AdminRouter(target, limits.name_bytes)
        self._parser = RequestParser(pool, limits)
        self._write = write
        self.ended = False
        self.taken = 0
        self.bad = 0
        self.asked = 0
        self.owed = 0

    @property
    def midway(self) -> bool:
        """Whether part of a request has come."""
        return self._parser.midway

    def feed(self, data: bytes | memoryview) -> None:
        """Take bytes of the request; answers it once it is complete. What comes after it is ignored."""
        if self.ended:
            return
        response = self._read_and_dispatch(data)
        if response is None:
            return
        self.taken = 1
        self.ended = True
        self._write(self._encode(response))

    def close(self) -> None:
        """Give up the connection and its buffers."""
        self.ended = True
        self._parser.close()

    def _read_and_dispatch(self, data: bytes | memoryview) -> AdminResponse | None:
        """Return the answer, or None until the request is complete."""
        try:
            if not self._parser.feed(data):
                return None
            self.asked = 1
            path = self._parser.target.partition("?")[0]
            return self._router.dispatch(self._parser.method, path)
        except HttpError as problem:
            return AdminResponse(problem.status, f"{problem}\n")
        except DisableRejectedError as problem:
            return AdminResponse(400, f"{problem}\n")
        except Exception:
            # An operator gets an answer whatever fails; the log has the cause.
            log.exception("call failed")
            return AdminResponse(500, "failed; the head's log has the cause\n")

    def _encode(self, response: AdminResponse) -> bytes:
        body = response.text.encode()
        allow = ""
        if response.status == 405:
            allow = "Allow: POST\r\n" if self._parser.method == "GET" else "Allow: GET\r\n"
        head = (
            f"HTTP/1.1 {response.status} {REASONS[response.status]}\r\n"
            "Content-Type: text/plain; charset=utf-8\r\n"
            f"Content-Length: {len(body)}\r\n"
            f"{allow}"
            "Connection: close\r\n\r\n"
        )
        return head.encode() + body
