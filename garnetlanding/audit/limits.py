"""Every size, count and time limit of the audit, and units of time."""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000
"""A millisecond in microseconds."""
SECOND = 1_000_000
"""A second in microseconds."""
MS_PER_SECOND = 1_000
"""Milliseconds in a second, for wall times."""


@dataclass(frozen=True, slots=True)
class AuditLimits:
    """Times are in microseconds, sizes in bytes."""

    checkpoint_us: int = 10 * SECOND
    """Interval between records while no version changes."""
    segment_bytes: int = 1 << 20
    """Size at which the writer starts a new segment."""
    total_bytes: int = 64 << 20
    """Maximum total size of an instance's segments; the oldest are deleted to stay below it."""
    age_us: int = 30 * 24 * 3600 * SECOND
    """Maximum age of a segment by the wall clock, counted from its last record."""
    record_bytes: int = 64 << 10
    """Length above which a record that cannot be decoded is corrupt rather than cut short."""
    gap_checkpoints: float = 2.5
    """Number of checkpoint intervals without a record after which an instance is considered stalled."""


LIMITS = AuditLimits()
