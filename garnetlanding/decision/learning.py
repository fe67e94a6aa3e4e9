"""Records the result of an attempt in the measurements of its backend and in the shared statistics."""

from __future__ import annotations

from garnetlanding.decision import interface as api
from garnetlanding.decision import tuning
from garnetlanding.decision.backend_health import BackendHealth
from garnetlanding.decision.interface import Outcome
from garnetlanding.decision.requests import Attempt, Request
from garnetlanding.decision.state import ControllerState


def record_result(state: ControllerState, request: Request, attempt: Attempt, result: api.Result) -> None:
    """Update all measurements by the result of an attempt, whose outcome has been set before."""
    health = attempt.health
    latency = result.duration_us / health.relative_size(request.units)
    in_flight = health.in_flight
    attempt.release_slot()
    if result.outcome in (Outcome.SERVED, Outcome.ERROR, Outcome.FULL):
        health.last_response_at = state.now
        health.consecutive_connect_failures = 0
    if result.outcome in (Outcome.SERVED, Outcome.ERROR):
        is_error = result.outcome is Outcome.ERROR
        health.error_rate += (is_error - health.error_rate) * tuning.LATENCY_GAIN
    if result.outcome is Outcome.SERVED:
        _record_served(state, request, attempt, latency)
    elif result.outcome is Outcome.TIMEOUT:
        fault_probability = state.statistics.fault_probability(in_flight)
        state.statistics.record_loss()
        _record_latency(state, health, request.units, latency * fault_probability)
    elif result.outcome is Outcome.UNREACHABLE:
        _record_connect_failure(state, health)
    elif result.outcome is Outcome.FULL:
        _record_rejection(state, request, health)


def _record_served(state: ControllerState, request: Request, attempt: Attempt, latency: float) -> None:
    health = attempt.health
    is_hedge_win = any(
        other.outcome is None and other.sent_at < attempt.sent_at for other in request.attempts
    )
    if is_hedge_win:
        state.budgets.hedges.record_win()
    state.statistics.record_response(latency, is_hedge_win=is_hedge_win)
    health.served.add(state.now)
    health.consecutive_rejections = 0
    if not state.is_warming_up(health):
        usual_load = state.cells.queues[attempt.cell].usual_load
        usual_load.add(state.now, request.units, tuning.USUAL_LOAD_TIME_CONSTANT_US)
    _record_latency(state, health, request.units, latency)


def _record_connect_failure(state: ControllerState, health: BackendHealth) -> None:
    health.consecutive_connect_failures += 1
    objective_us = state.derived_settings.tightest_objective_us
    unresponsive_at = health.last_response_at + tuning.UNRESPONSIVE_OBJECTIVES * objective_us
    if health.consecutive_connect_failures >= tuning.CRASH_CONNECT_FAILURES and state.now > unresponsive_at:
        # An unresponsive backend that refuses connections has probably crashed. It is treated as restarted,
        # because the endpoint list may not report the restart.
        health.warmup_started_at = state.now


def _record_rejection(state: ControllerState, request: Request, health: BackendHealth) -> None:
    # Only the first rejection of each request counts: a backend may reject one particular request repeatedly,
    # while a full queue rejects all requests.
    rejections = sum(attempt.outcome is Outcome.FULL for attempt in request.attempts)
    if rejections == 1:
        health.consecutive_rejections += 1
    if health.consecutive_rejections >= tuning.FULL_QUEUE_REJECTIONS or not health.latency_us:
        # The queue counts as full: a request in it would be late.
        objective_us = state.derived_settings.tightest_objective_us
        _record_latency(state, health, request.units, tuning.FULL_QUEUE_LATENCY_OBJECTIVES * objective_us)


def _record_latency(state: ControllerState, health: BackendHealth, units: float, latency: float) -> None:
    health.record_latency(state.now, units, latency, state.derived_settings.tightest_objective_us)
