"""What the check of a run found: measurements, and the invariants that were violated."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class InvariantViolation:
    """One violation. Its text, `LABEL: DETAIL`, is that of result.json and of the command line."""

    label: str
    detail: str

    def __str__(self) -> str:
        return f"{self.label}: {self.detail}"


@dataclass(slots=True)
class InvariantReport:
    """What the histories of a run show. Quotas and loads are fractions of the whole."""

    requests: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    attempts: int = 0
    limit_overshoot_units: float = 0.0  # that a volume's token bucket fell below 0 by, at the worst moment
    limit_use: float = 0.0  # the part sent of all that the volumes could have had
    quota_sum_max: float = 0.0  # greatest sum of one volume's quotas over its instances, at any time
    duplicate_quota_sum_max: float = 0.0  # the same, while a duplicate identity may still be unnoticed
    even_quota_sum_max: float = 0.0  # greatest sum of the instances' even quotas of what all share
    incarnations: dict[str, int] = field(default_factory=dict)  # how often each instance started
    suspicions: int = 0  # times that an instance began to suspect a backend on its peers' evidence
    suspicions_unfounded: int = 0  # of them, of backends that no fault had struck
    warming_load_max: float = 0.0  # greatest load of a cold backend, as a fraction of what it bears
    backend_connections_max: int = 0  # of all instances at one backend, at once
    connections_at_end: int = 0  # of all instances to all backends, once the last request was answered
    settings_age_max_us: int = 0  # the longest that settings were used after newer ones had been made
    audited_attempts: int = 0  # whose settings the audit was asked for
    violations: list[InvariantViolation] = field(default_factory=list)

    @property
    def passed(self) -> bool:
        """Whether every invariant held."""
        return not self.violations
