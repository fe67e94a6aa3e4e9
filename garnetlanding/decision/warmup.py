"""Slow start: how much a backend that has just started may get from this instance. Arithmetic only."""

from __future__ import annotations

from dataclasses import dataclass

from garnetlanding.decision import interface as api
from garnetlanding.decision import tuning
from garnetlanding.decision.backend_health import BackendHealth
from garnetlanding.decision.fair_queue import CellQueue
from garnetlanding.decision.state import ControllerState
from garnetlanding.decision.units import NEVER, SECOND


@dataclass(slots=True, frozen=True)
class WarmupAllowance:
    """What a backend may get now, in units, and how long another unit takes to earn, in microseconds."""

    units: float
    us_per_unit: float


UNBOUNDED = WarmupAllowance(units=NEVER, us_per_unit=0.0)
"""The allowance of a backend that is warm."""


def warmup_allowance(state: ControllerState, queue: CellQueue, health: BackendHealth) -> WarmupAllowance:
    """Return what is left of this instance's budget at a backend.

    While it warms up, a backend gets a budget in every overload window, with retries and what an earlier
    incarnation of this instance sent. A request larger than the budget waits as long as it takes up.
    """
    settings = state.settings
    age = state.now - health.warming_since
    if age >= settings.warmup_us:
        return UNBOUNDED
    window = settings.overload_window_us
    budget = _budget(state, queue, health, age)
    last_sent_at = max(health.sent_units.last_at, health.warming_since, state.started_at)
    idle = (state.now - last_sent_at) * budget / window
    spent = health.sent_units.total(state.now - window)
    if idle > budget:
        return WarmupAllowance(idle, window / budget)
    lived = 1.0  # the part of the window in which this incarnation knows what it has sent
    if health.warming_since < state.started_at:
        lived = min(1.0, (state.now - state.started_at) / window)
    return WarmupAllowance(budget * lived - spent, window / budget)


def _budget(state: ControllerState, queue: CellQueue, health: BackendHealth, age: int) -> float:
    """Return the units within an overload window: a set amount, or more by the usual load of the cell.

    Of the set amount this instance has its share among all instances; of the result, this process has its
    share beside the other process of an upgrade.
    """
    settings = state.settings
    initial = settings.warmup_initial_fraction
    warmth = initial + (1 - initial) * max(0, age) / settings.warmup_us
    usual = max(queue.usual_load.rate, planned_load(state, queue))
    usual_units = usual * settings.overload_window_us / SECOND
    learnt = usual_units * settings.overload_multiple * warmth * tuning.WARMUP_SAFETY
    instance_quota = state.budget_quota(api.warmup_budget(health.endpoint.backend))
    least = settings.warmup_units / max(1, settings.instances) * instance_quota
    return max(max(least, learnt) * state.process_warmup_quota, 1e-9)


def planned_load(state: ControllerState, queue: CellQueue) -> float:
    """Return the units a second that the plans let this instance expect in a cell.

    Each volume's usual rate is divided by where its requests have gone so far.
    """
    volumes = [(state.volumes[name], flow) for name, flow in queue.flows.items()]
    return sum(
        volume.plan.usual_rate / volume.instances * flow.arrived_units / volume.arrived_units
        for volume, flow in volumes
        if volume.arrived_units
    )
