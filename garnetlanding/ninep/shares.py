"""Decides how many requests one client may have with the core at once.

A head serves all its clients on one core, so a client that keeps many requests out takes the time of all
others. Alone it may have all that the limit allows; beside others that have asked lately, its equal part of
that, and at least one. What a client has out past its part waits at its own connection.
"""

from __future__ import annotations

from collections import OrderedDict


class Shares:
    """Times are microseconds; nothing here looks at a clock."""

    def __init__(self, most: int, span_us: int) -> None:
        """`most`: requests of a client that is alone; `span_us`: who has asked within it counts as active."""
        self._most, self._span_us = most, span_us
        self._asked: OrderedDict[int, int] = OrderedDict()  # by client, when last; the latest at the end

    def asks(self, client: int, now: int) -> None:
        self._asked[client] = now
        self._asked.move_to_end(client)

    def left(self, client: int) -> None:
        self._asked.pop(client, None)

    def of(self, client: int, now: int) -> int:
        """How many it may have out now. Takes no more steps than the limit, however many clients ask."""
        active = 1
        for other, at in reversed(self._asked.items()):
            if at <= now - self._span_us or active >= self._most:
                break
            active += other != client
        return max(1, self._most // active)
