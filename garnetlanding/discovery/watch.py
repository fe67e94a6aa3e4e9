"""The client of discovery, which follows the endpoint list. After a failure the list in force stays."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from garnetlanding.core.ports import EndpointListing
from garnetlanding.decision.interface import EndpointListFailure, FailureKind
from garnetlanding.discovery.listing import DiscoveryError, ToMonotonic
from garnetlanding.discovery.watch_parser import ReceivedList, WatchDisconnectedError, WatchParser
from garnetlanding.discovery.watch_state import CallDeadline, NextStep, OnFailure, WatchState
from garnetlanding.http.errors import HttpError
from garnetlanding.limits import Limits
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.errors import BufferPoolExhaustedError, DeadlineExceededError, StreamClosedError
from garnetlanding.runtime.scheduler import Scheduler
from garnetlanding.runtime.stream import Stream

log = logging.getLogger(__name__)

CALL_ERRORS = (
    OSError,
    DeadlineExceededError,
    StreamClosedError,
    HttpError,
    DiscoveryError,
    BufferPoolExhaustedError,
)
"""Expected errors of a call; any other exception is a defect."""


@dataclass(frozen=True, slots=True)
class WatchRuntime:
    """The runtime services that a watch uses."""

    scheduler: Scheduler
    pool: BufferPool
    limits: Limits
    to_monotonic: ToMonotonic


@dataclass(frozen=True, slots=True)
class WatchCallbacks:
    """The instance's functions that a watch calls."""

    update_endpoints: Callable[[EndpointListing], None]
    update_failed: Callable[[EndpointListFailure], None]
    """Called when a call to discovery has failed, unless the watch retries it."""
    persist: Callable[[dict[str, Any]], None]
    """Called with each list as discovery sent it, to cache it for a restart."""
    is_pushed: Callable[[], bool] = lambda: False
    """Returns whether lists are pushed, according to the settings in force."""


class Watch:
    """Drives `WatchState` with calls to discovery, one at a time.

    Implements the core's `EndpointSubscription`.
    """

    def __init__(
        self, runtime: WatchRuntime, callbacks: WatchCallbacks, address: str, version: int = 0
    ) -> None:
        """Prepare to follow the list at `address`, HOST:PORT; `version` is that of the list in force."""
        self._scheduler = runtime.scheduler
        self._limits = runtime.limits
        self._runtime = runtime
        self._callbacks = callbacks
        self._address = address
        self._state = WatchState(version)
        self._stream: Stream | None = None  # of the newest call, once it is connected

    @property
    def version(self) -> int:
        """The version of the list in force."""
        return self._state.version

    @property
    def is_synced(self) -> bool:
        """Whether discovery has sent a list since the start."""
        return self._state.is_synced

    def switch_to(self, address: str) -> None:
        """Follow another discovery service from now on; its versions are unrelated to the current ones."""
        self._address = address
        self._state.version = 0
        self.subscribe()

    def keep_open(self) -> None:
        """Follow the list if it is pushed; called at the start, after new settings and when a retry is due.

        After a change to polling, the engine decides when to call discovery.
        """
        match self._state.next_step(is_pushed=self._callbacks.is_pushed()):
            case NextStep.SUBSCRIBE:
                self.subscribe()
            case NextStep.REPORT_FAILURE:
                self._callbacks.update_failed(EndpointListFailure())

    def subscribe(self) -> None:
        """Call discovery now; the new call supersedes the current one."""
        call = self._state.begin_call()
        if self._stream:
            self._stream.close()
        self._scheduler.spawn(lambda: self._follow(call))

    def _follow(self, call: int) -> None:
        limits = self._limits
        answer_us = limits.agent_answer_us if self._callbacks.is_pushed() else limits.discovery_answer_us
        deadline = CallDeadline(self._scheduler.now, answer_us, limits.discovery_silence_us)
        parser = WatchParser(self._runtime.pool, limits, self._runtime.to_monotonic)
        cause = self._run_call(call, parser, deadline)
        if self._state.is_newest(call):
            # The end of a superseded call is not a failure: the newer call follows the list.
            self._call_ended(cause, parser, deadline)

    def _run_call(self, call: int, parser: WatchParser, deadline: CallDeadline) -> Exception:
        """Make one call and read its watch to the end; return the error that ended it."""
        cause: Exception = WatchDisconnectedError()
        stream: Stream | None = None
        try:
            stream = Stream.connect(
                self._scheduler, self._address, self._runtime.pool, self._limits, deadline.expires_at
            )
            # A call that was superseded while it connected is not read: its response would be outdated, or
            # come from another discovery service.
            if self._state.is_newest(call):
                self._stream = stream
                self._read(stream, parser, deadline)
        except CALL_ERRORS as error:
            cause = error
        except Exception as defect:
            # Whatever the defect, the engine must be notified that the list is no longer followed.
            log.exception("watch failed")
            cause = defect
        finally:
            parser.close()
            if stream:
                stream.close()
        return cause

    def _read(self, stream: Stream, parser: WatchParser, deadline: CallDeadline) -> None:
        def feed(data: memoryview) -> None:
            for received in parser.feed(data):
                self._accept(received)

        stream.write(
            b"GET /v1/servers?follow=1&since=%d HTTP/1.1\r\nHost: %s\r\n"
            b"Accept: application/json\r\n\r\n" % (self._state.version, self._address.encode())
        )
        lines = 0
        while stream.read(feed, deadline.expires_at):
            if parser.complete_lines > lines:
                lines = parser.complete_lines
                deadline.line_received(self._scheduler.now)

    def _accept(self, received: ReceivedList) -> None:
        self._state.accept(received)
        self._callbacks.persist(received.raw)
        listing = received.listing
        log.info(
            "endpoint list received",
            extra={
                "kv": {
                    "version": received.version,
                    "entries": len(listing.entries),
                    "complete": listing.complete,
                }
            },
        )
        self._callbacks.update_endpoints(listing)

    def _call_ended(self, cause: Exception, parser: WatchParser, deadline: CallDeadline) -> None:
        self._stream = None
        on_failure = self._state.end_call(is_pushed=self._callbacks.is_pushed())
        if on_failure is not OnFailure.RETRY_AGAIN:
            # In pushed mode, calls that fail until the next list are logged only once.
            log.warning("watch failed", extra={"kv": {"why": _describe(cause)}})
        if on_failure is OnFailure.REPORT:
            self._callbacks.update_failed(self._failure(cause, parser, deadline))
        else:
            retry_at = self._scheduler.now + self._limits.agent_retry_us
            self._scheduler.call_at(retry_at, self.keep_open)

    def _failure(self, cause: Exception, parser: WatchParser, deadline: CallDeadline) -> EndpointListFailure:
        now = self._scheduler.now
        waited_us = now - deadline.started_at
        was_queued = parser.rejected and waited_us >= self._limits.discovery_queued_us
        # A reset or a rejection is detected at once, but a silent discovery only after the time limit.
        was_silent = isinstance(cause, DeadlineExceededError)
        return EndpointListFailure(
            kind=FailureKind.OVERLOADED if was_queued else FailureKind.ERROR,
            missed_updates_for_us=now - deadline.last_received_at if was_silent else 0,
        )


def _describe(cause: Exception) -> str:
    """Describe for the log why a call ended."""
    match cause:
        case DeadlineExceededError():
            return "no data in time"
        case StreamClosedError():
            return "connection closed"
        case BufferPoolExhaustedError():
            return "out of buffers"
        case OSError() | HttpError() | DiscoveryError():
            return str(cause)
    return f"{type(cause).__name__}: {cause}"
