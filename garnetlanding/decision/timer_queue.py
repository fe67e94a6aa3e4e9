"""Timers of a state machine without a clock of its own."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any


def _do_nothing(_: object) -> None:
    """Do nothing: the callback of an obsolete timer."""


class TimerQueue:
    """A queue of callbacks by due time, and the time of the wake-up that is set for the first of them.

    Times are integer microseconds. Callbacks due at the same time run in the order of their scheduling.
    """

    __slots__ = ("_max_obsolete", "_scheduled", "_timers", "_wake_at")

    def __init__(self, max_obsolete: int) -> None:
        """`max_obsolete` limits the number of timers that do nothing but set wake-ups."""
        self._max_obsolete = max_obsolete
        self._timers: list[tuple[int, int, Callable[[Any], None], Any]] = []
        self._scheduled = 0  # number of timers ever scheduled
        self._wake_at: int | None = None

    def schedule(self, when: int, callback: Callable[[Any], None], argument: Any) -> None:
        """Call `callback(argument)` in the first `run_due` at or after that time."""
        self._scheduled += 1
        heapq.heappush(self._timers, (when, self._scheduled, callback, argument))

    def __len__(self) -> int:
        return len(self._timers)

    def release(self, is_obsolete: Callable[[Any], bool]) -> None:
        """Drop the references of timers to obsolete arguments: these timers do nothing.

        Their wake-ups stay, so that the times of calls do not depend on this, unless there are very many.
        """
        self._timers = [
            (when, number, _do_nothing, None) if is_obsolete(argument) else (when, number, callback, argument)
            for when, number, callback, argument in self._timers
        ]
        if sum(timer[2] is _do_nothing for timer in self._timers) > self._max_obsolete:
            self._timers = [timer for timer in self._timers if timer[2] is not _do_nothing]
            heapq.heapify(self._timers)

    def run_due(self, now: int) -> None:
        """Run all callbacks that are due, including those scheduled by other callbacks."""
        while self._timers and self._timers[0][0] <= now:
            _, _, callback, argument = heapq.heappop(self._timers)
            callback(argument)

    def next_wake_up(self, now: int) -> int | None:
        """Return the delay of the wake-up to set, in microseconds; None if an earlier one is still set.

        The caller sets the wake-up that is returned; it counts as set from now on.
        """
        if self._wake_at is not None and self._wake_at <= now:
            self._wake_at = None
        if not self._timers:
            return None
        first = self._timers[0][0]
        if self._wake_at is not None and self._wake_at <= first:
            return None
        self._wake_at = max(first, now + 1)
        return self._wake_at - now
