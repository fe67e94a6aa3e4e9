"""The report of a run's check: measurements and violated invariants."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class InvariantViolation:
    """One violation. Its text in result.json and on the command line is `LABEL: DETAIL`."""

    label: str
    detail: str

    def __str__(self) -> str:
        return f"{self.label}: {self.detail}"


@dataclass(slots=True)
class InvariantReport:
    """The measurements and violations of a run. Quotas and loads are fractions of the whole."""

    requests: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    attempts: int = 0
    limit_overshoot_units: float = 0.0  # how far a volume's token bucket fell below 0 at most
    limit_use: float = 0.0  # units sent, as a fraction of all that the volumes' limits allowed
    quota_sum_max: float = 0.0  # greatest sum of one volume's quotas over its instances, at any time
    duplicate_quota_sum_max: float = 0.0  # the same, while a duplicate identity may be undetected
    even_quota_sum_max: float = 0.0  # greatest sum of the instances' even quotas of shared limits
    incarnations: dict[str, int] = field(default_factory=dict)  # number of starts of each instance
    suspicions: int = 0  # how often an instance began to suspect a backend on its peers' evidence
    suspicions_unfounded: int = 0  # of these, the ones about backends without a fault
    warming_load_max: float = 0.0  # greatest load of a cold backend, as a fraction of what it can take
    backend_connections_max: int = 0  # concurrent connections of all instances at one backend
    connections_at_end: int = 0  # of all instances to all backends, after the last request's outcome
    settings_age_max_us: int = 0  # longest use of settings after newer ones had been created
    audited_attempts: int = 0  # attempts whose settings were compared with the audit
    violations: list[InvariantViolation] = field(default_factory=list)

    @property
    def passed(self) -> bool:
        """Whether every invariant held."""
        return not self.violations
