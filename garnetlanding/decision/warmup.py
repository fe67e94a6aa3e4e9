"""Decides how much this instance may send to a backend that has just started: slow start."""

from __future__ import annotations

from dataclasses import dataclass

from garnetlanding.decision import interface as api
from garnetlanding.decision import tuning
from garnetlanding.decision.backend_health import BackendHealth
from garnetlanding.decision.fair_queue import CellQueue
from garnetlanding.decision.state import ControllerState
from garnetlanding.decision.time_constants import NEVER, SECOND


@dataclass(slots=True, frozen=True)
class WarmupAllowance:
    """The units that may be sent to a backend now, and the time until one more unit is allowed."""

    units: float
    us_per_unit: float  # 0: no limit


UNLIMITED_ALLOWANCE = WarmupAllowance(units=NEVER, us_per_unit=0.0)
"""The allowance of a backend after its warm-up."""


def warmup_allowance(state: ControllerState, queue: CellQueue, health: BackendHealth) -> WarmupAllowance:
    """Return the remainder of this instance's warm-up budget at a backend.

    During its warm-up, a backend has a budget for each overload window. Retries count, and so does what an
    earlier incarnation of this instance may have sent. A request larger than the budget waits until the units
    that accrue while the backend is idle cover it.
    """
    settings = state.settings
    age = state.now - health.warmup_started_at
    if age >= settings.warmup_us:
        return UNLIMITED_ALLOWANCE
    window = settings.overload_window_us
    budget = _budget(state, queue, health, age)
    last_sent_at = max(health.sent_units.last_at, health.warmup_started_at, state.started_at)
    accrued_while_idle = (state.now - last_sent_at) * budget / window
    sent = health.sent_units.total(state.now - window)
    if accrued_while_idle > budget:
        return WarmupAllowance(accrued_while_idle, window / budget)
    known_window_fraction = 1.0  # part of the window since this incarnation started
    if health.warmup_started_at < state.started_at:
        known_window_fraction = min(1.0, (state.now - state.started_at) / window)
    return WarmupAllowance(budget * known_window_fraction - sent, window / budget)


def _budget(state: ControllerState, queue: CellQueue, health: BackendHealth, age: int) -> float:
    """Return the budget for an overload window, in units.

    It is the larger of this instance's quota of the configured minimum and a multiple of the cell's usual
    load. If another process of the instance runs, this process has its fraction of the result.
    """
    settings = state.settings
    initial = settings.warmup_initial_fraction
    warmup_fraction = initial + (1 - initial) * max(0, age) / settings.warmup_us
    usual_rate = max(queue.usual_load.rate, planned_load(state, queue))
    usual_units = usual_rate * settings.overload_window_us / SECOND
    by_usual_load = usual_units * settings.overload_multiple * warmup_fraction * tuning.WARMUP_SAFETY_FACTOR
    instance_quota = state.budgets.quota(api.warmup_budget_name(health.endpoint.backend))
    minimum = settings.warmup_units / max(1, settings.instances) * instance_quota
    return max(max(minimum, by_usual_load) * state.budgets.process_warmup_quota, tuning.MIN_DIVISOR)


def planned_load(state: ControllerState, queue: CellQueue) -> float:
    """Return the load of a cell that this instance expects by the plans, in units per second.

    The usual rate of each volume is divided between cells in proportion to its units queued so far.
    """
    volumes = [(state.volumes.by_name[name], flow) for name, flow in queue.flows.items()]
    return sum(
        volume.plan.usual_rate / volume.instances * flow.arrived_units / volume.arrived_units
        for volume, flow in volumes
        if volume.arrived_units
    )
