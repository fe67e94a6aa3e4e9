"""The agenda of a sans-IO state machine: steps to take later, and the actions of the call at hand."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

from garnetlanding.decision import interface as api

WAKE_TOKEN = "look"
"""Token of the timer that asks for the next call; it stands on the simulator's wire."""


class Agenda:
    """Steps by time and the actions of one call. `now` is the time of the call, in microseconds."""

    def __init__(self, log_lines: int) -> None:
        self.now = 0
        self._actions: list[api.Action] = []
        self._steps: list[tuple[int, int, Callable[[Any], None], Any]] = []
        self._steps_scheduled = 0  # steps of the same time run in the order in which they were scheduled
        self._wake_at: int | None = None  # the time of the timer that is set
        self._log_lines_left = log_lines

    def begin_call(self, now: int) -> None:
        """Start a call at that time, without actions."""
        self.now = now
        self._actions = []
        if self._wake_at is not None and self._wake_at <= now:
            self._wake_at = None

    def schedule(self, when: int, step: Callable[[Any], None], subject: Any) -> None:
        """Have `step(subject)` called in the first call at or after that time."""
        self._steps_scheduled += 1
        heapq.heappush(self._steps, (when, self._steps_scheduled, step, subject))

    def run_due_steps(self) -> None:
        """Take all steps whose time has come, also those that are scheduled meanwhile."""
        steps = self._steps
        while steps and steps[0][0] <= self.now:
            _, _, step, subject = heapq.heappop(steps)
            step(subject)

    def end_call(self) -> list[api.Action]:
        """Return the call's actions, with a timer for the next step unless an earlier one is set."""
        if self._steps and (self._wake_at is None or self._steps[0][0] < self._wake_at):
            self._wake_at = max(self._steps[0][0], self.now + 1)
            self._actions.append(api.WakeAfter(self._wake_at - self.now, WAKE_TOKEN))
        return self._actions

    def emit(self, action: api.Action) -> None:
        """Add an action to the call's."""
        self._actions.append(action)

    def log(self, text: str) -> None:
        """Add a log line to the call's actions; beyond the bound on their number it is dropped."""
        if self._log_lines_left > 0:
            self._log_lines_left -= 1
            self._actions.append(api.Log(text))
