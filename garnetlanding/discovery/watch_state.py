"""The state machine of a watch of the endpoint list. No I/O."""

from __future__ import annotations

from enum import Enum, auto

from garnetlanding.discovery.listing import StaleChangesError
from garnetlanding.discovery.watch_parser import ReceivedList


class NextStep(Enum):
    """What the driver has to do next to keep following the endpoint list."""

    NOTHING = auto()
    SUBSCRIBE = auto()
    REPORT_FAILURE = auto()


class OnFailure(Enum):
    """What the driver has to do when the newest call has ended."""

    REPORT = auto()  # report it to the engine, which decides when to call again
    RETRY = auto()  # call again without the engine; the first failure since the last list
    RETRY_AGAIN = auto()  # likewise; an earlier failure since the last list has been logged


class WatchState:
    """The version of the endpoint list in force, and whether a call is following it.

    There are two modes, set by the settings in force. Polled: the engine requests each call, and each failure
    is reported to it. Pushed: an agent on this machine receives every list without delay, so the driver keeps
    the watch open and retries failed calls; the engine is notified of a failure only if the mode changes
    before the next list.

    States, by `is_following`: idle, until `begin_call`; following, while the newest call connects or its
    watch is open, until `end_call`. A newer call supersedes the one before it, whose end then has no effect.
    In pushed mode `has_unreported_failure` is set from a failure until the next list.
    """

    def __init__(self, version: int) -> None:
        self.version = version
        self.is_synced = False  # whether discovery has sent a list since the start
        self.is_following = False
        self.has_unreported_failure = False
        self._newest_call = 0

    def begin_call(self) -> int:
        """Start following the list with a new call; return its number."""
        self.is_following = True
        self._newest_call += 1
        return self._newest_call

    def is_newest(self, call: int) -> bool:
        """Return whether no later call has superseded this one."""
        return call == self._newest_call

    def next_step(self, *, is_pushed: bool) -> NextStep:
        """Return what to do at the start, when a retry is due, or after new settings."""
        if self.is_following:
            return NextStep.NOTHING
        if is_pushed:
            return NextStep.SUBSCRIBE
        if self.has_unreported_failure:
            self.has_unreported_failure = False
            return NextStep.REPORT_FAILURE
        return NextStep.NOTHING

    def accept(self, received: ReceivedList) -> None:
        """Put a received list, or the list that results from received changes, in force.

        Raises StaleChangesError for changes to an older list, which could restore backends that have
        terminated. The list in force stays, and the next call requests a complete one.
        """
        version, listing, _ = received
        if version < self.version and listing.entries and not listing.complete:
            version_in_force = self.version
            self.version = 0
            raise StaleChangesError(version, version_in_force)
        self.version = version
        self.is_synced = True
        self.has_unreported_failure = False

    def end_call(self, *, is_pushed: bool) -> OnFailure:
        """Record the end of the newest call, which is a failure whatever its cause; return what to do."""
        self.is_following = False
        if not is_pushed:
            return OnFailure.REPORT
        if self.has_unreported_failure:
            return OnFailure.RETRY_AGAIN
        self.has_unreported_failure = True
        return OnFailure.RETRY


class CallDeadline:
    """When a call to discovery times out, in microseconds on the monotonic clock.

    The first complete line is due `answer_us` after the start of the call, which includes connecting. From
    each complete line on, the next one is due within `silence_us`.
    """

    def __init__(self, now: int, answer_us: int, silence_us: int) -> None:
        self.started_at = now
        self.last_received_at = now
        self.expires_at = now + answer_us
        self._silence_us = silence_us

    def line_received(self, now: int) -> None:
        """Extend the deadline after a complete line."""
        self.last_received_at = now
        self.expires_at = now + self._silence_us
