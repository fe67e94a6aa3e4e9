"""Backend subsets and retry budgets of instances that are real processes."""

from __future__ import annotations

import pathlib

import pytest

from garnetlanding.lab import experiment_file
from garnetlanding.lab.run import run

ROOT = pathlib.Path(__file__).parents[2]


@pytest.mark.parametrize("name", ["subset", "resend-budget"])
def test_subsets_and_retry_budgets_of_real_processes_hold_their_invariants(
    name: str, tmp_path: pathlib.Path
) -> None:
    """`subset` has eight instances: one joins, one leaves, one is partitioned. `resend-budget` has six, whose
    backend connections are reset.
    """
    result = run(experiment_file.load(str(ROOT / "experiments" / f"{name}.toml")), tmp_path / "run")
    assert result.report.passed, result.report.violations
    assert result.report.outcomes["served"] > 0
    if name == "resend-budget":
        assert result.report.attempts > result.report.outcomes["served"], "some requests were retried"
