"""Stagger: instances act at evenly spaced times after a common event."""

from __future__ import annotations

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetlanding.choices.stagger import stagger_offset


@given(st.integers(1, 300), st.text(max_size=9))
def test_slots_are_evenly_spaced_and_distinct_for_a_wrong_fleet_size(instances: int, signal: str) -> None:
    offsets = sorted(stagger_offset(instance, instances, signal) for instance in range(instances))
    assert all(0 <= offset < 1 for offset in offsets)
    assert all(b - a == pytest.approx(1 / instances) for a, b in pairwise(offsets))
    wrong = [stagger_offset(instance, 2 * instances, signal) for instance in range(instances)]
    assert len(set(wrong)) == instances, "with twice the number of instances the offsets are still distinct"


def test_the_order_of_slots_depends_on_the_signal() -> None:
    last = {max(range(10), key=lambda n: stagger_offset(n, 10, f"signal {i}")) for i in range(60)}
    assert len(last) >= 8
    assert stagger_offset(3, 0) == 0.0
