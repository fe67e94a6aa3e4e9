"""Builds audit segments and records for tests."""

from __future__ import annotations

import pathlib
from typing import Any

from garnetlanding.audit.limits import LIMITS, AuditLimits
from garnetlanding.audit.records import Incarnation
from garnetlanding.audit.segment import FIRST_HASH, Segment
from garnetlanding.audit.segment_writer import SegmentWriter
from garnetlanding.audit.setup import AuditSetup
from tests.support.clock import SECOND


def open_writer(
    folder: pathlib.Path, incarnation: int = 1, limits: AuditLimits = LIMITS, wall_ms: int = 1000
) -> SegmentWriter:
    """Start the audit of instance `n0`, with a wall clock that stays at `wall_ms`."""
    setup = AuditSetup(str(folder), False, limits)
    return SegmentWriter(setup, Incarnation("n0", incarnation), 5, lambda: wall_ms)


def segment_of(
    instance: str,
    incarnation: int,
    *records: dict[str, Any],
    instance_number: int = 0,
    wall_offset_ms: int = 0,
) -> Segment:
    """Return a segment with a start record and these records.

    `at` in a record is its monotonic time in seconds. The wall clock differs from that by `wall_offset_ms`,
    or by the record's own `wall`.
    """
    start = {"kind": "start", "t": 0, "wall": wall_offset_ms, "follows": 0, "torn": ""}
    payloads = [start | {"checkpoint_us": SECOND}]
    for fields in records:
        at_s = fields.pop("at")
        payloads.append(
            {
                "kind": "change",
                "t": int(at_s * SECOND),
                "wall": int(at_s * 1000) + wall_offset_ms,
                "taken": 0,
                "said": 0,
                "heard": [],
                "changed": [],
                "me": instance_number,
                "vector": {},
                **fields,
            }
        )
    return Segment(instance, incarnation, 1, FIRST_HASH, payloads)
