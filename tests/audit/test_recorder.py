"""Tests of the recorder."""

from __future__ import annotations

from functools import partial
from typing import Any

from garnetlanding.audit.limits import AuditLimits
from garnetlanding.audit.recorder import Recorder
from garnetlanding.audit.records import InstanceState, MessageId


def test_only_changes_due_checkpoints_new_rejections_and_the_end_are_recorded() -> None:
    versions = {"settings": "1.1#a", "list": "1"}
    records: list[dict[str, Any]] = []
    received: MessageId | None = None
    recorder = Recorder(
        AuditLimits(checkpoint_us=100),
        {name: partial(versions.__getitem__, name) for name in versions},
        lambda: InstanceState(3, 7, 5, 9, received),
        records.append,
    )
    recorder.observe(0)
    for now in range(1, 50):
        recorder.observe(now)
    versions["settings"] = "1.2#b"
    received = MessageId(2, 8, 4)
    recorder.observe(50)
    recorder.observe(149)
    recorder.observe(150)
    recorder.change_rejected(160, "settings", "key x")
    recorder.change_rejected(161, "settings", "key x")
    recorder.end(170)
    assert [(record["t"], record["kind"]) for record in records] == [
        (0, "change"),
        (50, "change"),
        (150, "checkpoint"),
        (160, "refused"),
        (170, "end"),
    ]
    assert records[1]["changed"] == ["settings"]
    assert records[1]["heard"] == [2, 8, 4]
    assert records[1]["me"] == 3
    assert records[0]["vector"]["settings"] == "1.1#a"
    assert records[1]["vector"]["list"] == "1"
