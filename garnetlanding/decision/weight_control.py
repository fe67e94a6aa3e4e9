"""Decides the weights of volumes: lower for those that exceed their plan's rate, and the reverse."""

from __future__ import annotations

from garnetlanding.decision import tuning
from garnetlanding.decision.state import ControllerState
from garnetlanding.decision.volume import Volume


def adjusted_weight(volume: Volume, usage_percent: int) -> float:
    """Return the weight for a usage figure, clamped around the weight of the plan."""
    plan_weight = volume.plan.weight
    weight = volume.weight * float((100 / max(usage_percent, 1)) ** tuning.WEIGHT_EXPONENT)
    return min(plan_weight * tuning.MAX_WEIGHT_FACTOR, max(plan_weight / tuning.MAX_WEIGHT_FACTOR, weight))


def run_weight_controller(state: ControllerState) -> None:
    """Adjust the weight of every volume with a new usage figure, and schedule the next run."""
    state.timers.schedule(state.now + tuning.WEIGHT_INTERVAL_US, run_weight_controller, state)
    state.volumes.drop_idle(state.now)
    for name, volume in state.volumes.by_name.items():
        if volume.usage_percent is not None:
            weight = adjusted_weight(volume, volume.usage_percent)
            volume.usage_percent = None
            state.volumes.set_weight(name, weight)
