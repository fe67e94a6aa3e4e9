"""The state of requests and of their attempts."""

from __future__ import annotations

from dataclasses import dataclass, field

from garnetlanding.decision import interface as api
from garnetlanding.decision.backend_health import BackendHealth
from garnetlanding.decision.volume import Volume

NEVER_DELIVERED = (api.Outcome.UNREACHABLE, api.Outcome.NEVER_DISPATCHED)
"""Outcomes which prove that no backend received the whole request."""

MAY_STILL_RUN = (api.Outcome.TIMEOUT, api.Outcome.RESET, api.Outcome.CANCELLED)
"""Outcomes after which the backend may still be executing the attempt."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt at a backend."""

    health: BackendHealth
    cell: int
    sent_at: int
    holds_slot: bool = True  # occupies a slot of the backend's concurrency limit
    outcome: api.Outcome | None = None  # None: in flight

    def release_slot(self) -> None:
        """Release its slot of the backend's concurrency limit, unless that has been done."""
        if self.holds_slot:
            self.holds_slot = False
            self.health.in_flight -= 1


@dataclass(slots=True, eq=False)
class Request:
    """A request, from its arrival until its final answer and the end of its last attempt."""

    arrival: api.Arrival
    class_spec: api.ClassSpec
    volume: Volume
    units: float
    sequence: int  # number of its arrival
    objective_at: int  # when its latency objective is missed
    answer_by: int  # when its final answer is due
    priority_weight: float  # per unit; lowered if the request exceeds the reserve
    reserved_units: float = 0.0  # taken from the volume's reserve
    attempts: list[Attempt] = field(default_factory=list)
    answered: bool = False  # has its final answer or needs none
    queued_cell: int | None = None  # cell whose queue contains it
    keeps_tags: bool = False  # whether a retry in the same cell keeps the tags of the first attempt
    virtual_time: float = 0.0  # of the queue when it was enqueued
    start_tag: float = 0.0
    finish_tag: float = 0.0

    @property
    def id(self) -> str:
        """The identifier by which events and actions refer to it."""
        return self.arrival.request

    def tag(self) -> tuple[float, int]:
        """Return the sort key of dispatch: the lowest start tag first, then the earliest arrival."""
        return self.start_tag, self.sequence

    def in_flight(self) -> bool:
        """Return whether an attempt has no outcome yet."""
        for attempt in self.attempts:  # noqa: SIM110 - any() is slower on this hot path
            if attempt.outcome is None:
                return True
        return False

    def attempts_that_may_have_run(self) -> list[Attempt]:
        """Return the attempts that the backend may have executed, at least in part."""
        return [attempt for attempt in self.attempts if attempt.outcome not in api.NEVER_RAN]

    def may_have_been_delivered(self) -> bool:
        """Return whether a backend may have received the whole request."""
        return any(attempt.outcome not in NEVER_DELIVERED for attempt in self.attempts)
