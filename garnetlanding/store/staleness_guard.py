"""Whether a follower can show that it is current, by its own clock: an answer of the writer holds from when
the question was sent (docs/design/stragglers.md). No clock, no socket.
"""

from __future__ import annotations


class StalenessGuard:
    def __init__(self, current_us: int, drift: float, now: int) -> None:
        """`current_us`: no change is older than that to a head that acts. It starts as current as its
        settings: it has not heard of any."""
        self.current_us, self._lasts_us = current_us, int(current_us / (1 + drift))
        self._sent: dict[int, int] = {}
        self._number = 0
        self.until = now  # not before the first answer

    @property
    def every_us(self) -> int:
        """Between questions: several may be lost."""
        return self.current_us // 4

    def ask(self, now: int) -> int:
        """The number of a question that is sent now."""
        self._number += 1
        self._sent = {number: at for number, at in self._sent.items() if at > now - self._lasts_us}
        self._sent[self._number] = now
        return self._number

    def answered(self, number: int) -> None:
        """The writer's answer has come, and all changes that it knew then have been taken up."""
        sent = self._sent.get(number)
        if sent is not None:
            self.until = max(self.until, sent + self._lasts_us)

    def current(self, now: int) -> bool:
        return now < self.until
