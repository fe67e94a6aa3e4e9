"""Decides which backend serves a cell, and in which cell a new object is created."""

from garnetlanding.decision import interface as api
from garnetlanding.decision import tuning
from garnetlanding.decision.attempt_rules import may_attempt
from garnetlanding.decision.backend_health import BackendHealth
from garnetlanding.decision.concurrency import concurrency_limit
from garnetlanding.decision.fair_queue import CellQueue
from garnetlanding.decision.requests import Request
from garnetlanding.decision.state import ControllerState


def newest_up_endpoints(endpoints: dict[str, api.Endpoint]) -> dict[int, api.Endpoint]:
    """Return, by cell, the endpoint that is up, or the one that started last if there are several."""
    newest: dict[int, api.Endpoint] = {}
    for endpoint in endpoints.values():
        if endpoint.state is not api.EndpointState.UP:
            continue
        best = newest.get(endpoint.cell)
        if best is None or best.started_us < endpoint.started_us:
            newest[endpoint.cell] = endpoint
    return newest


def choose_cell(state: ControllerState, request: Request) -> CellQueue | None:
    """Return the queue of the cell for a new object, or None if no backend may be attempted now.

    The cell with the shortest expected wait, weighted by errors, is chosen; cells whose backends are warming
    up come last. The choice is permanent: retries and later reads of the object go to the same cell.
    """

    def cost(candidate: tuple[CellQueue, BackendHealth]) -> tuple[bool, float]:
        queue, health = candidate
        wait = _expected_wait(state, queue, health) * state.rng.uniform(*tuning.PLACEMENT_JITTER)
        success_rate = max(tuning.SUCCESS_RATE_FLOOR, 1 - health.error_rate)
        return state.is_warming_up(health), wait / success_rate**tuning.SUCCESS_RATE_EXPONENT

    candidates = [
        (queue, queue.health)
        for queue in state.cells.queues.values()
        if queue.health and may_attempt(state, request, queue.health)
    ]
    return min(candidates, key=cost)[0] if candidates else None


def _expected_wait(state: ControllerState, queue: CellQueue, health: BackendHealth) -> float:
    """Return the expected time until a response, in microseconds.

    As the backend's latency average gets older, the mean of all backends replaces it, so that one slow
    response does not exclude a backend forever. A backend without measurements counts as average.
    """
    mean = state.statistics.mean_latency_us
    confidence = health.latency_confidence(state.now) if health.latency_us else 0.0
    latency = mean + (health.latency_us - mean) * confidence
    return latency * (1 + (health.in_flight + queue.queued_count) / concurrency_limit(state, health))
