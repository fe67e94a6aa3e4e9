"""The phases of a graceful shutdown and when each begins. Pure functions: no clock and no I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from garnetlanding.limits import Limits


class Phase(IntEnum):
    """The phase of a shutdown, which only ever advances."""

    SERVING = 0  # clients use their connections as before, and new ones are accepted
    DRAINING = 1  # no new connections are accepted; connections are closed as they become idle
    REJECTING = 2  # every open request gets its final answer now
    TERMINATING = 3  # connections that are still open are reset


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """When each phase begins at the latest, in microseconds since SIGTERM.

    SIGKILL follows 0.7 s after the longest request deadline at the earliest, so the schedule is derived from
    that deadline. A fixed schedule with enough time for long deadlines would not be complete at SIGKILL when
    the deadlines are short.
    """

    draining_us: int
    rejecting_us: int
    terminating_us: int
    accepting_us: int  # the SERVING phase lasts at least this long, even without clients

    @classmethod
    def for_deadline(cls, limits: Limits, longest_deadline_us: int) -> ShutdownSchedule:
        """Return the schedule for settings whose request classes have this longest deadline."""
        kill_us = min(longest_deadline_us, limits.shutdown_deadline_us) + limits.shutdown_kill_us
        terminating_us = kill_us - limits.shutdown_margin_us
        latest_us = min(limits.shutdown_reject_us, terminating_us - limits.shutdown_margin_us)
        rejecting_us = max(limits.shutdown_accept_us, latest_us)
        # The first half is for clients that know no other instance, the second for requests still open.
        draining_us = max(limits.shutdown_accept_us, min(limits.shutdown_serve_us, rejecting_us // 2))
        return cls(draining_us, rejecting_us, terminating_us, limits.shutdown_accept_us)

    def next_phase(
        self, phase: Phase, elapsed_us: int, connections: int, open_requests: int, *, superseded: bool
    ) -> Phase:
        """Return the current phase, given the last one; it may be several phases later.

        `superseded` is whether a successor process has taken over, so that clients need not be served here.
        """
        if phase is Phase.SERVING and self._ends_serving(elapsed_us, connections, superseded=superseded):
            phase = Phase.DRAINING
        if phase is Phase.DRAINING and elapsed_us >= self.rejecting_us:
            phase = Phase.REJECTING
        if phase in (Phase.DRAINING, Phase.REJECTING):
            drained = not connections and not open_requests
            if drained or elapsed_us >= self.terminating_us:
                phase = Phase.TERMINATING
        return phase

    def _ends_serving(self, elapsed_us: int, connections: int, *, superseded: bool) -> bool:
        if superseded or elapsed_us >= self.draining_us:
            return True
        return elapsed_us >= self.accepting_us and not connections
