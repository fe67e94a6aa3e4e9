"""The process registry: processes of one instance find each other."""

from __future__ import annotations

import pathlib

import pytest

from garnetlanding.ops.process_quota import UNREADABLE_RECORD
from garnetlanding.ops.process_record import ProcessRecord, encode
from garnetlanding.ops.process_registry import ProcessRegistry
from garnetlanding.runtime.files import instance_file_name


def test_processes_read_each_others_quotas_and_notice_termination(
    tmp_path: pathlib.Path, caplog: pytest.LogCaptureFixture
) -> None:
    stale = tmp_path / (instance_file_name("n1", "life-") + "1-1")
    stale.write_bytes(encode("n1", ProcessRecord(1, 1.0)))
    predecessor = ProcessRegistry(str(tmp_path), "n1")
    predecessor.publish(predecessor.next_quota(0, stopping=False))
    assert predecessor.record.quota == 1
    assert not stale.exists()
    assert "terminated process" in caplog.text
    successor, stranger = ProcessRegistry(str(tmp_path), "n1"), ProcessRegistry(str(tmp_path), "n2")
    assert successor.next_quota(0, stopping=False) == 0
    assert stranger.next_quota(0, stopping=False) == 1
    assert predecessor.next_quota(0, stopping=False) == 0.5
    assert predecessor.has_successor
    assert not successor.has_successor
    assert successor.next_quota(0, stopping=False) == 0, "the lower quota is not published yet"
    predecessor.publish(0.5)
    assert successor.next_quota(0, stopping=False) == 0.5
    predecessor.close()
    assert successor.next_quota(0, stopping=False) == 1


def test_live_process_with_an_unreadable_record_counts_as_half(
    tmp_path: pathlib.Path, caplog: pytest.LogCaptureFixture
) -> None:
    predecessor, successor = ProcessRegistry(str(tmp_path), "n1"), ProcessRegistry(str(tmp_path), "n1")
    predecessor._path.write_bytes(b"half a rec")
    assert successor.next_quota(0, stopping=False) == 1 - UNREADABLE_RECORD.quota
    assert "another process unreadable" in caplog.text
