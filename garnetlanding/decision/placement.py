"""Which backend serves a cell, and which cell a new object is written to."""

from garnetlanding.decision import interface as api
from garnetlanding.decision import tuning
from garnetlanding.decision.attempt_rules import may_attempt
from garnetlanding.decision.backend_health import BackendHealth
from garnetlanding.decision.concurrency import concurrency_limit
from garnetlanding.decision.fair_queue import CellQueue
from garnetlanding.decision.requests import Request
from garnetlanding.decision.state import ControllerState


def newest_up(endpoints: dict[str, api.Endpoint]) -> dict[int, api.Endpoint]:
    """Return the listed endpoint of each cell that is up; of several, the last to start."""
    newest: dict[int, api.Endpoint] = {}
    for endpoint in endpoints.values():
        if endpoint.state is not api.EndpointState.UP:
            continue
        best = newest.get(endpoint.cell)
        if best is None or best.started_us < endpoint.started_us:
            newest[endpoint.cell] = endpoint
    return newest


def place(state: ControllerState, request: Request) -> CellQueue | None:
    """Return the cell for a new object: the one with the quickest sound backend; None: there is none now.

    The choice binds the object's retries and its readers. Backends that warm up come last.
    """

    def cost(choice: tuple[CellQueue, BackendHealth]) -> tuple[bool, float]:
        queue, health = choice
        wait = _expected_wait(state, queue, health) * state.rng.uniform(0.9, 1.1)
        return state.is_warming_up(health), wait / max(0.05, 1 - health.error_rate) ** 2

    choices = [
        (queue, queue.health)
        for queue in state.cells.values()
        if queue.health and may_attempt(state, request, queue.health)
    ]
    return min(choices, key=cost)[0] if choices else None


def _expected_wait(state: ControllerState, queue: CellQueue, health: BackendHealth) -> float:
    """Return the time until an answer there, in microseconds.

    A backend that was slow once is not slow for good, and one not yet tried is not slow at all: the less
    recent its latency, the more the mean of all backends counts.
    """
    mean = state.statistics.mean_latency_us
    certainty = 0.0
    if health.latency_us:
        certainty = float(0.5 ** ((state.now - health.answered_at) / tuning.LATENCY_HALF_LIFE))
    latency = mean + (health.latency_us - mean) * certainty
    return latency * (1 + (health.in_flight + queue.queued) / concurrency_limit(state, health))
