"""Random fault schedules, and tests that their checker detects violations.

benchmarks/ninep_chaos.py runs longer schedules.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest

from garnetlanding.ninep import dispatcher
from garnetlanding.ninep.operation_table import OPERATION_SPECS
from garnetlanding.ninep.order import ChangeOrder
from garnetlanding.ninep.pending import PendingRequest
from tests.ninep.random_fault_schedules import run_schedule


@pytest.mark.parametrize("seed", range(4))
def test_random_fault_schedule_preserves_the_invariants(seed: int) -> None:
    outcomes = run_schedule(seed, 120).outcomes
    assert sum(outcomes.values()) > 60, outcomes
    assert outcomes["write ok"], outcomes
    assert outcomes["read ok"], outcomes


def start_changes_out_of_order(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(ChangeOrder, "_may_start", lambda _self, _change, _before, _now: True)


def retry_unsafe_changes(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        dispatcher,
        "request_class_for",
        lambda kind, reads, changes, _classes: changes if OPERATION_SPECS[kind].changes_tree else reads,
    )


def cancel_running_changes(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(PendingRequest, "must_complete", property(lambda self: self.must_run))


@pytest.mark.parametrize(
    ("inject_defect", "seeds"),
    [
        (start_changes_out_of_order, (6, 8, 2, 3, 4)),
        (retry_unsafe_changes, (1, 2, 6, 3)),
        (cancel_running_changes, (1, 2, 4, 3)),
    ],
    ids=["changes out of order", "changes repeated", "running change flushed"],
)
def test_checker_detects_an_instance_that_violates_the_invariants(
    inject_defect: Callable[[pytest.MonkeyPatch], None], seeds: tuple[int, ...]
) -> None:
    """A checker that cannot fail proves nothing; an early version detected none of these defects."""
    caught = 0
    for seed in seeds:
        with pytest.MonkeyPatch.context() as patch:
            inject_defect(patch)
            try:
                run_schedule(seed, 200)
            except AssertionError:
                caught += 1
                break
    assert caught
