"""Tests of segment files: rotation, missing files and failing file operations."""

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
from tests.support.audit import open_writer

SMALL_LIMITS = AuditLimits(segment_bytes=600, total_bytes=2000)


def read_folder(folder: pathlib.Path) -> tuple[list[Segment], list[str]]:
    result = read_segments([str(folder)])
    return result.segments, result.problems


def test_long_segments_are_rotated_and_deleted_ones_are_recorded(tmp_path: pathlib.Path) -> None:
    writer = open_writer(tmp_path, limits=SMALL_LIMITS, wall_ms=1_000_000_000_000)
    for number in range(40):
        writer.write({"kind": "checkpoint", "n": number, "text": "x" * 100})
    writer.close()
    found, problems = read_folder(tmp_path)
    assert not problems
    assert sum(len(json.dumps(segment.records)) for segment in found) < 4000
    records = [record for segment in found for record in segment.records]
    dropped = [record["up_to"] for record in records if record["kind"] == "dropped"]
    assert max(dropped) == [1, min(segment.number for segment in found) - 1]
    assert not merge_segments(found, LIMITS).problems
    assert "are missing" in merge_segments(found[1:], LIMITS).problems[0]


def test_missing_and_exchanged_segments_are_problems(tmp_path: pathlib.Path) -> None:
    writer = open_writer(tmp_path, limits=AuditLimits(segment_bytes=300))
    for number in range(9):
        writer.write(
            {"kind": "checkpoint", "n": number, "text": "x" * 60, "t": number, "taken": 0, "vector": {}}
        )
    writer.close()
    found, _ = read_folder(tmp_path)
    assert len(found) > 3
    assert merge_segments(found[:1] + found[2:], LIMITS).problems == [
        "n0: segments 2 to 2 of life 1 are missing"
    ]
    forged = Segment("n0", 1, 2, bytes(16), found[1].records, found[1].last_hash)
    assert "does not follow" in merge_segments([found[0], forged, *found[2:]], LIMITS).problems[0]


def test_the_start_record_says_how_the_previous_incarnation_ended(tmp_path: pathlib.Path) -> None:
    writer = open_writer(tmp_path)
    writer.write({"kind": "checkpoint", "t": 1, "taken": 0, "vector": {}})
    writer.close()
    path = next(tmp_path.iterdir())
    path.write_bytes(path.read_bytes()[:-3])
    open_writer(tmp_path, incarnation=2).close()
    found, problems = read_folder(tmp_path)
    start = found[-1].records[0]
    assert not problems
    assert start["follows"] == 1
    assert start["torn"].startswith("cut short at offset")
    timeline = merge_segments(found, LIMITS)
    assert len(timeline.problems) == 1
    assert "was cut short at offset" in timeline.problems[0]
    assert merge_segments(found[1:], LIMITS).problems == ["n0: the files of life 1 are missing"]
    path.write_bytes(b"nonsense")
    open_writer(tmp_path, incarnation=3).close()
    assert "not a segment" in read_folder(tmp_path)[1][0]


@pytest.mark.parametrize("failing", ["open", "write", "fsync", "listdir", "unlink"])
def test_any_failing_file_call_stops_recording_with_one_log_line(
    failing: str, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    limits = AuditLimits(segment_bytes=300, total_bytes=900)
    writer = SegmentWriter(AuditSetup(str(tmp_path), True, limits), Incarnation("n0", 1), 5, lambda: 1000)

    def fail(*_args: Any) -> int:
        raise OSError(errno.ENOSPC, "No space left on device")

    monkeypatch.setattr(os, failing, fail)
    for number in range(30):
        writer.write({"kind": "checkpoint", "n": number, "text": "x" * 60})
    monkeypatch.undo()
    assert caplog.text.count("audit recording stopped") == 1
    found, problems = read_folder(tmp_path)
    assert not problems, "the records written before the failure can be read"


def test_closing_after_a_segment_could_not_be_opened_closes_no_other_file(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    writer = open_writer(tmp_path, limits=AuditLimits(segment_bytes=1))

    def fail(*_args: Any) -> int:
        raise OSError(errno.EMFILE, "Too many open files")

    with monkeypatch.context() as patched:
        patched.setattr(os, "open", fail)
        writer.write({"kind": "checkpoint"})
    with open(tmp_path / "other", "wb") as other:  # reuses the number of the closed descriptor
        writer.close()
        other.write(b"still open")
    assert (tmp_path / "other").read_bytes() == b"still open"


def test_a_partial_write_leaves_a_torn_tail_and_stops_recording(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    writer = open_writer(tmp_path)
    write = os.write
    monkeypatch.setattr(os, "write", lambda fd, data: write(fd, data[: len(data) // 2]))
    writer.write({"kind": "checkpoint"})
    writer.write({"kind": "checkpoint"})
    monkeypatch.undo()
    found, problems = read_folder(tmp_path)
    assert not problems
    assert found[0].torn_at
    assert len(found[0].records) == 1
