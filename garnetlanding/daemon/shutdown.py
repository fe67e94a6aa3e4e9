"""Graceful shutdown: what a process still owes its clients after SIGTERM, and by when.

`Schedule` decides the phases without clock or socket; `Shutdown` drives them and then stops the subsystems.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import IntEnum

from garnetlanding.core.engine import RequestEngine
from garnetlanding.daemon.lifecycle import Subsystem
from garnetlanding.limits import Limits
from garnetlanding.runtime.listener import Listener
from garnetlanding.runtime.scheduler import Scheduler

log = logging.getLogger(__name__)


class Phase(IntEnum):
    """How far the shutdown has come; a greater phase never gives way to a smaller one."""

    SERVING = 0  # as before: clients use the connections they have, and new ones are accepted
    DRAINING = 1  # nothing new is accepted; connections are closed as they become idle
    REJECTING = 2  # every open request gets its final answer now
    TERMINATING = 3  # connections that are still open are reset


@dataclass(frozen=True, slots=True)
class Schedule:
    """When each phase begins at the latest, in microseconds since SIGTERM.

    SIGKILL comes no sooner than the longest deadline plus 0.7 s, so a schedule for long deadlines would be
    overtaken by it where they are short.
    """

    draining_us: int
    rejecting_us: int
    terminating_us: int
    accepting_us: int  # new connections may come until then: serving lasts so long even without clients

    @classmethod
    def for_deadline(cls, limits: Limits, longest_deadline_us: int) -> Schedule:
        """Return the schedule for settings whose classes have that longest deadline (in microseconds)."""
        kill_us = min(longest_deadline_us, limits.term_deadline_us) + limits.term_kill_us
        terminating_us = kill_us - limits.term_margin_us
        latest_us = min(limits.term_reject_us, terminating_us - limits.term_margin_us)
        rejecting_us = max(limits.term_accept_us, latest_us)
        # Half of the time is for clients that have nobody else to ask, half for what they asked.
        draining_us = max(limits.term_accept_us, min(limits.term_serve_us, rejecting_us // 2))
        return cls(draining_us, rejecting_us, terminating_us, limits.term_accept_us)

    def next(
        self, phase: Phase, elapsed_us: int, connections: int, open_requests: int, superseded: bool
    ) -> Phase:
        """Return the phase that follows `phase` by now, which may be several further or the same.

        `superseded`: a successor process has taken over, so that clients need not be served here.
        """
        if phase is Phase.SERVING and self._ends_serving(elapsed_us, connections, superseded):
            phase = Phase.DRAINING
        if phase is Phase.DRAINING and elapsed_us >= self.rejecting_us:
            phase = Phase.REJECTING
        if phase in (Phase.DRAINING, Phase.REJECTING):
            drained = not connections and not open_requests
            if drained or elapsed_us >= self.terminating_us:
                phase = Phase.TERMINATING
        return phase

    def _ends_serving(self, elapsed_us: int, connections: int, superseded: bool) -> bool:
        if superseded or elapsed_us >= self.draining_us:
            return True
        return elapsed_us >= self.accepting_us and not connections


class Shutdown:
    """Takes a process through the phases, and then stops its subsystems, each by itself."""

    def __init__(
        self,
        scheduler: Scheduler,
        limits: Limits,
        core: RequestEngine,
        listeners: Iterable[Listener],
        superseded: Callable[[], bool],
    ) -> None:
        """`superseded` is asked at each look whether a successor process has taken over."""
        self._scheduler = scheduler
        self._limits = limits
        self._core = core
        self._listeners = list(listeners)
        self._superseded = superseded

    def run(self, subsystems: Iterable[Subsystem]) -> None:
        """Serve until the last phase, then stop the subsystems in their order.

        Raises nothing: one that fails is logged, and those behind it are stopped all the same.
        """
        self._attempt("clients", self._end_clients)
        for subsystem in subsystems:
            self._attempt(subsystem.name, subsystem.stop)

    @staticmethod
    def _attempt(name: str, stop: Callable[[], None]) -> None:
        try:
            stop()
        except Exception:
            log.exception("subsystem failed to stop", extra={"kv": {"subsystem": name}})

    def _end_clients(self) -> None:
        classes = self._core.settings.classes.values()
        schedule = Schedule.for_deadline(self._limits, max(cls.deadline_us for cls in classes))
        try:
            self._run_phases(schedule)
        finally:
            for listener in self._listeners:
                listener.stop_accepting()
                listener.cut_all()

    def _run_phases(self, schedule: Schedule) -> None:
        began_us = self._scheduler.now
        phase = Phase.SERVING
        while True:
            elapsed_us = self._scheduler.now - began_us
            connections = sum(map(len, self._listeners))
            phase = schedule.next(
                phase, elapsed_us, connections, self._core.open_requests, self._superseded()
            )
            if phase is Phase.TERMINATING:
                return
            if phase >= Phase.DRAINING:
                self._stop_accepting()
            if phase is Phase.REJECTING:
                # SIGKILL is near, and would lose whatever it finds unanswered.
                self._core.abort_all("ending")
            self._scheduler.sleep(self._limits.term_poll_us)

    def _stop_accepting(self) -> None:
        """Idle connections go first: their places take those that the kernel has accepted already."""
        for listener in self._listeners:
            listener.close_idle()
            listener.stop_accepting()
