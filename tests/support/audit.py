"""Audit segments and records for tests."""

from __future__ import annotations

import pathlib
from typing import Any

from garnetlanding.audit.limits import LIMITS, AuditLimits
from garnetlanding.audit.records import Incarnation
from garnetlanding.audit.segment import FIRST_HASH, Segment
from garnetlanding.audit.segment_writer import SegmentWriter
from garnetlanding.audit.setup import AuditSetup
from tests.support.clock import SECOND


def opened(
    folder: pathlib.Path, life: int = 1, limits: AuditLimits = LIMITS, wall: int = 1000
) -> SegmentWriter:
    return SegmentWriter(AuditSetup(str(folder), False, limits), Incarnation("n0", life), 5, lambda: wall)


# Many heads


def life(head: str, number: int, *records: dict[str, Any], me: int = 0, wall: int = 0) -> Segment:
    """Records at the times given, in seconds; the wall clock shows the same, `wall` off."""
    payloads = [{"kind": "start", "t": 0, "wall": wall, "follows": 0, "torn": "", "checkpoint_us": SECOND}]
    for fields in records:
        at_s = fields.pop("at")
        payloads.append(
            {
                "kind": "change",
                "t": int(at_s * SECOND),
                "wall": int(at_s * 1000) + wall,
                "taken": 0,
                "said": 0,
                "heard": [],
                "changed": [],
                "me": me,
                "vector": {},
                **fields,
            }
        )
    return Segment(head, number, 1, FIRST_HASH, payloads)
