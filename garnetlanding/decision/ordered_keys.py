"""Queues of ordered keys: requests of an ordered class with the same key are executed one at a time."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from garnetlanding.decision.requests import Request


@dataclass(slots=True, eq=False)
class OrderedKeyQueue:
    """The requests of one key, in the order of their arrival."""

    waiting: deque[Request] = field(default_factory=deque)
    blocked_until: int = 0  # end of the pause after an attempt that may still be executing
    admitted: Request | None = None  # the request that has been put into a fair queue last

    def drop_settled(self) -> Request | None:
        """Drop the requests that are answered and not in flight; return the first remaining one."""
        self.waiting = deque(
            request for request in self.waiting if not request.answered or request.in_flight()
        )
        return self.waiting[0] if self.waiting else None
