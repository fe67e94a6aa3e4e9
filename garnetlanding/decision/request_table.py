"""The table of the unfinished requests of one instance."""

from __future__ import annotations

from garnetlanding.decision import interface as api
from garnetlanding.decision import tuning
from garnetlanding.decision.ordered_keys import OrderedKeyQueue
from garnetlanding.decision.requests import Request
from garnetlanding.decision.volume import Volume


class RequestTable:
    """Owns the requests that have no final answer yet or have an attempt in flight, and the ordered keys."""

    __slots__ = ("_arrivals", "_longest_timeout_us", "by_id", "ordered_keys")

    def __init__(self) -> None:
        self.by_id: dict[str, Request] = {}
        self.ordered_keys: dict[str, OrderedKeyQueue] = {}
        self._arrivals = 0  # ever
        self._longest_timeout_us: dict[str, int] = {}  # by class, of all clients so far

    def add(
        self,
        arrival: api.Arrival,
        class_spec: api.ClassSpec,
        plan: api.PlanSpec,
        volume: Volume,
        now: int,
        tick_us: int,
    ) -> Request:
        """Create the request of an arrival.

        The latency objective of a client's retry counts from the client's first attempt. The time of that
        attempt is derived from the deadline and the longest timeout that clients have used for the class. A
        timeout beyond the class's deadline is no evidence of when other clients sent their first attempts.
        """
        own_timeout_us = min(arrival.deadline_us - now, class_spec.deadline_us)
        timeout_us = max(self._longest_timeout_us.get(arrival.request_class, 0), own_timeout_us)
        self._longest_timeout_us[arrival.request_class] = timeout_us
        first_attempt_at = min(now, arrival.deadline_us - timeout_us)
        self._arrivals += 1
        request = Request(
            arrival=arrival,
            class_spec=class_spec,
            volume=volume,
            units=arrival.units,
            sequence=self._arrivals,
            objective_at=first_attempt_at + class_spec.latency_objective_us,
            answer_by=arrival.deadline_us - tuning.ANSWER_MARGIN_TICKS * tick_us,
            priority_weight=class_spec.priority_weight * plan.priority_weight_factor,
        )
        self.by_id[arrival.request] = request
        return request
