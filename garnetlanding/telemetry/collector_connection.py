"""The HTTP/1.1 connection to a collector: one POST and its response at a time, without retries."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

from garnetlanding.http.errors import HttpError
from garnetlanding.http.response import ResponseParser
from garnetlanding.limits import Limits
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.errors import BufferPoolExhaustedError, DeadlineExceededError, StreamClosedError
from garnetlanding.runtime.scheduler import Scheduler
from garnetlanding.runtime.stream import Stream
from garnetlanding.telemetry.setup import TelemetrySetup

POST_ERRORS = (OSError, DeadlineExceededError, StreamClosedError, HttpError, BufferPoolExhaustedError)
"""The errors of a POST without a response."""

_RESPONSE_RESET = "connection reset before the end of the response"
_RESPONSE_TOO_LONG = "response too long"


@dataclass(frozen=True, slots=True)
class CollectorResponse:
    """A collector's response; the names of headers are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def is_success(self) -> bool:
        """Whether the status is in the 2xx range."""
        return HTTPStatus.OK <= self.status < HTTPStatus.MULTIPLE_CHOICES


class CollectorConnection:
    """Connects when a request is posted, and keeps the connection for the next one.

    After a failed `post`, call `close`.
    """

    def __init__(self, scheduler: Scheduler, setup: TelemetrySetup, pool: BufferPool, limits: Limits) -> None:
        self._scheduler = scheduler
        self._setup = setup
        self._pool = pool
        self._limits = limits
        self._stream: Stream | None = None

    def post(self, path: str, body: bytes) -> CollectorResponse:
        """Send one request and read its response, in the running task. Raises POST_ERRORS."""
        deadline = self._scheduler.now + self._limits.telemetry_answer_us
        stream = self._connect(deadline)
        parser = ResponseParser(self._pool, self._limits)
        received: list[bytes] = []
        try:
            stream.write(self._request_head(path, len(body)) + body)
            self._read_response(stream, parser, received, deadline)
        finally:
            parser.close()
        if parser.headers.get("connection", "").lower() == "close":
            self.close()
        return CollectorResponse(parser.status, parser.headers, b"".join(received))

    def close(self) -> None:
        """Close the connection if it is open."""
        if self._stream is not None:
            self._stream.close()
        self._stream = None

    def _read_response(
        self, stream: Stream, parser: ResponseParser, received: list[bytes], deadline: int
    ) -> None:
        while not parser.done:
            if not stream.read(lambda data: received.extend(parser.feed(data)), deadline):
                if stream.read_failed:
                    raise HttpError(_RESPONSE_RESET)
                parser.feed_eof()
                self.close()
            if sum(map(len, received)) > self._limits.http_line_bytes:
                raise HttpError(_RESPONSE_TOO_LONG)

    def _request_head(self, path: str, length: int) -> bytes:
        header_lines = [
            f"POST {self._setup.path}{path} HTTP/1.1",
            f"Host: {self._setup.address}",
            "Content-Type: application/json",
            f"Content-Length: {length}",
            "",
            "",
        ]
        return "\r\n".join(header_lines).encode()

    def _connect(self, deadline: int) -> Stream:
        """Return the open connection, or a new one."""
        if self._stream is None or self._stream.closed:
            self._stream = Stream.connect(
                self._scheduler, self._setup.address, self._pool, self._limits, deadline
            )
        return self._stream
