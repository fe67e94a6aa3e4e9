"""Tests of merging the records of many instances, and of the reports on the merged timeline."""

from __future__ import annotations

import random
from typing import Any

import pytest

from garnetlanding.audit.lag import LagReason, find_lags
from garnetlanding.audit.limits import LIMITS
from garnetlanding.audit.merging import merge_segments
from garnetlanding.audit.timeline import happened_before
from tests.support.audit import segment_of


def change(at: float, version: str, **more: Any) -> dict[str, Any]:
    return {"at": at, "vector": {"settings": version, "out": ""}, "changed": ["settings"], **more}


def checkpoint(at: float, version: str) -> dict[str, Any]:
    return change(at, version, kind="checkpoint")


FLEET = [
    segment_of(
        "n0",
        1,
        change(0, "1.1#a"),
        change(1, "1.2#b"),
        checkpoint(2, "1.2#b"),
        checkpoint(3, "1.2#b"),
        checkpoint(4, "1.2#b"),
    ),
    segment_of(
        "n1",
        1,
        change(0, "1.1#a"),
        checkpoint(1, "1.1#a"),
        change(2.5, "1.2#b"),
        checkpoint(3.5, "1.2#b"),
        instance_number=1,
        wall_offset_ms=-5000,
    ),
    segment_of("n2", 1, change(0, "1.1#a"), checkpoint(0.5, "1.1#a"), change(9, "1.2#b"), instance_number=2),
]


def test_merging_gives_the_same_timeline_for_any_order_of_segments() -> None:
    timelines = []
    for seed in range(6):
        shuffled = list(FLEET)
        random.Random(seed).shuffle(shuffled)
        timelines.append(merge_segments(shuffled, LIMITS))
    assert all(timeline == timelines[0] for timeline in timelines)


def test_a_lag_names_the_first_and_the_last_instance() -> None:
    timeline = merge_segments(FLEET, LIMITS)
    [lag] = find_lags(timeline, "settings")
    assert lag.slowest_instance
    assert (
        lag.first_instance,
        lag.slowest_instance.instance,
        lag.instance_count,
        lag.slowest_instance.reason,
    ) == ("n0", "n1", 3, LagReason.LAST_NOTIFIED)
    assert lag.slowest_instance.reason.value == "heard of it last"
    assert lag.end_wall_ms - lag.start_wall_ms == 1500, "by monotonic time: n1's wall clock is 5 s slow"
    assert timeline.problems == ["n2: nothing for 8.5 s before 9000: it stood still"]
    assert {s.instance for s in timeline.with_version("settings", "1.2")} == {"n0", "n1", "n2"}
    assert {(s.instance, s.versions["settings"]) for s in timeline.at(300)} == {
        ("n0", "1.1#a"),
        ("n2", "1.1#a"),
        ("n1", "1.2#b"),
    }, "each by its own wall clock"


@pytest.mark.parametrize(
    ("records", "reason"),
    [
        pytest.param(
            [change(1.5, "1.1#a", vector={"settings": "1.1#a", "out": "not current"}), change(3, "1.2#b")],
            "stopped",
            id="fenced as stale",
        ),
        pytest.param(
            [change(1.5, "1.1#a", vector={"settings": "1.1#a", "out": "shut out"})],
            "was shut out",
            id="fenced by an operator",
        ),
        pytest.param([{"at": 1.5, "kind": "end"}], "ended in order", id="graceful shutdown"),
        pytest.param(
            [{"at": 1.2, "kind": "refused", "component": "settings", "why": "key x"}, checkpoint(2, "1.1#a")],
            "refused the change",
            id="change rejected",
        ),
        pytest.param([checkpoint(2, "1.1#a"), checkpoint(3, "1.1#a")], "acts on it still", id="still in use"),
        pytest.param([checkpoint(1.5, "1.1#a"), change(9, "1.2#b")], "stood still", id="stalled"),
    ],
)
def test_a_lag_says_why_the_last_instance_was_late(records: list[dict[str, Any]], reason: str) -> None:
    late = segment_of(
        "n3",
        1,
        change(0, "1.1#a"),
        checkpoint(1, "1.1#a"),
        *[dict(record) for record in records],
        instance_number=3,
    )
    first = segment_of("n0", 1, change(0, "1.1#a"), change(0.9, "1.2#b"))
    [lag] = find_lags(merge_segments([first, late], LIMITS), "settings")
    assert lag.slowest_instance
    assert lag.slowest_instance.instance == "n3"
    assert lag.slowest_instance.reason.value.endswith(reason)


def test_contradictions_between_instances_are_problems() -> None:
    same_number = segment_of("n1", 1, change(0, "1.2#other"), instance_number=0)
    clock_set_back = segment_of("n2", 1, change(5, "1.2#b"), change(6, "1.3#c", wall=2000), instance_number=2)
    problems = merge_segments([*FLEET[:1], same_number, clock_set_back], LIMITS, ["n9"]).problems
    assert any("settings 1.2 has two texts" in problem for problem in problems)
    assert any("number 0 is used by n0 and n1" in problem for problem in problems)
    assert any("clock went back by 3000 ms" in problem for problem in problems)
    assert "n9: no files" in problems


def test_spans_of_two_instances_are_ordered_by_messages_alone() -> None:
    sender = segment_of(
        "n0",
        4,
        change(0, "1.1#a", said=0),
        change(5, "1.2#b", said=8),
        instance_number=0,
        wall_offset_ms=9_000_000,
    )
    receiver = segment_of("n1", 1, change(0, "1.1#a"), change(1, "1.2#b", heard=[0, 4, 9]), instance_number=1)
    timeline = merge_segments([sender, receiver], LIMITS)
    spans = {(span.instance, span.versions["settings"]): span for span in timeline.spans}
    sender_span = spans["n0", "1.2#b"]
    receiver_span = spans["n1", "1.2#b"]
    assert happened_before(sender_span, receiver_span) is True
    assert happened_before(receiver_span, sender_span) is False
    assert happened_before(spans["n1", "1.1#a"], sender_span) is None, "no message orders them"
