"""The time since the clients of a run started, by which faults are timed."""

from __future__ import annotations

from garnetlanding.runtime.scheduler import Scheduler

BEFORE_START_US = -1
"""The elapsed time before the clients start; no fault is active then."""


class RunClock:
    """Reads the scheduler's clock relative to `began_us`, which is None until the clients' start is fixed."""

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        self.began_us: int | None = None

    def elapsed_us(self) -> int:
        """Return the microseconds since the clients started; negative before."""
        if self.began_us is None:
            return BEFORE_START_US
        return self._scheduler.now - self.began_us
