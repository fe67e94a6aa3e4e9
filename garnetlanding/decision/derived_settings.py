"""Values derived from the settings, computed once per change of the settings."""

from __future__ import annotations

from dataclasses import dataclass

from garnetlanding.decision import interface as api
from garnetlanding.decision import tuning


@dataclass(slots=True, frozen=True)
class DerivedSettings:
    """Values derived from the settings."""

    tightest_objective_us: int  # the shortest latency objective of all classes
    highest_priority_weight: float  # of all classes and plans
    contention: float  # 0 to 1: overload of a backend when all instances use their concurrency floors

    @classmethod
    def derive(cls, settings: api.Settings) -> DerivedSettings:
        """Compute the values for these settings."""
        classes = settings.classes.values()
        tightest_objective_us = min(spec.latency_objective_us for spec in classes)
        highest_weight_factor = max(plan.priority_weight_factor for plan in settings.plans.values())
        highest_priority_weight = max(spec.priority_weight for spec in classes) * highest_weight_factor
        contention = max(0.0, 1 - tuning.CONCURRENCY_FLOOR / max(1, settings.instances))
        return cls(tightest_objective_us, highest_priority_weight, contention)
