"""Logs that connections have been evicted because memory was short, at most once in each interval."""

from __future__ import annotations

import logging

from garnetlanding.runtime.memory import MemoryBudget
from garnetlanding.runtime.scheduler import Scheduler

log = logging.getLogger(__name__)


class EvictionLog:
    """Checks the budget every `interval_us` and logs how many connections were evicted in the meantime."""

    def __init__(self, scheduler: Scheduler, budget: MemoryBudget, interval_us: int) -> None:
        self._scheduler = scheduler
        self._budget = budget
        self._interval_us = interval_us
        self._logged = 0
        self._schedule()

    def _schedule(self) -> None:
        self._scheduler.call_at(self._scheduler.now + self._interval_us, self._check)

    def _check(self) -> None:
        evicted = self._budget.evictions - self._logged
        if evicted:
            self._logged = self._budget.evictions
            log.warning(
                "connections evicted", extra={"kv": {"count": evicted, "held": self._budget.used_bytes}}
            )
        self._schedule()
