"""Decides how much a backend that has just started may get from this instance: slow start."""

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
    """What a backend may get now, in units, and the time in which one more unit is earned."""

    units: float
    us_per_unit: float  # 0: no limit


UNBOUNDED = WarmupAllowance(units=NEVER, us_per_unit=0.0)
"""The allowance of a backend that is warm."""


def warmup_allowance(state: ControllerState, queue: CellQueue, health: BackendHealth) -> WarmupAllowance:
    """Return what remains of this instance's budget at a backend.

    While it warms up, a backend has a budget in every overload window. Retries count, and so does what an
    earlier incarnation of this instance may have sent. A request larger than the budget waits until the
    backend has been idle for as long as the request takes to be earned.
    """
    settings = state.settings
    age = state.now - health.warming_since
    if age >= settings.warmup_us:
        return UNBOUNDED
    window = settings.overload_window_us
    budget = _budget(state, queue, health, age)
    last_sent_at = max(health.sent_units.last_at, health.warming_since, state.started_at)
    earned_while_idle = (state.now - last_sent_at) * budget / window
    sent = health.sent_units.total(state.now - window)
    if earned_while_idle > budget:
        return WarmupAllowance(earned_while_idle, window / budget)
    known_window_fraction = 1.0  # of the window, in which this incarnation knows what was sent
    if health.warming_since < state.started_at:
        known_window_fraction = min(1.0, (state.now - state.started_at) / window)
    return WarmupAllowance(budget * known_window_fraction - sent, window / budget)


def _budget(state: ControllerState, queue: CellQueue, health: BackendHealth, age: int) -> float:
    """Return the budget of an overload window, in units.

    It is the larger of a configured minimum, of which this instance has its quota, and what follows from the
    cell's usual load. Beside another process of the instance, this one has its fraction of the result.
    """
    settings = state.settings
    initial = settings.warmup_initial_fraction
    warmth = initial + (1 - initial) * max(0, age) / settings.warmup_us
    usual_rate = max(queue.usual_load.rate, planned_load(state, queue))
    usual_units = usual_rate * settings.overload_window_us / SECOND
    learnt = usual_units * settings.overload_multiple * warmth * tuning.WARMUP_SAFETY_FACTOR
    instance_quota = state.budgets.quota(api.warmup_budget(health.endpoint.backend))
    minimum = settings.warmup_units / max(1, settings.instances) * instance_quota
    return max(max(minimum, learnt) * state.budgets.process_warmup_quota, tuning.SMALLEST_POSITIVE)


def planned_load(state: ControllerState, queue: CellQueue) -> float:
    """Return the load that the plans let this instance expect in a cell, in units per second.

    The usual rate of each volume is divided between cells in proportion to its requests so far.
    """
    volumes = [(state.volumes.by_name[name], flow) for name, flow in queue.flows.items()]
    return sum(
        volume.plan.usual_rate / volume.instances * flow.arrived_units / volume.arrived_units
        for volume, flow in volumes
        if volume.arrived_units
    )
