"""The queue of events for the decision module."""

from __future__ import annotations

import logging

from garnetlanding.core.ports import DecisionModule
from garnetlanding.decision.interface import Action, Event

log = logging.getLogger(__name__)


class EventFeed:
    """Queues the events of one event-loop iteration, in the order in which they happened.

    `pending` is public so that callers append to it directly: a method call for each event would slow down
    the engine's hottest path.
    """

    __slots__ = ("pending",)

    def __init__(self) -> None:
        self.pending: list[Event] = []

    def deliver(self, module: DecisionModule, now: int) -> list[Action]:
        """Deliver all pending events to the module in one call; return its actions.

        `now` is the time of the call (monotonic clock, microseconds). If the module raises an exception, it
        is logged and there are no actions: the engine answers the requests concerned once their deadlines
        have passed.
        """
        events = self.pending
        self.pending = []
        try:
            return module.handle(now, events)
        except Exception:
            log.exception("controller failed")
            return []
