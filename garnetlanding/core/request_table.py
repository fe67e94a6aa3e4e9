"""The life cycle of requests: each accepted one gets exactly one final answer, by its deadline."""

from __future__ import annotations

import logging
from collections.abc import Iterator

from garnetlanding.core.admission_checks import Capacity
from garnetlanding.core.body import Body
from garnetlanding.core.event_feed import EventFeed
from garnetlanding.core.metrics import RequestMetrics
from garnetlanding.core.ports import Answer, AttemptSummary, Failed, Observer, Served, Timers
from garnetlanding.core.request import Request, discard_answer
from garnetlanding.decision.interface import ClientLeft, Outcome

log = logging.getLogger(__name__)

DEADLINE_GRACE_US = 2_000
"""How long the engine waits for the decision module's answer after a request's deadline."""

IN_FLIGHT = "out"
"""Recorded in histories as the outcome of an attempt that has not finished."""


class RequestTable:
    """The requests that have no final answer yet or still have attempts in flight, by ticket.

    Invariants: `finish` is called at most once for each request; a request is in the table until it is
    settled; `capacity` counts it from `add` until its response is complete, which for a streamed body is at
    the last byte.
    """

    def __init__(
        self, timers: Timers, events: EventFeed, metrics: RequestMetrics, capacity: Capacity
    ) -> None:
        self._timers = timers
        self._events = events
        self._metrics = metrics
        self._capacity = capacity
        self._requests: dict[str, Request] = {}
        self.observers: list[Observer] = []

    def __len__(self) -> int:
        return len(self._requests)

    def __contains__(self, ticket: str) -> bool:
        return ticket in self._requests

    def __iter__(self) -> Iterator[Request]:
        return iter(list(self._requests.values()))

    def get(self, ticket: str) -> Request | None:
        """Return the request, or None if it is unknown or settled."""
        return self._requests.get(ticket)

    def add(self, request: Request) -> bool:
        """Add a request and count it against the capacity; return whether its client may hold it."""
        self._capacity.open_requests += 1
        self._capacity.held_bytes += request.spec.held_bytes
        self._requests[request.ticket] = request
        if request.account is None:
            return True
        needed_bytes = self._capacity.request_bytes + request.spec.held_bytes
        if not request.account.charge(needed_bytes):
            return False
        request.charged_bytes = needed_bytes
        return True

    def start_deadline(self, request: Request) -> None:
        """Start the timer that guarantees an answer whatever the decision module does."""
        request.deadline_timer = self._timers.call_at(
            request.deadline_us, lambda: self._deadline_reached(request)
        )

    def answer(self, ticket: str, answer: Answer) -> None:
        """Give the request its final answer; do nothing if it has one or is unknown."""
        request = self._requests.get(ticket)
        if request and not request.is_answered:
            self.finish(request, answer)

    def withdraw(self, ticket: str, answer: Answer) -> None:
        """Like `answer`, for an answer that does not come from the decision module: notify the module."""
        request = self._requests.get(ticket)
        if request and not request.is_answered:
            self.finish(request, answer)
            self._events.pending.append(ClientLeft(ticket))

    def finish(self, request: Request, answer: Answer) -> None:
        """Give the final answer to a request that has none: notify the client, then observers."""
        request.is_answered = True
        self._capacity.held_bytes -= request.spec.held_bytes
        if isinstance(answer, Served) and isinstance(answer.value, Body):
            self._count_when_body_ends(answer.value, request, answer)
        else:
            self._count(request, answer)
        if request.deadline_timer and not request.in_flight():
            request.deadline_timer.cancel()
        on_answer = request.on_answer
        request.on_answer = discard_answer
        on_answer(answer)
        if self.observers:
            self._notify_observers(request, answer)
        self.remove_if_settled(request)

    def remove_if_settled(self, request: Request) -> None:
        """Remove the request if it has its final answer and no attempt in flight."""
        if request.is_settled and request.ticket in self._requests:
            del self._requests[request.ticket]
            request.release()

    def _count_when_body_ends(self, body: Body, request: Request, answer: Answer) -> None:
        """Count a streamed response once its body has ended, complete or truncated."""
        body.on_end.append(lambda complete: self._count(request, answer if complete else Failed("cut short")))

    def _count(self, request: Request, answer: Answer) -> None:
        self._metrics.record(request.spec.request_class, answer)
        self._capacity.open_requests -= 1

    def _notify_observers(self, request: Request, answer: Answer) -> None:
        attempts = [
            AttemptSummary(
                attempt.backend,
                attempt.outcome.value if attempt.outcome else IN_FLIGHT,
                attempt.sent_at,
                attempt.ended_at,
            )
            for attempt in request.attempts
        ]
        for observer in self.observers:
            observer.request_ended(request.spec, answer, request.began_at, self._timers.now, attempts)

    def _deadline_reached(self, request: Request) -> None:
        for attempt in request.in_flight():
            attempt.stop(Outcome.TIMEOUT)
        if not request.is_answered:
            # The grace period starts now, not at the deadline: after a stall both could have passed, and the
            # decision module must process its events first.
            request.deadline_timer = self._timers.call_at(
                self._timers.now + DEADLINE_GRACE_US, lambda: self._grace_expired(request)
            )

    def _grace_expired(self, request: Request) -> None:
        """Answer a request that the decision module has left without an answer because of a defect."""
        if not request.is_answered:
            log.error("controller gave no answer in time", extra={"kv": {"request": request.ticket}})
            self.finish(request, Failed("deadline passed"))
            self._events.pending.append(ClientLeft(request.ticket))
