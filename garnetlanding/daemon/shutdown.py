"""Graceful shutdown after SIGTERM: finishes clients' requests, then stops the subsystems.

`shutdown_schedule` decides the phases; `Shutdown` carries them out.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable

from garnetlanding.core.engine import RequestEngine
from garnetlanding.daemon.lifecycle import Subsystem
from garnetlanding.daemon.shutdown_schedule import Phase, ShutdownSchedule
from garnetlanding.limits import Limits
from garnetlanding.runtime.listener import Listener
from garnetlanding.runtime.scheduler import Scheduler

log = logging.getLogger(__name__)

SHUTDOWN_REASON = "ending"
"""What the clients are told of requests that the shutdown ends."""


class Shutdown:
    """Runs the phases of a shutdown, then stops every subsystem, even after one has failed to stop.

    `is_superseded` returns whether a successor process has taken over; it is called at each poll.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        limits: Limits,
        core: RequestEngine,
        listeners: Iterable[Listener],
        is_superseded: Callable[[], bool],
    ) -> None:
        self._scheduler = scheduler
        self._limits = limits
        self._core = core
        self._listeners = list(listeners)
        self._is_superseded = is_superseded

    def run(self, subsystems: Iterable[Subsystem]) -> None:
        """Finish the clients' requests, then stop the subsystems in the order given.

        Raises nothing: a failure to stop is logged, and the remaining subsystems are still stopped.
        """
        self._stop_and_log_failure("clients", self._finish_clients)
        for subsystem in subsystems:
            self._stop_and_log_failure(subsystem.name, subsystem.stop)

    @staticmethod
    def _stop_and_log_failure(name: str, stop: Callable[[], None]) -> None:
        try:
            stop()
        except Exception:
            log.exception("subsystem failed to stop", extra={"kv": {"subsystem": name}})

    def _finish_clients(self) -> None:
        classes = self._core.settings.classes.values()
        longest_deadline_us = max(request_class.deadline_us for request_class in classes)
        try:
            self._run_phases(ShutdownSchedule.for_deadline(self._limits, longest_deadline_us))
        finally:
            for listener in self._listeners:
                listener.stop_accepting()
                listener.abort_all()

    def _run_phases(self, schedule: ShutdownSchedule) -> None:
        started_us = self._scheduler.now
        phase = Phase.SERVING
        while True:
            phase = schedule.next_phase(
                phase,
                self._scheduler.now - started_us,
                sum(map(len, self._listeners)),
                self._core.open_requests,
                superseded=self._is_superseded(),
            )
            if phase is Phase.TERMINATING:
                return
            if phase >= Phase.DRAINING:
                self._stop_accepting()
            if phase is Phase.REJECTING:
                # SIGKILL follows soon, and a request without an answer by then would never get one.
                self._fail_all_requests()
            self._scheduler.sleep(self._limits.shutdown_poll_us)

    def _fail_all_requests(self) -> None:
        """Answer all open requests with an error; first those that wait, so that they are never sent."""
        for listener in self._listeners:
            listener.fail_waiting(SHUTDOWN_REASON)
        self._core.abort_all(SHUTDOWN_REASON)

    def _stop_accepting(self) -> None:
        """Close idle connections, then stop accepting.

        In this order, since connections already in the kernel's accept queue take the places of idle ones.
        """
        for listener in self._listeners:
            listener.close_idle()
            listener.stop_accepting()
