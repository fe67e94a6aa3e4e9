"""The records of many instances, merged and explained."""

from __future__ import annotations

import random
from typing import Any

import pytest

from garnetlanding.audit.lag import LagReason, lags
from garnetlanding.audit.limits import LIMITS
from garnetlanding.audit.merging import merge_segments
from garnetlanding.audit.timeline import happened_before
from tests.support.audit import life


def on(at: float, version: str, **more: Any) -> dict[str, Any]:
    return {"at": at, "vector": {"settings": version, "out": ""}, "changed": ["settings"], **more}


def still(at: float, version: str) -> dict[str, Any]:
    return on(at, version, kind="checkpoint")


FLEET = [
    life("n0", 1, on(0, "1.1#a"), on(1, "1.2#b"), still(2, "1.2#b"), still(3, "1.2#b"), still(4, "1.2#b")),
    life("n1", 1, on(0, "1.1#a"), still(1, "1.1#a"), on(2.5, "1.2#b"), still(3.5, "1.2#b"), me=1, wall=-5000),
    life("n2", 1, on(0, "1.1#a"), still(0.5, "1.1#a"), on(9, "1.2#b"), me=2),
]


def test_merging_gives_the_same_timeline_for_any_order_of_segments() -> None:
    fleets = []
    for seed in range(6):
        some = list(FLEET)
        random.Random(seed).shuffle(some)
        fleets.append(merge_segments(some, LIMITS))
    assert all(fleet == fleets[0] for fleet in fleets)


def test_a_lag_names_the_first_and_the_last_instance() -> None:
    fleet = merge_segments(FLEET, LIMITS)
    [lag] = lags(fleet, "settings")
    assert lag.last_holder
    assert (
        lag.first_instance,
        lag.last_holder.instance,
        lag.instances,
        lag.last_holder.reason,
    ) == ("n0", "n1", 3, LagReason.LAST_NOTIFIED)
    assert lag.last_holder.reason.value == "heard of it last"
    assert lag.end_wall_ms - lag.start_wall_ms == 1500, "by the machine's clock: n1's own is 5 s behind"
    assert fleet.problems == ["n2: nothing for 8.5 s before 9000: it stood still"]
    assert {s.instance for s in fleet.with_version("settings", "1.2")} == {"n0", "n1", "n2"}
    assert {(s.instance, s.versions["settings"]) for s in fleet.at(300)} == {
        ("n0", "1.1#a"),
        ("n2", "1.1#a"),
        ("n1", "1.2#b"),
    }, "each by its own clock"


@pytest.mark.parametrize(
    ("more", "why"),
    [
        pytest.param(
            [on(1.5, "1.1#a", vector={"settings": "1.1#a", "out": "not current"}), on(3, "1.2#b")],
            "stopped",
            id="fenced as stale",
        ),
        pytest.param(
            [on(1.5, "1.1#a", vector={"settings": "1.1#a", "out": "shut out"})],
            "was shut out",
            id="fenced by an operator",
        ),
        pytest.param([{"at": 1.5, "kind": "end"}], "ended in order", id="ended in order"),
        pytest.param(
            [{"at": 1.2, "kind": "refused", "component": "settings", "why": "key x"}, still(2, "1.1#a")],
            "refused the change",
            id="change rejected",
        ),
        pytest.param([still(2, "1.1#a"), still(3, "1.1#a")], "acts on it still", id="still acting"),
        pytest.param([still(1.5, "1.1#a"), on(9, "1.2#b")], "stood still", id="stalled"),
    ],
)
def test_a_lag_says_why_the_last_instance_was_late(more: list[dict[str, Any]], why: str) -> None:
    late = life("n3", 1, on(0, "1.1#a"), still(1, "1.1#a"), *[dict(r) for r in more], me=3)
    first = life("n0", 1, on(0, "1.1#a"), on(0.9, "1.2#b"))
    [lag] = lags(merge_segments([first, late], LIMITS), "settings")
    assert lag.last_holder
    assert lag.last_holder.instance == "n3"
    assert lag.last_holder.reason.value.endswith(why)


def test_contradictions_between_instances_are_problems() -> None:
    two = life("n1", 1, on(0, "1.2#other"), me=0)
    back = life("n2", 1, on(5, "1.2#b"), on(6, "1.3#c", wall=2000), me=2)
    found = merge_segments([*FLEET[:1], two, back], LIMITS, ["n9"]).problems
    assert any("settings 1.2 has two texts" in p for p in found)
    assert any("number 0 is that of n0 and n1" in p for p in found)
    assert any("clock went back by 3000 ms" in p for p in found)
    assert "n9: no files" in found


def test_spans_of_two_instances_are_ordered_by_messages_alone() -> None:
    one = life("n0", 4, on(0, "1.1#a", said=0), on(5, "1.2#b", said=8), me=0, wall=9_000_000)
    heard = life("n1", 1, on(0, "1.1#a"), on(1, "1.2#b", heard=[0, 4, 9]), me=1)
    fleet = merge_segments([one, heard], LIMITS)
    spans = {(s.instance, s.versions["settings"]): s for s in fleet.spans}
    new, other = spans["n0", "1.2#b"], spans["n1", "1.2#b"]
    assert happened_before(new, other) is True
    assert happened_before(other, new) is False
    assert happened_before(spans["n1", "1.1#a"], new) is None, "nobody had heard of the other"
