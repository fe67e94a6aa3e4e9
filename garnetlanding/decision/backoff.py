"""Decides how long to wait before the next poll of the endpoint list after a failure, and before a retry."""

from __future__ import annotations

import random

from garnetlanding.decision import interface as api
from garnetlanding.decision import tuning
from garnetlanding.decision.units import NEVER


class PollBackoff:
    """The exponential backoff between polls of the endpoint list that fail."""

    def __init__(self, instances: int) -> None:
        self.set_instances(instances)
        self._pause_us = self._min_pause_us

    def set_instances(self, instances: int) -> None:
        """Adapt the shortest pause to the number of instances that poll the same discovery service."""
        self._instances = instances
        by_instances = instances * tuning.POLL_BACKOFF_PER_INSTANCE
        self._min_pause_us = max(tuning.POLL_BACKOFF_MIN, min(tuning.POLL_BACKOFF_MAX, by_instances))

    def reset(self) -> None:
        """Return to the shortest pause, after a poll that succeeded."""
        self._pause_us = self._min_pause_us

    def next_pause(self, failure: api.EndpointListFailure, quota: float, rng: random.Random) -> int:
        """Return the pause after a failure, in microseconds, and double the next one.

        The pause is short enough to learn of a changed endpoint within six seconds, unless discovery stays
        overloaded: then polls are made less often. `quota` is this instance's quota of all polls, as a
        multiple of an even one.
        """
        pause = min(tuning.POLL_BACKOFF_MAX - failure.missed_updates_for_us, self._pause_us / quota)
        if failure.kind is api.FailureKind.OVERLOADED:
            bound = self._instances * tuning.OVERLOADED_BACKOFF_PER_INSTANCE
            pause = max(pause, min(bound, self._pause_us / tuning.OVERLOADED_BACKOFF_DIVISOR))
            pause *= rng.uniform(*tuning.OVERLOADED_JITTER)
            self._pause_us = min(2 * self._pause_us, NEVER)
        else:
            pause = max(pause, 0) * rng.uniform(*tuning.POLL_JITTER)
            self._pause_us = min(2 * self._pause_us, tuning.POLL_BACKOFF_MAX)
        return int(pause)


def retry_pause(objective_us: int, attempts: int, rng: random.Random) -> int:
    """Return the pause before a retry after that number of attempts, in microseconds, with jitter."""
    pause = objective_us * tuning.RETRY_PAUSE_OBJECTIVES * 2 ** (attempts - 1)
    return int(pause * rng.uniform(*tuning.RETRY_JITTER))
