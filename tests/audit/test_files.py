"""Audit files: rotation, gaps, and disks that fail."""

from __future__ import annotations

import errno
import json
import os
import pathlib
from typing import Any

import pytest

from garnetlanding.audit.limits import LIMITS, AuditLimits
from garnetlanding.audit.merging import merge_segments
from garnetlanding.audit.records import Incarnation
from garnetlanding.audit.segment import Segment
from garnetlanding.audit.segment_reader import read_segments
from garnetlanding.audit.segment_writer import SegmentWriter
from garnetlanding.audit.setup import AuditSetup
from tests.support.audit import opened

# Files

SMALL = AuditLimits(segment_bytes=600, total_bytes=2000)


def read_all(folder: pathlib.Path) -> tuple[list[Segment], list[str]]:
    found = read_segments([str(folder)])
    return found.segments, found.problems


def test_long_segments_are_rotated_and_deleted_ones_are_recorded(tmp_path: pathlib.Path) -> None:
    audit = opened(tmp_path, limits=SMALL, wall=2_000_000_000_000 - 10**12)
    for n in range(40):
        audit.write({"kind": "checkpoint", "n": n, "text": "x" * 100})
    audit.close()
    found, problems = read_all(tmp_path)
    assert not problems
    assert sum(map(len, map(json.dumps, (s.records for s in found)))) < 4000
    dropped = [r["up_to"] for s in found for r in s.records if r["kind"] == "dropped"]
    assert max(dropped) == [1, min(s.number for s in found) - 1]
    assert not merge_segments(found, LIMITS).problems
    assert "are missing" in merge_segments(found[1:], LIMITS).problems[0]


def test_missing_and_exchanged_segments_are_problems(tmp_path: pathlib.Path) -> None:
    audit = opened(tmp_path, limits=AuditLimits(segment_bytes=300))
    for n in range(9):
        audit.write({"kind": "checkpoint", "n": n, "text": "x" * 60, "t": n, "taken": 0, "vector": {}})
    audit.close()
    found, _ = read_all(tmp_path)
    assert len(found) > 3
    assert merge_segments(found[:1] + found[2:], LIMITS).problems == [
        "n0: segments 2 to 2 of life 1 are missing"
    ]
    forged = Segment("n0", 1, 2, bytes(16), found[1].records, found[1].last_hash)
    assert "does not follow" in merge_segments([found[0], forged, *found[2:]], LIMITS).problems[0]


def test_the_start_record_says_how_the_previous_incarnation_ended(tmp_path: pathlib.Path) -> None:
    audit = opened(tmp_path)
    audit.write({"kind": "checkpoint", "t": 1, "taken": 0, "vector": {}})
    audit.close()
    path = next(tmp_path.iterdir())
    path.write_bytes(path.read_bytes()[:-3])
    later = opened(tmp_path, life=2)
    later.close()
    found, problems = read_all(tmp_path)
    start = found[-1].records[0]
    assert not problems
    assert start["follows"] == 1
    assert start["torn"].startswith("cut short at offset")
    fleet = merge_segments(found, LIMITS)
    assert len(fleet.problems) == 1
    assert "was cut short at offset" in fleet.problems[0]
    assert merge_segments(found[1:], LIMITS).problems == ["n0: the files of life 1 are missing"]
    path.write_bytes(b"nonsense")
    opened(tmp_path, life=3).close()
    assert "not a segment" in read_all(tmp_path)[1][0]


@pytest.mark.parametrize("failing", ["open", "write", "fsync", "listdir", "unlink"])
def test_any_failing_file_call_stops_recording_with_one_log_line(
    failing: str, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    limits = AuditLimits(segment_bytes=300, total_bytes=900)
    audit = SegmentWriter(AuditSetup(str(tmp_path), True, limits), Incarnation("n0", 1), 5, lambda: 1000)

    def fail(*_args: Any) -> int:
        raise OSError(errno.ENOSPC, "No space left on device")

    monkeypatch.setattr(os, failing, fail)
    for n in range(30):
        audit.write({"kind": "checkpoint", "n": n, "text": "x" * 60})
    monkeypatch.undo()
    assert caplog.text.count("audit recording stopped") == 1
    found, problems = read_all(tmp_path)
    assert not problems, "what was written before it reads"


def test_closing_after_a_segment_could_not_be_opened_closes_no_other_file(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    audit = opened(tmp_path, limits=AuditLimits(segment_bytes=1))

    def fail(*_args: Any) -> int:
        raise OSError(errno.EMFILE, "Too many open files")

    with monkeypatch.context() as patched:
        patched.setattr(os, "open", fail)
        audit.write({"kind": "checkpoint"})
    with open(tmp_path / "other", "wb") as other:  # takes the number of the descriptor that was closed
        audit.close()
        other.write(b"still open")
    assert (tmp_path / "other").read_bytes() == b"still open"


def test_a_partial_write_leaves_a_torn_tail_and_stops_recording(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    audit, real = opened(tmp_path), os.write
    monkeypatch.setattr(os, "write", lambda fd, data: real(fd, data[: len(data) // 2]))
    audit.write({"kind": "checkpoint"})
    audit.write({"kind": "checkpoint"})
    monkeypatch.undo()
    found, problems = read_all(tmp_path)
    assert not problems
    assert found[0].torn_at
    assert len(found[0].records) == 1
