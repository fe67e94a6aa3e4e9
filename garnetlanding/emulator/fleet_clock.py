"""The event queue of a simulated fleet, ordered by time and then by order of scheduling."""

from __future__ import annotations

import heapq
from collections.abc import Callable

Callback = Callable[[], None]


class EventQueue:
    """The simulated time, in microseconds, and the callbacks that are due later."""

    def __init__(self) -> None:
        self.now = 0
        self._callbacks: list[tuple[int, int, Callback]] = []
        self._last_number = 0

    def next_number(self) -> int:
        """Return the next of a strictly increasing sequence of numbers."""
        self._last_number += 1
        return self._last_number

    def schedule(self, at_us: int, callback: Callback) -> None:
        """Run the callback at that time, after those scheduled earlier for the same time."""
        heapq.heappush(self._callbacks, (at_us, self.next_number(), callback))

    def run_until(self, end_us: int) -> None:
        """Run every callback that is due by then, including those scheduled meanwhile."""
        while self._callbacks and self._callbacks[0][0] <= end_us:
            self.now, _, callback = heapq.heappop(self._callbacks)
            callback()
