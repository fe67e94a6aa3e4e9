"""What a watch of the endpoint list does next, as a state machine without I/O."""

from __future__ import annotations

from enum import Enum, auto

from garnetlanding.discovery.listing import ListError
from garnetlanding.discovery.watch_parser import ReceivedList


class NextStep(Enum):
    """What the driver is to do about a list that nobody may be following."""

    NOTHING = auto()
    SUBSCRIBE = auto()
    REPORT_FAILURE = auto()


class OnFailure(Enum):
    """What the driver is to do when the newest call has ended."""

    REPORT = auto()  # to the engine, which decides when to call again
    RETRY = auto()  # by itself: this is the first failure since a list came
    RETRY_AGAIN = auto()  # as well, and the failure has been logged before


class WatchState:
    """The version of the list in force, and whether anybody follows it.

    There are two modes, by the settings in force. Polled: the engine asks for each call, and each failure is
    reported to it. Pushed: what the agent on this machine has counts as notified, so the watch is kept open
    by itself, failed calls are repeated, and the engine learns of failures only if the mode changes
    meanwhile.

    States, by `is_following`: idle, until `begin_call`; following, while the newest call is on its way or its
    watch stands, until `end_call`. A newer call supersedes the one before it, whose end then changes nothing.
    Beside these, `has_unreported_failure` is set in pushed mode from a failure to the next list.
    """

    def __init__(self, version: int) -> None:
        self.version = version
        self.is_synced = False  # discovery has sent a list since the start
        self.is_following = False
        self.has_unreported_failure = False
        self._newest_call = 0

    def begin_call(self) -> int:
        """Begin to follow; return the call's number."""
        self.is_following = True
        self._newest_call += 1
        return self._newest_call

    def is_newest(self, call: int) -> bool:
        """Whether no later call has superseded this one."""
        return call == self._newest_call

    def next_step(self, is_pushed: bool) -> NextStep:
        """Return what to do at the start, when a retry is due, and after new settings."""
        if self.is_following:
            return NextStep.NOTHING
        if is_pushed:
            return NextStep.SUBSCRIBE
        if self.has_unreported_failure:
            self.has_unreported_failure = False
            return NextStep.REPORT_FAILURE
        return NextStep.NOTHING

    def take_up(self, received: ReceivedList) -> None:
        """Let a received list be the one in force.

        Raises ListError for changes of an older list than that: they would bring back what is gone. The old
        list stands, and the next call asks for the complete one.
        """
        version, listing, _ = received
        if version < self.version and listing.entries and not listing.complete:
            newer = self.version
            self.version = 0
            raise ListError(f"{version} after {newer}", "generation")
        self.version = version
        self.is_synced = True
        self.has_unreported_failure = False

    def end_call(self, is_pushed: bool) -> OnFailure:
        """Note that the newest call has ended, for whatever cause: every end is a failure."""
        self.is_following = False
        if not is_pushed:
            return OnFailure.REPORT
        if self.has_unreported_failure:
            return OnFailure.RETRY_AGAIN
        self.has_unreported_failure = True
        return OnFailure.RETRY


class CallDeadline:
    """When a call counts as unresponsive; times are microseconds on the monotonic clock.

    Its first answer is due `answer_us` after the call's first moment, so a call that connects late has less
    time left, not its time anew. From each complete line on, the next one is due within `quiet_us`.
    """

    def __init__(self, now: int, answer_us: int, quiet_us: int) -> None:
        self.began_at = now
        self.last_received_at = now
        self.until = now + answer_us
        self._quiet_us = quiet_us

    def line_received(self, now: int) -> None:
        """Note that a complete line has come."""
        self.last_received_at = now
        self.until = now + self._quiet_us
