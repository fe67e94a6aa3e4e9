"""Per-key ordering queues: requests of an ordered class with the same key go out one after the other."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from garnetlanding.decision.requests import Request


@dataclass(slots=True, eq=False)
class OrderedKeyQueue:
    """The requests of one key, in the order of their arrival."""

    waiting: deque[Request] = field(default_factory=deque)
    rest_until: int = 0  # the key rests after an attempt that may still run
    admitted: Request | None = None  # the one that has entered the fair queue

    def head(self) -> Request | None:
        """Drop what is answered and not in flight any more; return the first of the others."""
        self.waiting = deque(
            request for request in self.waiting if not request.answered or request.in_flight()
        )
        return self.waiting[0] if self.waiting else None
