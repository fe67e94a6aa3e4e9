"""Decides the weights of volumes: one that uses more than its plan's rate loses weight, and the reverse."""

from __future__ import annotations

from garnetlanding.decision import tuning
from garnetlanding.decision.state import ControllerState
from garnetlanding.decision.volume import Volume


def adjusted_weight(volume: Volume, usage_percent: int) -> float:
    """Return the weight that follows from a usage figure, within bounds around the plan's weight."""
    planned = volume.plan.weight
    weight = volume.weight * float((100 / max(usage_percent, 1)) ** tuning.WEIGHT_GAIN)
    return min(planned * tuning.WEIGHT_CLAMP, max(planned / tuning.WEIGHT_CLAMP, weight))


def run_weight_controller(state: ControllerState) -> None:
    """Adjust the weight of every volume with a new usage figure, and schedule the next run."""
    state.timers.schedule(state.now + tuning.WEIGHT_INTERVAL, run_weight_controller, state)
    state.volumes.drop_idle(state.now)
    for name, volume in state.volumes.by_name.items():
        if volume.usage_percent is not None:
            weight = adjusted_weight(volume, volume.usage_percent)
            volume.usage_percent = None
            state.volumes.set_weight(name, weight)
