"""Graceful shutdown: what a process owes after SIGTERM, and by when. Its phases know no clock, no socket."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import IntEnum

from garnetlanding.core.engine import RequestEngine
from garnetlanding.limits import Limits
from garnetlanding.runtime.listener import Listener
from garnetlanding.runtime.scheduler import Scheduler

log = logging.getLogger(__name__)


class Phase(IntEnum):
    SERVING = 0  # as before: clients use the connections they have, and new ones still come
    CLOSING = 1  # nothing new is accepted; connections are let go as they come free
    TURNING_AWAY = 2  # whatever is open gets its final answer now
    LEAVING = 3  # what no client has taken by now is cut


@dataclass(frozen=True, slots=True)
class Schedule:
    """When each phase begins at the latest, from SIGTERM on. SIGKILL comes no sooner than the longest
    deadline plus 0.7 s, so a schedule for long ones would be overtaken by it where they are short."""

    serve_us: int
    last_us: int
    leave_us: int
    least_us: int  # new connections may still come until then

    @classmethod
    def of(cls, limits: Limits, longest_deadline_us: int) -> Schedule:
        killed = min(longest_deadline_us, limits.term_deadline_us) + limits.term_kill_us
        leave = killed - limits.term_leave_us
        last = max(limits.term_least_us, min(limits.term_last_us, leave - limits.term_leave_us))
        # Half of the time is for clients that have nobody else to ask, half for what they asked.
        serve = max(limits.term_least_us, min(limits.term_serve_us, last // 2))
        return cls(serve, last, leave, limits.term_least_us)

    def next(self, phase: Phase, age_us: int, connections: int, open_items: int, relieved: bool) -> Phase:
        """The phase after one look. It never goes back. `relieved`: a newer process has taken over, so that
        clients need not wait here."""
        if phase is Phase.SERVING and (
            relieved or age_us >= self.serve_us or age_us >= self.least_us and not connections
        ):
            phase = Phase.CLOSING
        if phase is Phase.CLOSING and age_us >= self.last_us:
            phase = Phase.TURNING_AWAY
        if phase in (Phase.CLOSING, Phase.TURNING_AWAY) and (
            age_us >= self.leave_us or not connections and not open_items
        ):
            phase = Phase.LEAVING
        return phase


class Shutdown:
    """Takes a process through the phases, and then ends its parts, each by itself."""

    def __init__(
        self,
        scheduler: Scheduler,
        limits: Limits,
        core: RequestEngine,
        listeners: Iterable[Listener],
        relieved: Callable[[], bool],
    ) -> None:
        self._scheduler, self._limits, self._core = scheduler, limits, core
        self._listeners, self._relieved = list(listeners), relieved

    def run(self, parts: Iterable[tuple[str, Callable[[], None]]]) -> None:
        """Raises nothing: a part that fails is logged, and those behind it are ended all the same."""
        for name, part in [("clients", self._clients), *parts]:
            try:
                part()
            except Exception:
                log.exception("not ended in an orderly way", extra={"kv": {"part": name}})

    def _clients(self) -> None:
        began, phase = self._scheduler.now, Phase.SERVING
        schedule = Schedule.of(self._limits, max(c.deadline_us for c in self._core.settings.classes.values()))
        try:
            while True:
                connections = sum(map(len, self._listeners))
                phase = schedule.next(
                    phase,
                    self._scheduler.now - began,
                    connections,
                    self._core.open_requests,
                    self._relieved(),
                )
                if phase is Phase.LEAVING:
                    return
                if phase >= Phase.CLOSING:
                    self._close()
                if phase is Phase.TURNING_AWAY:
                    # SIGKILL is near, and would lose whatever it finds unanswered.
                    self._core.abort_all("ending")
                self._scheduler.sleep(self._limits.term_look_us)
        finally:
            for listener in self._listeners:
                listener.stop_accepting()
                listener.cut_all()

    def _close(self) -> None:
        """Idle connections first: their places take those that the kernel has accepted already."""
        for listener in self._listeners:
            listener.close_idle()
            listener.stop_accepting()
