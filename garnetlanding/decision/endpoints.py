"""The endpoint list, and the records of the backends that serve the cells by it."""

from __future__ import annotations

from garnetlanding.decision import interface as api
from garnetlanding.decision import tuning
from garnetlanding.decision.backend_health import BackendHealth
from garnetlanding.decision.estimators import SlidingWindowSum
from garnetlanding.decision.fair_queue import CellQueue
from garnetlanding.decision.placement import newest_up
from garnetlanding.decision.state import ControllerState
from garnetlanding.decision.units import LONG_AGO


def apply_update(state: ControllerState, update: api.EndpointListUpdate) -> None:
    """Take up a list, or changes of it, that did not fail; all cells are looked at in this call."""
    endpoints = {} if update.complete else state.endpoints
    endpoints = endpoints | {endpoint.backend: endpoint for endpoint in update.entries}
    gone = api.EndpointState.GONE
    state.endpoints = {
        backend: endpoint for backend, endpoint in endpoints.items() if endpoint.state is not gone
    }
    state.disabled_cells = {endpoint.cell for endpoint in state.endpoints.values() if endpoint.admin_disabled}
    up = newest_up(state.endpoints)
    without_backend = [cell for cell in state.cells if cell not in up]
    for cell in [*up, *without_backend]:
        _set_backend(state, state.cell_queue(cell), up.get(cell))


def _set_backend(state: ControllerState, queue: CellQueue, endpoint: api.Endpoint | None) -> None:
    """Have a cell served by that backend from now on, or by none; a new process starts afresh."""
    state.mark_pending(queue)
    if endpoint is None:
        queue.health = None
        return
    old = queue.health.endpoint if queue.health else None
    if old is None or (old.backend, old.started_us) != (endpoint.backend, endpoint.started_us):
        served = SlidingWindowSum(tuning.COMPLETION_WINDOW)
        sent_units = SlidingWindowSum(state.settings.overload_window_us)
        queue.health = BackendHealth(endpoint, endpoint.started_us or LONG_AGO, served, sent_units)
        if state.is_warming_up(queue.health):
            # This text stands on the simulator's wire and in the operators' pages.
            state.log(f"node {endpoint.backend} is cold")
