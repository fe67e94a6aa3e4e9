"""Whether a follower can prove, by its own clock, that it is up to date (docs/design/stragglers.md).

A reply of the writer's proves it from the moment at which the query was sent, not from when the reply came:
the reply may have been on its way for any time. No clock and no socket here; times are microseconds of one
monotonic clock, handed in.
"""

from __future__ import annotations


class StalenessGuard:
    """Tells until when this instance may act on its copy.

    `max_staleness_us`: no change that is older may be missing at an instance that acts. `drift`: the most by
    which this clock and the writer's run apart, as a share; a reply is good for that much less. At its start
    a follower is not up to date: it has no reply yet.
    """

    def __init__(self, max_staleness_us: int, drift: float, now: int) -> None:
        self.max_staleness_us = max_staleness_us
        self.current_until = now
        self._validity_us = int(max_staleness_us / (1 + drift))
        self._sent_at: dict[int, int] = {}  # of each query that a reply could still prove something by
        self._number = 0

    @property
    def query_interval_us(self) -> int:
        """The time between queries: several may be lost before the copy counts as stale."""
        return self.max_staleness_us // 4

    def next_query(self, now: int) -> int:
        """Return the number of a query that is sent now."""
        self._number += 1
        self._sent_at = {number: at for number, at in self._sent_at.items() if at > now - self._validity_us}
        self._sent_at[self._number] = now
        return self._number

    def reply_received(self, number: int) -> None:
        """Note a reply. All changes that the writer had made when it replied must have been applied."""
        sent_at = self._sent_at.get(number)
        if sent_at is not None:
            self.current_until = max(self.current_until, sent_at + self._validity_us)

    def is_current(self, now: int) -> bool:
        """Whether the copy is provably no staler than it may be."""
        return now < self.current_until
