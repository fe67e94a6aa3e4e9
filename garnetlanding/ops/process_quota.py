"""How two processes of one instance share its bounds while a new version takes over. No I/O.

Each process holds a quota share between 0 and 1 of every bound (connections, buffers, requests) and
publishes it in a record that the others read. Invariant: the shares in force never add up to more than 1. It
holds because a predecessor lowers its share before it publishes the lower one, and a successor takes no more
than the published shares of its predecessors leave.

A record on disk is RECORD_BYTES long: the CRC-32 of its body in hexadecimal, a space, the body
`{"version": 1, "name": "n1", "started": 123, "part": 0.5}`, spaces, and a line end. It is always written
whole, by one write, so that a reader sees the old or the new one or a checksum that does not hold.
"""

from __future__ import annotations

import json
import zlib
from collections.abc import Iterable
from dataclasses import dataclass

VERSION = 1
RECORD_BYTES = 256
UPGRADE_SHARE = 0.5  # a predecessor comes down to this beside a successor, if it uses no more
HEADROOM = 1.25  # times what a predecessor uses, it keeps: what it has admitted must be able to finish
MIN_ENDING_SHARE = 0.125  # a predecessor that is ending keeps at least this


@dataclass(frozen=True, slots=True)
class ProcessRecord:
    """What one process publishes: its quota share, and when it started.

    `started_ns` is of the monotonic clock, which all processes of a machine have in common; of two
    processes, the one with the greater value is the successor.
    """

    started_ns: int
    share: float


# What counts for a process that is alive and whose record cannot be read, whatever its version: a
# predecessor (nothing starts earlier than 0) that has come down already.
UNREADABLE_RECORD = ProcessRecord(0, UPGRADE_SHARE)


def encode(name: str, record: ProcessRecord) -> bytes:
    """Return a record's bytes for a process of the instance of this name."""
    fields = {"version": VERSION, "name": name, "started": record.started_ns, "part": record.share}
    body = json.dumps(fields).encode()
    return (b"%08x %s" % (zlib.crc32(body), body)).ljust(RECORD_BYTES - 1) + b"\n"


def decode(name: str, data: bytes) -> ProcessRecord | None:
    """Return the record in these bytes; None where they are damaged, or of another version or instance."""
    checksum, _, padded = data.partition(b" ")
    body = padded.strip()
    if checksum != b"%08x" % zlib.crc32(body):
        return None
    match json.loads(body):
        case {
            "version": int() as version,
            "name": str() as other,
            "started": int() as started_ns,
            "part": int() | float() as share,
        } if version == VERSION and other == name and 0 <= share <= 1:
            return ProcessRecord(started_ns, share)
    return None


def next_share(own: ProcessRecord, others: Iterable[ProcessRecord], used: float, ending: bool) -> float:
    """Return the share that this process may hold from now on.

    `used` is the share of the bounds in use here, `ending` whether this process is shutting down. A process
    without a successor takes all that its predecessors leave. One with a successor never raises its share
    again, and lowers it to UPGRADE_SHARE or to what it uses with HEADROOM.
    """
    others = list(others)
    held_by_predecessors = sum(other.share for other in others if other.started_ns < own.started_ns)
    has_successor = any(other.started_ns >= own.started_ns for other in others)
    available = max(0.0, 1.0 - held_by_predecessors)
    if not has_successor:
        return available
    floor = MIN_ENDING_SHARE if ending else UPGRADE_SHARE
    return min(own.share, available, max(used * HEADROOM, floor))
