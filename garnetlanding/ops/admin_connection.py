"""The server side of one admin HTTP connection, which carries a single call."""

from __future__ import annotations

import logging
from collections.abc import Callable
from http import HTTPStatus

from garnetlanding.http.errors import HttpError
from garnetlanding.http.request import RequestParser
from garnetlanding.limits import Limits
from garnetlanding.ops.admin_router import AdminResponse, AdminRouter
from garnetlanding.ops.admin_target import AdminTarget
from garnetlanding.ops.errors import DisableRejectedError
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.protocols import discard_bytes

log = logging.getLogger(__name__)

# Not taken from HTTPStatus, whose phrases differ between Python versions.
REASON_PHRASES = {
    HTTPStatus.OK: "OK",
    HTTPStatus.BAD_REQUEST: "Bad Request",
    HTTPStatus.NOT_FOUND: "Not Found",
    HTTPStatus.METHOD_NOT_ALLOWED: "Method Not Allowed",
    HTTPStatus.LENGTH_REQUIRED: "Length Required",
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE: "Content Too Large",
    HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE: "Request Header Fields Too Large",
    HTTPStatus.INTERNAL_SERVER_ERROR: "Internal Server Error",
    HTTPStatus.SERVICE_UNAVAILABLE: "Service Unavailable",
}


class AdminConnection:
    """Reads one request, dispatches it, writes the response and closes (a runtime `ClientProtocol`)."""

    has_buffered_input = False
    has_session_state = False

    def __init__(
        self, target: AdminTarget, pool: BufferPool, limits: Limits, write: Callable[[bytes], None]
    ) -> None:
        self._router = AdminRouter(target, limits.name_bytes)
        self._parser = RequestParser(pool, limits)
        self._write = write
        self.is_closing = False
        self.messages_received = 0
        self.invalid_messages = 0
        self.requests_received = 0
        self.pending_responses = 0

    @property
    def has_partial_message(self) -> bool:
        """Whether part of a request has been received."""
        return self._parser.has_partial_message

    def feed(self, data: bytes | memoryview) -> None:
        """Parse received bytes, and respond once the request is complete; bytes after it are ignored."""
        if self.is_closing:
            return
        response = self._read_and_dispatch(data)
        if response is None:
            return
        self.messages_received = 1
        self.is_closing = True
        self._write(self._encode(response))

    def fail_waiting(self, reason: str) -> None:
        """Do nothing: nothing waits."""

    def fail_pending(self, reason: str) -> None:  # noqa: ARG002 - a call is answered as soon as it is complete
        """Accept no more input; nothing is pending."""
        self.close()

    def close(self) -> None:
        """Abandon the request and release its buffers."""
        self.is_closing = True
        self._parser.close()
        self._write = discard_bytes

    def _read_and_dispatch(self, data: bytes | memoryview) -> AdminResponse | None:
        """Return the response, or None until the request is complete."""
        try:
            if not self._parser.feed(data):
                return None
            self.requests_received = 1
            path = self._parser.target.partition("?")[0]
            return self._router.dispatch(self._parser.method, path)
        except HttpError as error:
            return AdminResponse(error.status, f"{error}\n")
        except DisableRejectedError as error:
            return AdminResponse(HTTPStatus.BAD_REQUEST, f"{error}\n")
        except Exception:
            # Any other failure also gets a response; the log has its cause.
            log.exception("call failed")
            return AdminResponse(HTTPStatus.INTERNAL_SERVER_ERROR, "failed; the head's log has the cause\n")

    def _encode(self, response: AdminResponse) -> bytes:
        body = response.text.encode()
        status = HTTPStatus(response.status)
        allow = ""
        if status is HTTPStatus.METHOD_NOT_ALLOWED:
            allow = "Allow: POST\r\n" if self._parser.method == "GET" else "Allow: GET\r\n"
        head = (
            f"HTTP/1.1 {status.value} {REASON_PHRASES[status]}\r\n"
            "Content-Type: text/plain; charset=utf-8\r\n"
            f"Content-Length: {len(body)}\r\n"
            f"{allow}"
            "Connection: close\r\n\r\n"
        )
        return head.encode() + body
