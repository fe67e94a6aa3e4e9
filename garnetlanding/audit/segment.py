"""A decoded segment of the audit."""

from __future__ import annotations

from dataclasses import dataclass, field

from garnetlanding.audit.records import Payload

HASH_BYTES = 16
"""Size of the hash that chains a record to the previous one."""
FIRST_HASH = bytes(HASH_BYTES)
"""Stands for the hash of the record before an incarnation's first one."""


@dataclass(slots=True)
class Segment:
    """The contents of one segment file."""

    instance: str
    incarnation: int
    number: int
    previous_hash: bytes
    """Hash of the last record of the previous segment."""
    records: list[Payload] = field(default_factory=list)
    last_hash: bytes = FIRST_HASH
    """Hash of the last record."""
    torn_at: int | None = None
    """Offset of a record that is cut short by the end of the file; `None` if there is none."""
