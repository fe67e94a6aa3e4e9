"""The bytes of a watch's answer, read into lists: HTTP/1.1, one JSON object a line. No I/O."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any, NamedTuple

from garnetlanding.core.ports import EndpointListing
from garnetlanding.discovery.listing import DiscoveryError, ListError, ToMonotonic, read_list
from garnetlanding.http.response import ResponseParser
from garnetlanding.limits import Limits
from garnetlanding.runtime.buffers import BufferPool

STATUS_UNKNOWN = 0  # of the parser of answers, until the headers are complete
STATUS_OK = 200


class WatchError(DiscoveryError):
    """The watch cannot go on: discovery rejected the call, or has ended the answer."""


class ReceivedList(NamedTuple):
    """One list in a watch."""

    version: int
    listing: EndpointListing
    raw: dict[str, Any]  # as discovery wrote it


class WatchParser:
    """Feed it the bytes of one answer; it yields each list in them.

    An empty line says that nothing has changed. `complete_lines` counts those and the lists, each once its
    list has been taken up: only they show that the watch is alive, not headers without a list nor part of a
    line.
    """

    def __init__(self, pool: BufferPool, limits: Limits, to_monotonic: ToMonotonic) -> None:
        self._http = ResponseParser(pool, limits)
        self._limits = limits
        self._to_monotonic = to_monotonic
        self._partial_line = b""
        self.complete_lines = 0

    @property
    def rejected(self) -> bool:
        """Whether discovery has answered the call with another status than 200."""
        return self._http.status not in (STATUS_UNKNOWN, STATUS_OK)

    def feed(self, data: bytes | memoryview) -> Iterator[ReceivedList]:
        """Yield the lists that `data` completes; the iterator is to be exhausted before the next call.

        Raises HttpError, WatchError or ListError where the watch cannot go on.
        """
        for piece in self._http.feed(data):
            if self._http.status != STATUS_OK:
                break
            yield from self._feed_body(piece)
        if self.rejected:
            raise WatchError(f"status {self._http.status}")
        if self._http.done:
            where = f", {len(self._partial_line)} bytes into a line" if self._partial_line else ""
            raise WatchError(f"watch ended{where}")

    def _feed_body(self, piece: bytes) -> Iterator[ReceivedList]:
        *lines, self._partial_line = (self._partial_line + piece).split(b"\n")
        for line in lines:
            if line.strip():
                yield self._read(line)
            self.complete_lines += 1
        if len(self._partial_line) > self._limits.list_line_bytes:
            raise ListError("line too long")

    def _read(self, line: bytes) -> ReceivedList:
        try:
            raw = json.loads(line)
        except ValueError as error:
            raise ListError("not JSON") from error
        version, listing = read_list(raw, self._to_monotonic)
        return ReceivedList(version, listing, raw)

    def close(self) -> None:
        """Give the buffers back."""
        self._http.close()
