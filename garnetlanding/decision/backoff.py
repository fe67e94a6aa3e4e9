"""Pauses that grow: between calls for the endpoint list after errors, and before a retry."""

from __future__ import annotations

import random

from garnetlanding.decision import interface as api
from garnetlanding.decision import tuning
from garnetlanding.decision.units import NEVER


class PollBackoff:
    """The pause before the next call for the endpoint list after one that failed."""

    def __init__(self, instances: int) -> None:
        self.follow(instances)
        self._pause_us = self._floor_us

    def follow(self, instances: int) -> None:
        """Fit the shortest pause to the number of instances that ask the same discovery service."""
        self._instances = instances
        least = instances * tuning.POLL_BACKOFF_PER_INSTANCE
        self._floor_us = max(tuning.POLL_BACKOFF, min(tuning.POLL_BACKOFF_MOST, least))

    def reset(self) -> None:
        """Start from the shortest pause again: a call was answered."""
        self._pause_us = self._floor_us

    def next_pause(self, failure: api.EndpointListFailure, quota: float, rng: random.Random) -> int:
        """Return the pause after that failure, in microseconds; the next one is longer.

        Always in time for an endpoint's change to be known within six seconds, except where calls queue at
        the discovery service and go on failing: there, less often. `quota`: this instance's quota of all
        polls, as a multiple of an even one.
        """
        pause = min(tuning.POLL_BACKOFF_MOST - failure.missed_updates_for_us, self._pause_us / quota)
        if failure.kind is api.FailureKind.OVERLOADED:
            queue_pause = self._instances * tuning.POLL_QUEUE_PER_INSTANCE
            pause = max(pause, min(queue_pause, self._pause_us / tuning.POLL_QUEUE_PATIENCE))
            pause *= rng.uniform(0.5, 1.0)
            self._pause_us = min(2 * self._pause_us, NEVER)
        else:
            pause = max(pause, 0) * rng.uniform(0.1, 1.0)
            self._pause_us = min(2 * self._pause_us, tuning.POLL_BACKOFF_MOST)
        return int(pause)


def retry_pause(objective_us: int, attempts: int, rng: random.Random) -> int:
    """Return the pause before a retry after so many attempts, in microseconds, with jitter."""
    pause = objective_us * tuning.RETRY_OBJECTIVES * 2 ** (attempts - 1)
    return int(pause * rng.uniform(0.5, 1.5))
