"""Waiting for what a test can observe, with one bound on real time for all tests.

A test never waits for a number of looks or for a span of time that a busy machine may need for itself: it
waits until something observable holds, and only a hang reaches the bound.
"""

from __future__ import annotations

import time
from collections.abc import Callable

LONGEST_WAIT_S = 60.0
"""How long a test waits for one event; reached only by what would never happen, so it may be generous."""

POLL_INTERVAL_S = 0.01
"""Between two looks at what another process does, where nothing announces the change."""


class NeverHappenedError(AssertionError):
    """What a test waited for did not happen within `LONGEST_WAIT_S`."""

    def __init__(self, event: str) -> None:
        super().__init__(f"not within LONGEST_WAIT_S = {LONGEST_WAIT_S:g} s: {event}")
        self.event = event


class EventDeadline:
    """The latest time at which one event may happen; `event` names it in the failure."""

    def __init__(self, event: str) -> None:
        self.event = event
        self._latest = time.monotonic() + LONGEST_WAIT_S

    @property
    def remaining_s(self) -> float:
        """Return how long may still be waited; raises `NeverHappenedError` where that is over."""
        remaining = self._latest - time.monotonic()
        if remaining <= 0:
            raise NeverHappenedError(self.event)
        return remaining


def wait_until(condition: Callable[[], bool], event: str, advance: Callable[[], object]) -> None:
    """Call `advance` until the condition holds; raises `NeverHappenedError` where it never does."""
    deadline = EventDeadline(event)
    while not condition():
        assert deadline.remaining_s
        advance()


def poll_until(condition: Callable[[], bool], event: str) -> None:
    """Wait for a condition that other processes bring about; raises `NeverHappenedError`."""
    wait_until(condition, event, _pause)


def _pause() -> None:
    time.sleep(POLL_INTERVAL_S)
