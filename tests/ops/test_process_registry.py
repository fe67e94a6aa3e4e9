"""The process registry: processes of one instance find each other."""

from __future__ import annotations

import pathlib

import pytest

from garnetlanding.ops.process_quota import (
    UNREADABLE_RECORD,
    ProcessRecord,
    encode,
)
from garnetlanding.ops.process_registry import ProcessRegistry
from garnetlanding.runtime.files import file_name


def test_processes_hear_each_other_and_that_one_is_gone(
    tmp_path: pathlib.Path, caplog: pytest.LogCaptureFixture
) -> None:
    stale = tmp_path / (file_name("n1", "life-") + "1-1")
    stale.write_bytes(encode("n1", ProcessRecord(1, 1.0)))
    elder = ProcessRegistry(str(tmp_path), "n1")
    elder.publish(elder.next_share(0, False))
    assert elder.record.share == 1 and not stale.exists() and "terminated process" in caplog.text
    newer, stranger = ProcessRegistry(str(tmp_path), "n1"), ProcessRegistry(str(tmp_path), "n2")
    assert newer.next_share(0, False) == 0 and stranger.next_share(0, False) == 1
    assert elder.next_share(0, False) == 0.5 and elder.has_successor and not newer.has_successor
    assert newer.next_share(0, False) == 0, "looked at, not kept to yet"
    elder.publish(0.5)
    assert newer.next_share(0, False) == 0.5
    elder.close()
    assert newer.next_share(0, False) == 1


def test_a_process_that_lives_and_is_not_understood_counts_as_half(
    tmp_path: pathlib.Path, caplog: pytest.LogCaptureFixture
) -> None:
    elder, newer = ProcessRegistry(str(tmp_path), "n1"), ProcessRegistry(str(tmp_path), "n1")
    pathlib.Path(elder._path).write_bytes(b"half a wor")
    assert (
        newer.next_share(0, False) == 1 - UNREADABLE_RECORD.share
        and "another process unreadable" in caplog.text
    )
