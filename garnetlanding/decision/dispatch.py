"""Dispatch: which queued request leaves next, when, and which are refused because they would be late."""

import heapq

from garnetlanding.decision import interface as api
from garnetlanding.decision import tuning
from garnetlanding.decision.admission import Admission
from garnetlanding.decision.attempt_rules import may_attempt
from garnetlanding.decision.backend_health import BackendHealth
from garnetlanding.decision.concurrency import concurrency_limit
from garnetlanding.decision.fair_queue import CellQueue, Flow
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
        """Send what the concurrency limit and the warm-up allow; refuse what has to wait too long."""
        health = queue.health
        if health is None:
            if queue.queued and queue.cell in self._state.disabled_cells:
                for stranded in queue.requests():
                    self._admission.end(stranded)  # nothing else serves the cell, and nobody knows till when
            return
        if not queue.queued:
            return
        self._shed_load(queue, health)
        while queue.queued and health.in_flight + 1 <= concurrency_limit(self._state, health):
            request = self._next(queue, health)
            if request is None or warmup_allowance(self._state, queue, health).units < request.units:
                return
            if may_attempt(self._state, request, health):
                self._send(request, queue, health)
            else:
                self._admission.end(request)

    def _next(self, queue: CellQueue, health: BackendHealth) -> Request | None:
        """Return the request with the lowest start tag among the first eligible ones of all flows."""
        latency = health.expected_latency(self._state.now)
        first = [self._first_eligible(flow, latency) for flow in queue.flows.values()]
        eligible = [request for request in first if request is not None]
        return min(eligible, key=Request.tag) if eligible else None

    def _first_eligible(self, flow: Flow, latency: float) -> Request | None:
        """Return a flow's first request with tokens left that still accepts the backend's latency.

        The tokens of all are counted: a bucket filled at other moments would round otherwise.
        """
        now = self._state.now
        eligible: Request | None = None
        for request in flow.queued:
            has_tokens = bool(request.attempts) or request.volume.limit.available(now) >= request.units
            if (
                eligible is None
                and has_tokens
                and (request.in_flight() or latency <= self._max_queueing_delay(request))
            ):
                eligible = request
        return eligible

    def _max_queueing_delay(self, request: Request) -> float:
        """Return the longest queueing delay that this request may still accept, in microseconds.

        It grows with the request's priority weight per unit; among few instances, whose concurrency limits
        protect a backend by themselves, it is the latency objective.
        """
        state = self._state
        objective = request.traffic_class.latency_objective_us
        rank = min(1.0, request.priority_weight / state.highest_priority_weight)
        share = state.tightest_objective_us / objective * (tuning.SLOW_SHARE + (1 - tuning.SLOW_SHARE) * rank)
        return objective * float(share**state.contention)

    def _send(self, request: Request, queue: CellQueue, health: BackendHealth) -> None:
        """Send a queued request to the backend of its cell."""
        state = self._state
        queue.dequeue_sent(request)
        if request.attempts:
            state.retry_budget.record_retry(state.now)
            request.attempts[-1].write_off()  # its answer counts as lost
        else:
            request.volume.limit.level -= request.units
        request.attempts.append(Attempt(health, queue.cell, state.now))
        health.in_flight += 1
        health.sent_units.add(state.now, request.units)
        state.emit(api.Send(request.id, health.endpoint.backend))
        self._retries.schedule_hedge(request)

    def _shed_load(self, queue: CellQueue, health: BackendHealth) -> None:
        """Refuse what cannot be on time behind what is queued before it, the lowest priority weight first."""
        state = self._state
        now = state.now
        depth = concurrency_limit(state, health)
        free = depth - health.in_flight
        latency = health.expected_latency(now)
        allowance = warmup_allowance(state, queue, health)
        quick = not health.latency_us or (
            queue.queued <= free and latency <= tuning.SLOW_SHARE * state.tightest_objective_us
        )
        if quick and not allowance.us_per_unit:
            return
        pace = 0.0 if quick else latency / max(health.mean_units, 1e-9)  # microseconds a unit
        free_units = (free - 1) * health.mean_units
        units_ahead = 0.0
        kept: list[tuple[float, float, int, Request]] = []  # a heap: the first to refuse is on top
        for request in sorted(queue.requests(), key=Request.tag):
            alone_at = now + pace * request.units
            weight = request.priority_weight
            if alone_at > request.objective_at:
                weight *= request.traffic_class.late_value_fraction
            heapq.heappush(kept, (weight, -request.start_tag, -request.sequence, request))
            while request.queued_cell is not None:
                served_at = alone_at + pace * max(0.0, units_ahead - free_units) / depth
                lacking = units_ahead + request.units - allowance.units
                if max(served_at, now + allowance.us_per_unit * lacking) <= request.objective_at:
                    break
                refused = heapq.heappop(kept)[3]
                if refused is not request:
                    units_ahead -= refused.units
                self._admission.end(refused)
            if request.queued_cell is not None:
                units_ahead += request.units
