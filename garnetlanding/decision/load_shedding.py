"""Decides which queued requests are shed so that the others meet their latency objectives.

Requests are visited in dispatch order. While a request is forecast to miss its latency objective, the one of
the lowest priority weight among it and its predecessors is shed.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass

from garnetlanding.decision import tuning
from garnetlanding.decision.admission import Admission
from garnetlanding.decision.backend_health import BackendHealth
from garnetlanding.decision.concurrency import concurrency_limit
from garnetlanding.decision.fair_queue import CellQueue
from garnetlanding.decision.requests import Request
from garnetlanding.decision.state import ControllerState
from garnetlanding.decision.warmup import WarmupAllowance, warmup_allowance

Candidate = tuple[float, float, int, Request]
"""A request that may be shed, after its sort key: by lowest priority weight, then by latest dispatch."""


@dataclass(slots=True)
class ServiceForecast:
    """Estimate of how fast a backend will serve the requests that this instance has queued for it."""

    now: int
    us_per_unit: float  # service time per unit; 0 while the backend is fast
    concurrency: float  # attempts served in parallel
    free_units: float  # units that can be sent without queueing
    warmup: WarmupAllowance

    def earliest_completion(self, request: Request) -> float:
        """Return when a request would be complete if it were sent now."""
        return self.now + self.us_per_unit * request.units

    def completion(self, request: Request, units_ahead: float) -> float:
        """Return when a request would be complete after `units_ahead` units of requests before it."""
        queueing_us = self.us_per_unit * max(0.0, units_ahead - self.free_units) / self.concurrency
        served_at = self.now + self.us_per_unit * request.units + queueing_us
        missing_units = units_ahead + request.units - self.warmup.units
        allowed_at = self.now + self.warmup.us_per_unit * missing_units
        return max(served_at, allowed_at)


def forecast_service(
    state: ControllerState, queue: CellQueue, health: BackendHealth
) -> ServiceForecast | None:
    """Return the forecast for a backend, or None if no request queued for it can be late."""
    now = state.now
    concurrency = concurrency_limit(state, health)
    free_slots = concurrency - health.in_flight
    latency = health.expected_latency(now)
    warmup = warmup_allowance(state, queue, health)
    slow_latency = tuning.SLOW_LATENCY_FRACTION * state.derived_settings.tightest_objective_us
    is_fast = not health.latency_us or (queue.queued_count <= free_slots and latency <= slow_latency)
    if is_fast and not warmup.us_per_unit:
        return None
    us_per_unit = 0.0 if is_fast else latency / max(health.mean_units, tuning.MIN_DIVISOR)
    free_units = (free_slots - 1) * health.mean_units
    return ServiceForecast(now, us_per_unit, concurrency, free_units, warmup)


def _candidate(request: Request, forecast: ServiceForecast) -> Candidate:
    """Return the request as a candidate; one that cannot be in time has the value of a late response."""
    weight = request.priority_weight
    if forecast.earliest_completion(request) > request.objective_at:
        weight *= request.class_spec.late_value_fraction
    return weight, -request.start_tag, -request.sequence, request


def _pop_victim(candidates: list[Candidate]) -> Request:
    """Remove the candidate to be shed first and return its request."""
    return heapq.heappop(candidates)[3]


def shed_load(state: ControllerState, queue: CellQueue, health: BackendHealth, admission: Admission) -> None:
    """End queued requests until all others are forecast to meet their latency objectives."""
    forecast = forecast_service(state, queue, health)
    if forecast is None:
        return
    units_ahead = 0.0
    candidates: list[Candidate] = []  # a heap
    for request in sorted(queue.requests(), key=Request.tag):
        heapq.heappush(candidates, _candidate(request, forecast))
        while request.queued_cell is not None:
            if forecast.completion(request, units_ahead) <= request.objective_at:
                units_ahead += request.units
                break
            victim = _pop_victim(candidates)
            if victim is not request:
                units_ahead -= victim.units
            admission.reject_or_fail(victim)
