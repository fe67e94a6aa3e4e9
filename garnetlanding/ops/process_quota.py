"""What part of a head's bounds each of its processes keeps to while a new version takes over. No I/O.

At no moment do the parts add up to more than 1: an elder lowers its own before it says so, and a newer
process takes no more than the elders' words leave.
"""

from __future__ import annotations

import json
import zlib
from collections.abc import Iterable
from dataclasses import dataclass

VERSION = 1
RECORD_BYTES = 256  # of a word on disk: always rewritten whole
UPGRADE_SHARE = 0.5
HEADROOM = 1.25  # an elder keeps so much more than it uses: what it has taken must be able to finish
MIN_ENDING_SHARE = 0.125  # and, when it ends, no less than this


@dataclass(frozen=True, slots=True)
class ProcessRecord:
    """What one process has said: when it started (ns, monotonic, one clock for all) and its part."""

    started_ns: int
    share: float


UNREADABLE_RECORD = ProcessRecord(
    0, UPGRADE_SHARE
)  # of a process that lives, whatever its version: an elder that has come down


def encode(name: str, word: ProcessRecord) -> bytes:
    body = json.dumps(
        {"version": VERSION, "name": name, "started": word.started_ns, "part": word.share}
    ).encode()
    return (b"%08x %s" % (zlib.crc32(body), body)).ljust(RECORD_BYTES - 1) + b"\n"


def decode(name: str, data: bytes) -> ProcessRecord | None:
    """None for what cannot be read, or is another head's."""
    check, _, rest = data.partition(b" ")
    body = rest.strip()
    if check != b"%08x" % zlib.crc32(body):
        return None
    match json.loads(body):
        case {
            "version": int() as version,
            "name": str() as head,
            "started": int() as started,
            "part": int() | float() as part,
        } if version == VERSION and head == name and 0 <= part <= 1:
            return ProcessRecord(started, part)
    return None


def next_share(mine: ProcessRecord, others: Iterable[ProcessRecord], used: float, ending: bool) -> float:
    """The part to keep to from now on; `used` is the part of the bounds in use."""
    others = list(others)
    elders = sum(word.share for word in others if word.started_ns < mine.started_ns)
    newer = any(word.started_ns >= mine.started_ns for word in others)
    free = max(0.0, 1.0 - elders)
    if not newer:
        return free
    return min(mine.share, free, max(used * HEADROOM, MIN_ENDING_SHARE if ending else UPGRADE_SHARE))
