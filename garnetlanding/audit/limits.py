"""Every size, count and time limit of the audit."""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000
"""A millisecond in microseconds."""
SECOND = 1_000_000
"""A second in microseconds."""


@dataclass(frozen=True, slots=True)
class AuditLimits:
    """Times are in microseconds, sizes in bytes."""

    checkpoint_us: int = 10 * SECOND
    """Interval between records while no version changes."""
    segment_bytes: int = 1 << 20
    """Size from which on a new segment is begun."""
    total_bytes: int = 64 << 20
    """Size of all segments of an instance; beyond it the oldest are deleted."""
    age_us: int = 30 * 24 * 3600 * SECOND
    """Age by the wall clock from which on a segment is deleted, counted from its last record."""
    record_bytes: int = 64 << 10
    """Size beyond which a record is corrupt."""
    gap_checkpoints: float = 2.5
    """Checkpoint intervals without a record after which an instance counts as having stalled."""


LIMITS = AuditLimits()
