"""Whether a follower can show that it is current, by its own clock: an answer of the writer holds from when
the question was sent (docs/design/stragglers.md). No clock, no socket.
"""

from __future__ import annotations


class StalenessGuard:
    def __init__(self, current_us: int, drift: float, now: int) -> None:
        """`current_us`: no change is older than that to a head that acts. It starts as current as its
        settings: it has not heard of any."""
        self.max_staleness_us, self._validity_us = current_us, int(current_us / (1 + drift))
        self._sent_at: dict[int, int] = {}
        self._number = 0
        self.current_until = now  # not before the first answer

    @property
    def query_interval_us(self) -> int:
        """Between questions: several may be lost."""
        return self.max_staleness_us // 4

    def next_query(self, now: int) -> int:
        """The number of a question that is sent now."""
        self._number += 1
        self._sent_at = {number: at for number, at in self._sent_at.items() if at > now - self._validity_us}
        self._sent_at[self._number] = now
        return self._number

    def reply_received(self, number: int) -> None:
        """The writer's answer has come, and all changes that it knew then have been taken up."""
        sent = self._sent_at.get(number)
        if sent is not None:
            self.current_until = max(self.current_until, sent + self._validity_us)

    def is_current(self, now: int) -> bool:
        return now < self.current_until
