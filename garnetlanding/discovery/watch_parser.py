"""Parse the response to a watch, HTTP/1.1 with one JSON object on each line, into endpoint lists. No I/O."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any, NamedTuple

from garnetlanding.core.ports import EndpointListing
from garnetlanding.discovery.listing import (
    DiscoveryError,
    ListDefect,
    ListFormatError,
    ToMonotonic,
    read_list,
)
from garnetlanding.http.response import ResponseParser
from garnetlanding.limits import Limits
from garnetlanding.runtime.buffers import BufferPool

STATUS_UNKNOWN = 0  # until the headers are complete
STATUS_OK = 200


class WatchError(DiscoveryError):
    """Base class of errors that end a watch."""


class WatchRejectedError(WatchError):
    """Discovery has rejected the call with this HTTP status."""

    def __init__(self, status: int) -> None:
        super().__init__(f"status {status}")
        self.status = status


class WatchEndedError(WatchError):
    """Discovery has ended its response, `partial_line_bytes` into a line that is not complete."""

    def __init__(self, partial_line_bytes: int) -> None:
        where = f", {partial_line_bytes} bytes into a line" if partial_line_bytes else ""
        super().__init__(f"watch ended{where}")
        self.partial_line_bytes = partial_line_bytes


class WatchDisconnectedError(WatchError):
    """Discovery has closed the connection before the end of its response."""

    def __init__(self) -> None:
        super().__init__("connection closed before the response ended")


class ReceivedList(NamedTuple):
    """One endpoint list, or changes to it, received in a watch."""

    version: int
    listing: EndpointListing
    raw: dict[str, Any]  # the JSON as discovery sent it


class WatchParser:
    """Yields the endpoint lists in the bytes of one response.

    An empty line is a heartbeat. `complete_lines` counts heartbeats and lists, a list once the caller has
    processed it. Only complete lines prove that the watch is alive; headers or partial lines do not.
    """

    def __init__(self, pool: BufferPool, limits: Limits, to_monotonic: ToMonotonic) -> None:
        self._http = ResponseParser(pool, limits)
        self._limits = limits
        self._to_monotonic = to_monotonic
        self._partial_line = b""
        self.complete_lines = 0

    @property
    def rejected(self) -> bool:
        """Whether discovery has answered the call with a status other than 200."""
        return self._http.status not in (STATUS_UNKNOWN, STATUS_OK)

    def feed(self, data: bytes | memoryview) -> Iterator[ReceivedList]:
        """Yield the lists that `data` completes; exhaust the iterator before the next call.

        Raises HttpError, WatchError or ListError if the watch cannot continue.
        """
        for piece in self._http.feed(data):
            if self._http.status != STATUS_OK:
                break
            yield from self._feed_body(piece)
        if self.rejected:
            raise WatchRejectedError(self._http.status)
        if self._http.done:
            raise WatchEndedError(len(self._partial_line))

    def _feed_body(self, piece: bytes) -> Iterator[ReceivedList]:
        *lines, self._partial_line = (self._partial_line + piece).split(b"\n")
        for line in lines:
            if line.strip():
                yield self._read(line)
            self.complete_lines += 1
        if len(self._partial_line) > self._limits.list_line_bytes:
            raise ListFormatError(ListDefect.LINE_TOO_LONG)

    def _read(self, line: bytes) -> ReceivedList:
        try:
            raw = json.loads(line)
        except ValueError as error:
            raise ListFormatError(ListDefect.NOT_JSON) from error
        version, listing = read_list(raw, self._to_monotonic)
        return ReceivedList(version, listing, raw)

    def close(self) -> None:
        """Return the buffers to the pool."""
        self._http.close()
