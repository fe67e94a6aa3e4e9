"""The events on their way to the decision module, and the exchange of them for actions."""

from __future__ import annotations

import logging

from garnetlanding.core.ports import DecisionModule
from garnetlanding.decision.interface import Action, Event

log = logging.getLogger(__name__)


class EventFeed:
    """Collects the events of one event-loop iteration, in the order in which they happened.

    `pending` is appended to directly: this is the hottest path of the engine.
    """

    __slots__ = ("pending",)

    def __init__(self) -> None:
        self.pending: list[Event] = []

    def exchange(self, module: DecisionModule, now: int) -> list[Action]:
        """Hand over all pending events under one reading of the clock (microseconds); return the actions.

        A module that fails costs its actions alone: the requests concerned get their final answer from the
        engine once their deadline has passed.
        """
        events = self.pending
        self.pending = []
        try:
            return module.handle(now, events)
        except Exception:
            log.exception("controller failed")
            return []
