"""Waiting for observable conditions, with one timeout in real time for all tests.

A test never waits for a number of polls or for a fixed time, which a busy machine may exceed: it waits until
a condition holds, and only a hang reaches the timeout.
"""

from __future__ import annotations

import time
from collections.abc import Callable

MAX_WAIT_S = 60.0
"""Timeout of the wait for one event; generous, because only an event that never happens reaches it."""

POLL_INTERVAL_S = 0.01
"""Interval between polls of another process's state, which is not signalled."""


class WaitTimeoutError(AssertionError):
    """The event that a test waited for did not happen within `MAX_WAIT_S`."""

    def __init__(self, event: str) -> None:
        super().__init__(f"not within MAX_WAIT_S = {MAX_WAIT_S:g} s: {event}")
        self.event = event


class EventDeadline:
    """The deadline of the wait for one event; `event` describes the event in the error message."""

    def __init__(self, event: str) -> None:
        self.event = event
        self._expires_at = time.monotonic() + MAX_WAIT_S

    @property
    def remaining_s(self) -> float:
        """The time until the deadline; raises `WaitTimeoutError` once it has passed."""
        remaining = self._expires_at - time.monotonic()
        if remaining <= 0:
            raise WaitTimeoutError(self.event)
        return remaining


def wait_until(condition: Callable[[], bool], event: str, advance: Callable[[], object]) -> None:
    """Call `advance` until the condition holds; raises `WaitTimeoutError` at the deadline."""
    deadline = EventDeadline(event)
    while not condition():
        assert deadline.remaining_s
        advance()


def poll_until(condition: Callable[[], bool], event: str) -> None:
    """Poll until other processes make the condition true; raises `WaitTimeoutError` at the deadline."""
    wait_until(condition, event, _pause)


def _pause() -> None:
    time.sleep(POLL_INTERVAL_S)
