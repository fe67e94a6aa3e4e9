"""The weight controller: a volume that gets more than the rate of its plan loses weight, and the reverse."""

from __future__ import annotations

from garnetlanding.decision import tuning
from garnetlanding.decision.requests import Volume
from garnetlanding.decision.state import ControllerState


def adjusted_weight(volume: Volume, usage_percent: int) -> float:
    """Return the weight that follows from a new usage figure, in bounds around the plan's weight."""
    planned = volume.plan.weight
    weight = volume.weight * float((100 / max(usage_percent, 1)) ** tuning.WEIGHT_GAIN)
    return min(planned * tuning.WEIGHT_CLAMP, max(planned / tuning.WEIGHT_CLAMP, weight))


def run_weight_controller(state: ControllerState) -> None:
    """Take one step, and schedule the next; a volume without a new figure keeps its weight."""
    state.schedule(state.now + tuning.WEIGHT_INTERVAL, run_weight_controller, state)
    state.forget_idle_volumes()
    for name, volume in state.volumes.items():
        if volume.usage_percent is not None:
            weight = adjusted_weight(volume, volume.usage_percent)
            volume.usage_percent = None
            state.set_weight(name, weight)
