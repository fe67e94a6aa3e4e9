"""What one segment file of the audit holds, once it is decoded."""

from __future__ import annotations

from dataclasses import dataclass, field

from garnetlanding.audit.records import Payload

HASH_BYTES = 16
FIRST_HASH = bytes(HASH_BYTES)  # of the record before the first


@dataclass(slots=True)
class Segment:
    """What one segment file holds."""

    instance: str
    incarnation: int
    number: int
    previous_hash: bytes
    """Hash of the last record of the segment before."""
    records: list[Payload] = field(default_factory=list)
    last_hash: bytes = FIRST_HASH
    """Hash of the last record."""
    torn_at: int | None = None
    """Offset of a record that is cut short by the end of the file; `None` where the file ends well."""
