"""The life of requests: each accepted one gets exactly one final answer, at its deadline at the latest."""

from __future__ import annotations

import logging
from collections.abc import Iterator

from garnetlanding.core.admission import Capacity
from garnetlanding.core.body import Body
from garnetlanding.core.event_feed import EventFeed
from garnetlanding.core.metrics import RequestMetrics
from garnetlanding.core.ports import Answer, AttemptSummary, Failed, Observer, Served, Timers
from garnetlanding.core.request import Request
from garnetlanding.decision.interface import ClientLeft, Outcome

log = logging.getLogger(__name__)

# The decision module answers a request whose time is up first; after this the engine does.
DEADLINE_GRACE_US = 2_000
IN_FLIGHT = "out"  # of an attempt that has not finished: recorded under this word in histories


class RequestTable:
    """The requests that are open or still have attempts in flight, by ticket.

    Invariants: `finish` is called at most once for each request; a request is in the table until it is
    settled; `capacity` counts it from `add` until its answer is complete, which for a streamed body is its
    last byte.
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
        """Return the request, or None once it is settled."""
        return self._requests.get(ticket)

    def add(self, request: Request) -> None:
        """Count an accepted request as open."""
        self._capacity.open_requests += 1
        self._capacity.held_bytes += request.spec.held_bytes
        self._requests[request.ticket] = request

    def start_deadline(self, request: Request) -> None:
        """From now on the request is answered by its deadline whatever the decision module does."""
        request.timer = self._timers.call_at(request.until_us, lambda: self._deadline_reached(request))

    def answer(self, ticket: str, answer: Answer) -> None:
        """Give the final answer, unless the request has one or is unknown."""
        request = self._requests.get(ticket)
        if request and request.answer is None:
            self.finish(request, answer)

    def withdraw(self, ticket: str, answer: Answer) -> None:
        """Like `answer`, for one that the decision module does not know of: it is notified."""
        request = self._requests.get(ticket)
        if request and request.answer is None:
            self.finish(request, answer)
            self._events.pending.append(ClientLeft(ticket))

    def finish(self, request: Request, answer: Answer) -> None:
        """Give a request without an answer its final one: client first, then observers."""
        request.answer = answer
        self._capacity.held_bytes -= request.spec.held_bytes
        if isinstance(answer, Served) and isinstance(answer.value, Body):
            self._count_at_end_of(answer.value, request, answer)
        else:
            self._count(request, answer)
        if request.timer and not request.in_flight():
            request.timer.cancel()
        request.on_answer(answer)
        if self.observers:
            self._notify_observers(request, answer)
        self.drop_if_settled(request)

    def drop_if_settled(self, request: Request) -> None:
        """Forget the request once it is answered and nothing of it is in flight."""
        if request.is_settled:
            self._requests.pop(request.ticket, None)

    def _count_at_end_of(self, body: Body, request: Request, answer: Answer) -> None:
        """Count a streamed answer at its last byte; from its first on nothing else can be answered."""

        def on_end(is_complete: bool) -> None:
            self._count(request, answer if is_complete else Failed("cut short"))

        body.on_end.append(on_end)

    def _count(self, request: Request, answer: Answer) -> None:
        self._metrics.record(request.spec.cls, answer)
        self._capacity.open_requests -= 1

    def _notify_observers(self, request: Request, answer: Answer) -> None:
        attempts = [
            AttemptSummary(
                attempt.node,
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
        if request.answer is None:
            # Counted from now: after a stall both times have passed, and the decision module is to have its
            # iteration first.
            request.timer = self._timers.call_at(
                self._timers.now + DEADLINE_GRACE_US, lambda: self._grace_expired(request)
            )

    def _grace_expired(self, request: Request) -> None:
        """Guard the one rule that no defect may break: an accepted request gets its answer."""
        if request.answer is None:
            log.error("controller gave no answer in time", extra={"kv": {"request": request.ticket}})
            self.finish(request, Failed("deadline passed"))
            self._events.pending.append(ClientLeft(request.ticket))
