"""The list of invariants: each has a name, a statement and a test that shows a violation."""

from __future__ import annotations

import pathlib

import pytest

from garnetlanding.lab import invariants
from garnetlanding.lab.invariant import Invariant

EVERY = (*invariants.HISTORY_INVARIANTS, *invariants.FILE_INVARIANTS)


@pytest.mark.parametrize("invariant", EVERY, ids=lambda invariant: type(invariant).__name__)
def test_invariant_names_its_statement_and_an_existing_test(invariant: Invariant) -> None:
    assert invariant.name
    assert invariant.statement.endswith(".")
    file, _, function = invariant.shown_by.partition("::")
    assert f"def {function}(" in (pathlib.Path(__file__).parent / file).read_text()


def test_every_invariant_has_a_name_of_its_own() -> None:
    assert len({invariant.name for invariant in EVERY}) == len(EVERY)
