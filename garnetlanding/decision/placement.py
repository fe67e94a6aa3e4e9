"""Decides which backend serves a cell, and in which cell a new object is placed."""

from garnetlanding.decision import interface as api
from garnetlanding.decision import tuning
from garnetlanding.decision.attempt_rules import may_attempt
from garnetlanding.decision.backend_health import BackendHealth
from garnetlanding.decision.concurrency import concurrency_limit
from garnetlanding.decision.fair_queue import CellQueue
from garnetlanding.decision.requests import Request
from garnetlanding.decision.state import ControllerState


def newest_up(endpoints: dict[str, api.Endpoint]) -> dict[int, api.Endpoint]:
    """Return, by cell, the listed endpoint that is up; of several, the one that started last."""
    newest: dict[int, api.Endpoint] = {}
    for endpoint in endpoints.values():
        if endpoint.state is not api.EndpointState.UP:
            continue
        best = newest.get(endpoint.cell)
        if best is None or best.started_us < endpoint.started_us:
            newest[endpoint.cell] = endpoint
    return newest


def place(state: ControllerState, request: Request) -> CellQueue | None:
    """Return the cell for a new object, or None if no backend may get an attempt now.

    The cell with the least expected wait is chosen, weighted by errors; backends that warm up come last. The
    choice is final for the object: its retries and its readers go to the same cell.
    """

    def cost(choice: tuple[CellQueue, BackendHealth]) -> tuple[bool, float]:
        queue, health = choice
        wait = _expected_wait(state, queue, health) * state.rng.uniform(*tuning.PLACEMENT_JITTER)
        success_rate = max(tuning.SUCCESS_RATE_FLOOR, 1 - health.error_rate)
        return state.is_warming_up(health), wait / success_rate**tuning.SUCCESS_RATE_EXPONENT

    choices = [
        (queue, queue.health)
        for queue in state.cells.queues.values()
        if queue.health and may_attempt(state, request, queue.health)
    ]
    return min(choices, key=cost)[0] if choices else None


def _expected_wait(state: ControllerState, queue: CellQueue, health: BackendHealth) -> float:
    """Return the expected time until a response, in microseconds.

    The latency of the backend counts less the older it is, and the mean of all backends the more: one slow
    response must not exclude a backend for ever, and a backend without measurements is not slow.
    """
    mean = state.statistics.mean_latency_us
    confidence = health.latency_confidence(state.now) if health.latency_us else 0.0
    latency = mean + (health.latency_us - mean) * confidence
    return latency * (1 + (health.in_flight + queue.queued) / concurrency_limit(state, health))
