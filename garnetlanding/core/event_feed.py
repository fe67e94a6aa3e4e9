"""Events queued for the decision module, and their exchange for its actions."""

from __future__ import annotations

import logging

from garnetlanding.core.ports import DecisionModule
from garnetlanding.decision.interface import Action, Event

log = logging.getLogger(__name__)


class EventFeed:
    """Collects the events of one event-loop iteration, in the order in which they happened.

    `pending` is public and appended to directly because this is the engine's hottest path.
    """

    __slots__ = ("pending",)

    def __init__(self) -> None:
        self.pending: list[Event] = []

    def exchange(self, module: DecisionModule, now: int) -> list[Action]:
        """Pass all pending events to the module, at the time `now` (microseconds); return its actions.

        An exception of the module is logged and yields no actions: the engine answers the requests concerned
        when their deadlines have passed.
        """
        events = self.pending
        self.pending = []
        try:
            return module.handle(now, events)
        except Exception:
            log.exception("controller failed")
            return []
