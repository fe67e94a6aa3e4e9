"""Bounds the staleness of a follower's copy by the follower's own clock (docs/design/stragglers.md).

A reply of the writer proves freshness as of the moment at which the query was sent, not of the reply's
arrival, because the reply may have been delayed indefinitely. No clock and no I/O: callers pass the time in
microseconds of one monotonic clock.
"""

from __future__ import annotations


class StalenessGuard:
    """Decides until when a follower may use its copy of the store. Until the first reply it may not.

    While the copy is used, it lacks no change that is older than `max_staleness_us`. `max_clock_drift` is an
    upper bound of the difference in rate between this clock and the writer's, as a fraction; a reply is valid
    for a shorter time to allow for it.
    """

    def __init__(self, max_staleness_us: int, max_clock_drift: float, now: int) -> None:
        self.max_staleness_us = max_staleness_us
        self.fresh_until = now
        self._validity_us = int(max_staleness_us / (1 + max_clock_drift))
        self._sent_at: dict[int, int] = {}  # when each query that may still be answered in time was sent
        self._last_number = 0

    @property
    def query_interval_us(self) -> int:
        """The time between queries; short enough that some may be lost before the copy counts as stale."""
        return self.max_staleness_us // 4

    def next_query(self, now: int) -> int:
        """Record a query that is sent now; return its number."""
        self._last_number += 1
        self._sent_at = {number: at for number, at in self._sent_at.items() if at > now - self._validity_us}
        self._sent_at[self._last_number] = now
        return self._last_number

    def reply_received(self, number: int) -> None:
        """Extend the validity of the copy by a reply; the changes before the reply must have been applied."""
        sent_at = self._sent_at.get(number)
        if sent_at is not None:
            self.fresh_until = max(self.fresh_until, sent_at + self._validity_us)

    def is_current(self, now: int) -> bool:
        """Return whether the copy is known to be fresh enough."""
        return now < self.fresh_until
