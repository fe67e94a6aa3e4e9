"""Choices of real processes add up."""

from __future__ import annotations

import pathlib

import pytest

from garnetlanding.lab.experiment import load
from garnetlanding.lab.run import run

ROOT = pathlib.Path(__file__).parents[2]


# Processes


@pytest.mark.parametrize("name", ["subset", "resend-budget"])
def test_subsets_and_retry_budgets_of_real_processes_add_up(name: str, tmp_path: pathlib.Path) -> None:
    """Eight heads, of which one joins, one leaves and one is cut off; six whose connections break."""
    result = run(load(str(ROOT / "experiments" / f"{name}.toml")), tmp_path / "run")
    assert result.findings.sound, result.findings.broken
    assert result.findings.outcomes["served"] > 0
    if name == "resend-budget":
        assert result.findings.attempts > result.findings.outcomes["served"], "some did run again"
