"""Follows the list of servers. A watch that breaks or falls silent is a failure; the old list stands."""

from __future__ import annotations

import json
import logging
from collections.abc import Callable
from typing import Any

from garnetlanding.core.ports import EndpointListing
from garnetlanding.discovery.listing import ListError, read_list
from garnetlanding.http.response import HttpError, ResponseParser
from garnetlanding.limits import Limits
from garnetlanding.runtime.buffers import BufferPool, PoolEmpty
from garnetlanding.runtime.scheduler import Expired, Scheduler
from garnetlanding.runtime.stream import Closed, Stream

log = logging.getLogger(__name__)


class WatchMachine:
    """Fed a watch's bytes; tells of each list in it. One JSON object a line, empty lines in between."""

    def __init__(
        self,
        pool: BufferPool,
        limits: Limits,
        to_monotonic: Callable[[int], int],
        tell: Callable[[int, EndpointListing, dict[str, Any]], None],
    ) -> None:
        self._http, self._limits = ResponseParser(pool, limits), limits
        self._to_monotonic, self._tell = to_monotonic, tell
        self._line = b""
        self.lines = 0  # whole ones, also those that say that nothing has changed

    @property
    def rejected(self) -> bool:
        return self._http.status not in (0, 200)

    def feed(self, data: bytes | memoryview) -> None:
        """Raises HttpError or ListError where the watch cannot go on."""
        for piece in self._http.feed(data):
            if self._http.status != 200:
                break
            *lines, self._line = (self._line + piece).split(b"\n")
            for line in lines:
                self._read(line)
                self.lines += 1
            if len(self._line) > self._limits.list_line_bytes:
                raise ListError("line too long")
        if self._http.status not in (0, 200):
            raise HttpError(f"status {self._http.status}")
        if self._http.done:
            raise HttpError(f"watch ended{f', {len(self._line)} bytes into a line' if self._line else ''}")

    def _read(self, line: bytes) -> None:
        if not line.strip():
            return
        try:
            data = json.loads(line)
        except ValueError:
            raise ListError("not JSON") from None
        self._tell(*read_list(data, self._to_monotonic), data)

    def close(self) -> None:
        self._http.close()


class Watch:
    """Implements the core's Subscriptions port: one watch at a time. Where discovery is asked, it is begun
    when the core asks for it, and the core is told when it fails. Where lists are pushed, nobody asks: what
    the agent on this machine holds counts as told, so the watch stands from the start and is taken up again
    by itself."""

    def __init__(
        self,
        scheduler: Scheduler,
        address: str,
        pool: BufferPool,
        limits: Limits,
        to_monotonic: Callable[[int], int],
        listed: Callable[[EndpointListing], None],
        failed: Callable[[bool, int], None],
        keep: Callable[[dict[str, Any]], None],
        version: int,
        pushed: Callable[[], bool] = lambda: False,
    ) -> None:
        """`keep` gets each list as discovery wrote it, to be known after a restart; `pushed` tells whether
        the settings in force say that lists are pushed."""
        self._scheduler, self._address, self._pool, self._limits = scheduler, address, pool, limits
        self._to_monotonic, self._listed, self._failed, self._keep = to_monotonic, listed, failed, keep
        self._version, self._pushed = version, pushed
        self._stream: Stream | None = None
        self._calls = 0
        self._following = False  # a call is out, or its watch stands
        self._failing = False  # where lists are pushed: it has failed, and no list has come since
        self.is_synced = False  # discovery has said something since the start

    def switch_to(self, address: str) -> None:
        """Follows another discovery from now on. What one counted as versions means nothing to the next."""
        self._address, self._version = address, 0
        self.subscribe()

    def keep_open(self) -> None:
        """At the start, after a failure, after new settings: a list that is pushed is followed from now on.
        Where new settings say that it is asked for, the core decides when to."""
        if self._following:
            return
        if self._pushed():
            self.subscribe()
        elif self._failing:
            self._failing = False
            self._failed(False, 0)

    def subscribe(self) -> None:
        self._following = True
        self._calls += 1
        call = self._calls
        if self._stream:
            self._stream.close()
        self._scheduler.spawn(lambda: self._follow(call))

    @property
    def version(self) -> int:
        """Of the list that stands."""
        return self._version

    def _tell(self, version: int, listing: EndpointListing, data: dict[str, Any]) -> None:
        if version < self._version and listing.entries and not listing.complete:
            # Changes of an older list than the one that stands would bring back what is gone. The old list
            # stands, and the next call asks for the whole of it.
            known, self._version = self._version, 0
            raise ListError(f"field generation: {version} after {known}")
        self._version, self.is_synced, self._failing = version, True, False
        self._keep(data)
        log.info(
            "list",
            extra={"kv": {"version": version, "entries": len(listing.entries), "whole": listing.complete}},
        )
        self._listed(listing)

    def _follow(self, call: int) -> None:
        why: object = "ended"
        limits, scheduler = self._limits, self._scheduler
        machine = WatchMachine(self._pool, limits, self._to_monotonic, self._tell)
        stream: Stream | None = None
        # From the call's first moment: one that connects late has less time left, not its time anew.
        began = heard = scheduler.now
        until = began + (limits.agent_answer_us if self._pushed() else limits.discovery_answer_us)
        try:
            stream = Stream.connect(scheduler, self._address, self._pool, limits, until)
            if call != self._calls:
                return  # given up while it connected: what it says is of another time, or another discovery
            self._stream = stream
            stream.write(
                b"GET /v1/servers?follow=1&since=%d HTTP/1.1\r\nHost: %s\r\n"
                b"Accept: application/json\r\n\r\n" % (self._version, self._address.encode())
            )
            lines = 0
            while stream.read(machine.feed, until):
                if machine.lines > lines:
                    # Whole lines alone show that it stands, not a head without a list, nor a line in drips.
                    lines, heard = machine.lines, scheduler.now
                    until = heard + limits.discovery_quiet_us
        except (OSError, Expired, Closed, HttpError, ListError, PoolEmpty) as problem:
            why = problem
        except Exception as defect:
            # Whatever it was, the core must hear that nobody follows the list any more.
            log.exception("watch failed")
            why = defect
        finally:
            machine.close()
            if stream:
                stream.close()
        if call == self._calls:
            # A newer call answers for itself; this one has ended and is told once.
            self._stream, self._following = None, False
            reason = f"{type(why).__name__}: {why}"
            queued = machine.rejected and scheduler.now - began >= limits.discovery_queued_us
            # A reset or an answer tells at once; silence only when it is over.
            unheard = scheduler.now - heard if isinstance(why, Expired) else 0
            if not self._pushed():
                log.warning("watch failed", extra={"kv": {"why": reason}})
                return self._failed(queued, unheard)
            if not self._failing:
                # One line for all the calls that fail until it stands again.
                log.warning("watch failed", extra={"kv": {"why": reason}})
            self._failing = True
            scheduler.call_at(scheduler.now + limits.agent_retry_us, self.keep_open)
