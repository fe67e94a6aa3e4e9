"""Choices of real processes add up."""

from __future__ import annotations

import pathlib

import pytest

from garnetlanding.lab import experiment_file
from garnetlanding.lab.run import run

ROOT = pathlib.Path(__file__).parents[2]


# Processes


@pytest.mark.parametrize("name", ["subset", "resend-budget"])
def test_subsets_and_retry_budgets_of_real_processes_add_up(name: str, tmp_path: pathlib.Path) -> None:
    """Eight heads, of which one joins, one leaves and one is cut off; six whose connections break."""
    result = run(experiment_file.load(str(ROOT / "experiments" / f"{name}.toml")), tmp_path / "run")
    assert result.report.passed, result.report.violations
    assert result.report.outcomes["served"] > 0
    if name == "resend-budget":
        assert result.report.attempts > result.report.outcomes["served"], "some did run again"
