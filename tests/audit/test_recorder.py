"""The recorder: what is written before a decision is taken."""

from __future__ import annotations

from functools import partial
from typing import Any

from garnetlanding.audit.limits import AuditLimits
from garnetlanding.audit.recorder import Recorder
from garnetlanding.audit.records import InstanceState, MessageId

# The recorder


def test_only_changes_due_checkpoints_new_rejections_and_the_end_are_recorded() -> None:
    now, kept = {"settings": "1.1#a", "list": "1"}, list[dict[str, Any]]()
    received: MessageId | None = None
    recorder = Recorder(
        AuditLimits(checkpoint_us=100),
        {name: partial(now.__getitem__, name) for name in now},
        lambda: InstanceState(3, 7, 5, 9, received),
        kept.append,
    )
    recorder.observe(0)
    for t in range(1, 50):
        recorder.observe(t)
    now["settings"], received = "1.2#b", MessageId(2, 8, 4)
    recorder.observe(50)
    recorder.observe(149)
    recorder.observe(150)
    recorder.change_rejected(160, "settings", "key x")
    recorder.change_rejected(161, "settings", "key x")
    recorder.end(170)
    assert [(r["t"], r["kind"]) for r in kept] == [
        (0, "change"),
        (50, "change"),
        (150, "checkpoint"),
        (160, "refused"),
        (170, "end"),
    ]
    assert kept[1]["changed"] == ["settings"]
    assert kept[1]["heard"] == [2, 8, 4]
    assert kept[1]["me"] == 3
    assert kept[0]["vector"]["settings"] == "1.1#a"
    assert kept[1]["vector"]["list"] == "1"
