"""Decides the backoff before a poll of the endpoint list that follows a failure, and before a retry."""

from __future__ import annotations

import random

from garnetlanding.decision import interface as api
from garnetlanding.decision import tuning
from garnetlanding.decision.time_constants import NEVER


class PollBackoff:
    """Exponential backoff between failed polls of the endpoint list."""

    def __init__(self, instances: int) -> None:
        self.set_instances(instances)
        self._pause_us = self._min_pause_us

    def set_instances(self, instances: int) -> None:
        """Set the shortest pause by the number of instances that poll the same discovery service."""
        self._instances = instances
        by_instances = instances * tuning.POLL_BACKOFF_PER_INSTANCE_US
        self._min_pause_us = max(tuning.POLL_BACKOFF_MIN_US, min(tuning.POLL_BACKOFF_MAX_US, by_instances))

    def reset(self) -> None:
        """Return to the shortest pause after a successful poll."""
        self._pause_us = self._min_pause_us

    def next_pause(self, failure: api.EndpointListFailure, quota: float, rng: random.Random) -> int:
        """Return the pause after a failure, in microseconds, and double the next one.

        The pause is bounded so that a changed endpoint is known within six seconds. While discovery is
        overloaded, longer pauses are allowed. `quota` is this instance's quota of all polls, as a multiple of
        an equal quota.
        """
        pause = min(tuning.POLL_BACKOFF_MAX_US - failure.missed_updates_for_us, self._pause_us / quota)
        if failure.kind is api.FailureKind.OVERLOADED:
            bound = self._instances * tuning.OVERLOADED_BACKOFF_PER_INSTANCE_US
            pause = max(pause, min(bound, self._pause_us / tuning.OVERLOADED_BACKOFF_DIVISOR))
            pause *= rng.uniform(*tuning.OVERLOADED_JITTER)
            self._pause_us = min(2 * self._pause_us, NEVER)
        else:
            pause = max(pause, 0) * rng.uniform(*tuning.POLL_JITTER)
            self._pause_us = min(2 * self._pause_us, tuning.POLL_BACKOFF_MAX_US)
        return int(pause)


def retry_pause(objective_us: int, attempts: int, rng: random.Random) -> int:
    """Return the pause before a retry after that number of attempts, in microseconds, with jitter."""
    pause = objective_us * tuning.RETRY_PAUSE_OBJECTIVES * 2 ** (attempts - 1)
    return int(pause * rng.uniform(*tuning.RETRY_JITTER))
