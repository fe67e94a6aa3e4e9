"""Decides which queued request is sent next, and when."""

from garnetlanding.decision import interface as api
from garnetlanding.decision import tuning
from garnetlanding.decision.admission import Admission
from garnetlanding.decision.attempt_rules import may_attempt
from garnetlanding.decision.backend_health import BackendHealth
from garnetlanding.decision.concurrency import concurrency_limit
from garnetlanding.decision.fair_queue import CellQueue, Flow
from garnetlanding.decision.load_shedding import shed_load
from garnetlanding.decision.requests import Attempt, Request
from garnetlanding.decision.retries import Retries
from garnetlanding.decision.state import ControllerState
from garnetlanding.decision.warmup import warmup_allowance


class Dispatcher:
    """Sends queued requests to backends in the order of their start tags."""

    def __init__(self, state: ControllerState, admission: Admission, retries: Retries) -> None:
        self._state = state
        self._admission = admission
        self._retries = retries

    def dispatch(self, queue: CellQueue) -> None:
        """Run a dispatch pass: shed requests that would be late, then send what the limits allow."""
        health = queue.health
        if health is None:
            self._end_if_disabled(queue)
            return
        if not queue.queued_count:
            return
        shed_load(self._state, queue, health, self._admission)
        while queue.queued_count and health.in_flight + 1 <= concurrency_limit(self._state, health):
            request = self._next_request(queue, health)
            if request is None or warmup_allowance(self._state, queue, health).units < request.units:
                return
            if may_attempt(self._state, request, health):
                self._send(request, queue, health)
            else:
                self._admission.reject_or_fail(request)

    def _end_if_disabled(self, queue: CellQueue) -> None:
        """End all requests of a cell whose backend an operator has disabled for an unknown time."""
        if queue.queued_count and queue.cell in self._state.cells.disabled:
            for request in queue.requests():
                self._admission.reject_or_fail(request)

    def _next_request(self, queue: CellQueue, health: BackendHealth) -> Request | None:
        """Return the request with the lowest start tag among the first eligible request of each flow."""
        latency = health.expected_latency(self._state.now)
        candidates = [self._first_eligible(flow, latency) for flow in queue.flows.values() if flow.queued]
        eligible = [request for request in candidates if request is not None]
        return min(eligible, key=Request.tag) if eligible else None

    def _first_eligible(self, flow: Flow, latency: float) -> Request | None:
        """Return a flow's first request that its rate limit and the backend's latency allow to be sent."""
        _refill_rate_limits(flow, self._state.now)
        for request in flow.queued:
            within_limit = bool(request.attempts) or request.volume.limit.level >= request.units
            if within_limit and (request.in_flight() or latency <= self._max_latency(request)):
                return request
        return None

    def _max_latency(self, request: Request) -> float:
        """Return the longest expected latency at which this request is still sent, in microseconds.

        With many instances, it grows with the request's priority weight, so that requests of low priority
        wait while a backend is slow. With few, the concurrency limits alone protect the backend, and it is
        the latency objective.
        """
        derived = self._state.derived_settings
        objective = request.class_spec.latency_objective_us
        relative_weight = min(1.0, request.priority_weight / derived.highest_priority_weight)
        slow = tuning.SLOW_LATENCY_FRACTION
        fraction = derived.tightest_objective_us / objective * (slow + (1 - slow) * relative_weight)
        return objective * float(fraction**derived.contention)

    def _send(self, request: Request, queue: CellQueue, health: BackendHealth) -> None:
        """Send a queued request to the backend of its cell."""
        state = self._state
        queue.dequeue_sent(request)
        if request.attempts:
            state.budgets.retries.record_retry(state.now)
            # A request holds one slot at most. If the last attempt is still in flight, its response counts as
            # lost: its backend gets the slot back, and the new attempt occupies one of its own backend.
            request.attempts[-1].release_slot()
        else:
            request.volume.limit.level -= request.units
        request.attempts.append(Attempt(health, queue.cell, state.now))
        health.in_flight += 1
        health.sent_units.add(state.now, request.units)
        state.actions.emit(api.Send(request.id, health.endpoint.backend))
        self._retries.schedule_hedge(request)


def _refill_rate_limits(flow: Flow, now: int) -> None:
    """Refill the rate limits of all queued requests without an attempt, eligible or not.

    This makes the refill times independent of which request is eligible. Refills at other times would round
    the levels differently.
    """
    for request in flow.queued:
        limit = request.volume.limit
        if limit.refilled_at != now and not request.attempts:
            limit.refill(now)
