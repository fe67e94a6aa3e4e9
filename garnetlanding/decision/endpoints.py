"""Applies updates of the endpoint list to the cells."""

from __future__ import annotations

from garnetlanding.decision import interface as api
from garnetlanding.decision import tuning
from garnetlanding.decision.backend_health import BackendHealth
from garnetlanding.decision.estimators import SlidingWindowSum
from garnetlanding.decision.fair_queue import CellQueue
from garnetlanding.decision.placement import newest_up_endpoints
from garnetlanding.decision.state import ControllerState
from garnetlanding.decision.time_constants import LONG_AGO


def apply_update(state: ControllerState, update: api.EndpointListUpdate) -> None:
    """Replace or change the endpoint list, and request a dispatch pass over the queue of every cell."""
    cells = state.cells
    endpoints = {} if update.complete else cells.endpoints
    endpoints = endpoints | {endpoint.backend: endpoint for endpoint in update.entries}
    gone = api.EndpointState.GONE
    cells.replace_endpoints(
        {backend: endpoint for backend, endpoint in endpoints.items() if endpoint.state is not gone}
    )
    up = newest_up_endpoints(cells.endpoints)
    without_backend = [cell for cell in cells.queues if cell not in up]
    for cell in [*up, *without_backend]:
        _set_backend(state, cells.queue(cell), up.get(cell))


def _set_backend(state: ControllerState, queue: CellQueue, endpoint: api.Endpoint | None) -> None:
    """Set the backend that serves a cell, or none; a new backend process has no measurements yet."""
    state.cells.mark_pending(queue)
    if endpoint is None:
        queue.health = None
        return
    previous = queue.health.endpoint if queue.health else None
    if previous is None or _process_id(previous) != _process_id(endpoint):
        served = SlidingWindowSum(tuning.COMPLETION_WINDOW_US)
        sent_units = SlidingWindowSum(state.settings.overload_window_us)
        queue.health = BackendHealth(endpoint, endpoint.started_us or LONG_AGO, served, sent_units)
        if state.is_warming_up(queue.health):
            # The text is part of the simulator's protocol and quoted in the operators' documentation.
            state.actions.log(f"node {endpoint.backend} is cold")


def _process_id(endpoint: api.Endpoint) -> tuple[str, int]:
    """Return what identifies a backend process: its name and its start."""
    return endpoint.backend, endpoint.started_us
