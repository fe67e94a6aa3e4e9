"""The fake clock of a simulated fleet: steps in the order of their time, then of their scheduling."""

from __future__ import annotations

import heapq
from collections.abc import Callable

Step = Callable[[], None]


class EventQueue:
    """The time, in microseconds, and the steps that are due at later times."""

    def __init__(self) -> None:
        self.now = 0
        self._steps: list[tuple[int, int, Step]] = []
        self._last_number = 0

    def next_number(self) -> int:
        """Return a number that is given out once, and is greater than those before it."""
        self._last_number += 1
        return self._last_number

    def schedule(self, at_us: int, step: Step) -> None:
        """Run the step at that time, after those scheduled before for the same time."""
        heapq.heappush(self._steps, (at_us, self.next_number(), step))

    def run_until(self, end_us: int) -> None:
        """Run every step that is due by then, also those that steps schedule."""
        while self._steps and self._steps[0][0] <= end_us:
            self.now, _, step = heapq.heappop(self._steps)
            step()
