"""Stagger: instances act one after the other after a common signal."""

from __future__ import annotations

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetlanding.choices.stagger import stagger_offset

# Turns


@given(st.integers(1, 300), st.text(max_size=9))
def test_turns_are_evenly_spaced_and_no_head_is_always_last(heads: int, signal: str) -> None:
    places = sorted(stagger_offset(number, heads, signal) for number in range(heads))
    assert all(0 <= place < 1 for place in places)
    assert all(b - a == pytest.approx(1 / heads) for a, b in pairwise(places))
    wrong = [stagger_offset(number, 2 * heads, signal) for number in range(heads)]
    assert len(set(wrong)) == heads, "wrong by a factor of two: half of the span, one after another"


def test_the_order_of_turns_changes_with_the_signal() -> None:
    last = {max(range(10), key=lambda n: stagger_offset(n, 10, f"signal {i}")) for i in range(60)}
    assert len(last) >= 8 and stagger_offset(3, 0) == 0.0
