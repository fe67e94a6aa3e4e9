"""The `[audit]` section of an operator's file."""

from __future__ import annotations

from dataclasses import dataclass

from garnetlanding.audit.limits import LIMITS, SECOND, AuditLimits
from garnetlanding.config.section import Section

DAY_US = 24 * 3600 * SECOND


@dataclass(frozen=True, slots=True)
class AuditSetup:
    folder: str
    sync: bool = False  # each record waits for the disk
    limits: AuditLimits = LIMITS


def read(data: object) -> AuditSetup:
    """Raises ConfigError."""
    section = Section(data, "audit", "folder sync checkpoint_s segment_kb total_mb age_days")
    sync = section.raw("sync") if section.has("sync") else False
    if not isinstance(sync, bool):
        raise section.error("sync", f"expected true or false, found {sync!r:.40}")
    return AuditSetup(
        section.text("folder"),
        sync,
        AuditLimits(
            checkpoint_us=int(
                section.number("checkpoint_s", 0.1, LIMITS.checkpoint_us / SECOND, 3600) * SECOND
            ),
            segment_bytes=int(section.number("segment_kb", 1, LIMITS.segment_bytes >> 10, 1 << 20)) << 10,
            total_bytes=int(section.number("total_mb", 1, LIMITS.total_bytes >> 20, 1 << 20)) << 20,
            age_us=int(section.number("age_days", 1 / 1440, LIMITS.age_us / DAY_US, 3650) * DAY_US),
        ),
    )
