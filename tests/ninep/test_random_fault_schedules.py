"""Random fault schedules, and a checker that can fail; long runs: benchmarks/ninep_chaos.py."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from garnetlanding.ninep import dispatcher
from garnetlanding.ninep.operation_table import OPERATION_SPECS
from garnetlanding.ninep.order import ChangeOrder
from garnetlanding.ninep.pending import PendingRequest
from tests.ninep.random_fault_schedules import run


@pytest.mark.parametrize("seed", range(4))
def test_random_fault_schedule_keeps_the_rules(seed: int) -> None:
    outcomes = run(seed, 120).outcomes
    assert sum(outcomes.values()) > 60, outcomes
    assert outcomes["write ok"], outcomes
    assert outcomes["read ok"], outcomes


def out_of_order(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(ChangeOrder, "_may_start", lambda _self, _change, _before, _now: True)


def repeated(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        dispatcher,
        "request_class_for",
        lambda kind, reads, changes, _classes: changes if OPERATION_SPECS[kind].changes_tree else reads,
    )


def flushed_while_it_runs(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(PendingRequest, "must_complete", property(lambda self: self.must_run))


@pytest.mark.parametrize(
    ("broken", "seeds"),
    [(out_of_order, (6, 8, 2, 3, 4)), (repeated, (1, 2, 6, 3)), (flushed_while_it_runs, (1, 2, 4, 3))],
    ids=["changes out of order", "changes repeated", "flushed while it runs"],
)
def test_checker_reports_an_instance_that_breaks_the_rules(
    broken: Callable[[pytest.MonkeyPatch], None], seeds: tuple[int, ...]
) -> None:
    """A checker that cannot fail proves nothing: each of these was not seen by its first form."""
    caught = 0
    for seed in seeds:
        with pytest.MonkeyPatch.context() as patch:
            broken(patch)
            try:
                run(seed, 200)
            except AssertionError:
                caught += 1
                break
    assert caught
