"""The record that each process of an instance publishes for the others, and its file format. No I/O.

A record is RECORD_BYTES long: the CRC-32 of its body in hexadecimal, a space, the body
`{"version": 1, "name": "n1", "started": 123, "part": 0.5}`, spaces, and a line end. It is always written
by a single write, so that a reader sees the old record, the new one, or a checksum mismatch.
"""

from __future__ import annotations

import json
import zlib
from dataclasses import dataclass

VERSION = 1
RECORD_BYTES = 256


@dataclass(frozen=True, slots=True)
class ProcessRecord:
    """The quota of one process, from 0 to 1, and when the process started.

    `started_ns` is the monotonic clock, which all processes of a machine share; of two processes, the one
    with the greater value is the successor.
    """

    started_ns: int
    quota: float


def encode(name: str, record: ProcessRecord) -> bytes:
    """Encode the record of a process of the instance of this name."""
    fields = {"version": VERSION, "name": name, "started": record.started_ns, "part": record.quota}
    body = json.dumps(fields).encode()
    return (b"%08x %s" % (zlib.crc32(body), body)).ljust(RECORD_BYTES - 1) + b"\n"


def decode(name: str, data: bytes) -> ProcessRecord | None:
    """Decode a record; return None if it is damaged, or of another version or instance."""
    checksum, _, padded = data.partition(b" ")
    body = padded.strip()
    if checksum != b"%08x" % zlib.crc32(body):
        return None
    match json.loads(body):
        case {
            "version": int() as version,
            "name": str() as other,
            "started": int() as started_ns,
            "part": int() | float() as quota,
        } if version == VERSION and other == name and 0 <= quota <= 1:
            return ProcessRecord(started_ns, quota)
    return None
