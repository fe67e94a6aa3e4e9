"""The `[audit]` section of an operator's file."""

from __future__ import annotations

from dataclasses import dataclass

from garnetlanding.audit.limits import LIMITS, SECOND, AuditLimits
from garnetlanding.config.section import Section

_DAY_US = 24 * 3600 * SECOND
_DAYS_PER_MINUTE = 1 / 1440


@dataclass(frozen=True, slots=True)
class AuditSetup:
    """Configuration of an instance's audit."""

    folder: str
    sync: bool = False
    """Whether each record is flushed to disk with fsync."""
    limits: AuditLimits = LIMITS


def read(data: object) -> AuditSetup:
    """Parse the section. Raises `ConfigError`, which names the invalid key."""
    section = Section(data, "audit", "folder sync checkpoint_s segment_kb total_mb age_days")
    sync = _read_sync(section)
    folder = section.text("folder")
    return AuditSetup(folder, sync, _read_limits(section))


def _read_sync(section: Section) -> bool:
    sync = section.raw("sync") if section.has("sync") else False
    if not isinstance(sync, bool):
        raise section.error("sync", f"expected true or false, found {sync!r:.40}")
    return sync


def _read_limits(section: Section) -> AuditLimits:
    checkpoint_s = section.number("checkpoint_s", 0.1, LIMITS.checkpoint_us / SECOND, 3600)
    segment_kb = section.number("segment_kb", 1, LIMITS.segment_bytes >> 10, 1 << 20)
    total_mb = section.number("total_mb", 1, LIMITS.total_bytes >> 20, 1 << 20)
    age_days = section.number("age_days", _DAYS_PER_MINUTE, LIMITS.age_us / _DAY_US, 3650)
    return AuditLimits(
        checkpoint_us=int(checkpoint_s * SECOND),
        segment_bytes=int(segment_kb) << 10,
        total_bytes=int(total_mb) << 20,
        age_us=int(age_days * _DAY_US),
    )
