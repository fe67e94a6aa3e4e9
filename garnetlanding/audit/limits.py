"""Every size, count and time limit of the audit."""

from __future__ import annotations

from dataclasses import dataclass

MS, SECOND = 1_000, 1_000_000


@dataclass(frozen=True, slots=True)
class AuditLimits:
    """Times are microseconds, sizes bytes."""

    checkpoint_us: int = 10 * SECOND  # between records while nothing changes
    segment_bytes: int = 1 << 20  # after which another one is begun
    total_bytes: int = 64 << 20  # of all segments; the oldest are dropped first
    age_us: int = 30 * 24 * 3600 * SECOND  # and those whose last record is older, by the wall clock
    record_bytes: int = 64 << 10  # a longer one is damage
    gap_checkpoints: float = 2.5  # a head silent for so many checkpoints stood still, or was not there


LIMITS = AuditLimits()
