"""The life cycle of attempts: start those that the decision module requests, and report how each ended."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from garnetlanding.core.body import Body
from garnetlanding.core.endpoint_registry import EndpointRegistry
from garnetlanding.core.event_feed import EventFeed
from garnetlanding.core.fencing import Fence
from garnetlanding.core.metrics import RequestMetrics
from garnetlanding.core.ports import Failed, Served, Timers
from garnetlanding.core.request import CLIENT_LEFT, Attempt
from garnetlanding.core.request_table import RequestTable
from garnetlanding.core.retry_safety import may_repeat
from garnetlanding.decision.interface import Outcome, Result, Send, Settings
from garnetlanding.limits import Limits


@dataclass(frozen=True, slots=True)
class DispatcherDependencies:
    """The parts of the engine that the dispatcher uses."""

    requests: RequestTable
    endpoints: EndpointRegistry
    events: EventFeed
    fence: Fence
    metrics: RequestMetrics


class AttemptDispatcher:
    """Starts attempts and processes their results; implements `AttemptOwner`.

    Invariants, whatever the decision module requests: no attempt starts after its request's final answer or
    deadline, beyond the maximum number of attempts or of concurrent ones, at a backend that is not available,
    or while the instance is fenced. An attempt that may not start ends at once as `Outcome.NEVER_DISPATCHED`.
    """

    def __init__(
        self, dependencies: DispatcherDependencies, settings: Settings, timers: Timers, limits: Limits
    ) -> None:
        self._requests = dependencies.requests
        self._endpoints = dependencies.endpoints
        self._events = dependencies.events
        self._fence = dependencies.fence
        self._metrics = dependencies.metrics
        self._timers = timers
        self._limits = limits
        self.settings = settings  # in force; the engine replaces them

    @property
    def now(self) -> int:
        """The monotonic clock, in microseconds."""
        return self._timers.now

    def send(self, send: Send) -> None:
        """Start an attempt, or end it as never dispatched if it may not start."""
        request = self._requests.get(send.request)
        if request is None:
            return
        now = self._timers.now
        deadline_us = min(send.deadline_us or request.deadline_us, request.deadline_us)
        attempt = Attempt(self, request, len(request.attempts), send.backend, deadline_us, now)
        is_blocked = len(request.in_flight()) >= self._max_in_flight(attempt)
        request.attempts.append(attempt)
        if is_blocked or not self._may_dispatch(attempt, now):
            attempt.finish(Outcome.NEVER_DISPATCHED)
            return
        if deadline_us < request.deadline_us:
            attempt.deadline_timer = self._timers.call_at(deadline_us, lambda: attempt.stop(Outcome.TIMEOUT))
        request.transport.start(attempt)

    def cancel(self, ticket: str, number: int) -> None:
        """Cancel an attempt if it is in flight."""
        request = self._requests.get(ticket)
        if request and number < len(request.attempts):
            request.attempts[number].stop(Outcome.CANCELLED)

    def _max_in_flight(self, attempt: Attempt) -> int:
        if self.settings.parallel_attempts and attempt.request.spec.allow_hedging:
            return self._limits.concurrent_attempts
        return 1

    def _may_dispatch(self, attempt: Attempt, now: int) -> bool:
        return (
            not self._fence.is_fenced
            and not attempt.request.client_has_left
            and now < attempt.deadline_us
            and attempt.address() is not None  # None also if the request has its final answer
            and attempt.number < self.settings.max_attempts
        )

    # Implementation of AttemptOwner

    def address_for(self, attempt: Attempt) -> str | None:
        """See `AttemptOwner.address_for`."""
        if attempt.number:
            spec = self.settings.classes.get(attempt.request.spec.request_class)
            if not may_repeat(attempt, spec, self._timers.now):
                return None
        return self._endpoints.address_of(attempt.backend)

    def attempt_written(self) -> None:
        """See `AttemptOwner.attempt_written`."""
        self._metrics.dispatches += 1

    def attempt_finished(
        self, attempt: Attempt, value: Any, usage_percent: int | None, load_report: dict[str, float]
    ) -> None:
        """Answer the client if this is the first success, and report the result to the decision module."""
        request = attempt.request
        outcome = attempt.outcome
        assert outcome is not None
        attempt.ended_at = self._timers.now
        if outcome is Outcome.SERVED and not request.is_answered:
            self._requests.finish(request, Served(value))
        elif isinstance(value, Body):
            value.end(complete=False)  # another attempt has answered the client
        self._events.pending.append(
            Result(
                request.ticket,
                attempt.number,
                attempt.backend,
                outcome,
                attempt.duration_us,
                request.is_answered,
                usage_percent,
                load_report,
            )
        )
        if request.client_has_left and not request.in_flight():
            self._requests.withdraw(request.ticket, Failed(CLIENT_LEFT))
        self._requests.remove_if_settled(request)
