"""Fencing of instances that are real processes: by an operator, and because their settings are stale."""

from __future__ import annotations

import pathlib

from garnetlanding.audit.limits import LIMITS
from garnetlanding.audit.merging import merge_segments
from garnetlanding.audit.segment_reader import read_segments
from garnetlanding.lab import experiment_file
from garnetlanding.lab.run import run
from tests.support.clock import SECOND

ROOT = pathlib.Path(__file__).parents[2]


def test_operator_fences_an_instance_from_a_second_and_unfences_it_from_a_third(
    tmp_path: pathlib.Path,
) -> None:
    result = run(experiment_file.load(str(ROOT / "experiments" / "shut-out.toml")), tmp_path / "run")
    assert result.report.passed, result.report.violations
    called = [(line["kind"], line["status"]) for line in result.lines if line["what"] == "called"]
    assert called == [
        ("shut-out", 200),
        ("shut-out", 200),
        ("shut-out", 400),
        ("let-in", 200),
        ("let-in", 200),
    ]
    fence_changes = [(line["who"], line["out"]) for line in result.lines if line["what"] == "current"]
    assert ("n1", True) in fence_changes
    assert ("n3", True) in fence_changes
    assert not any(instance == "n0" for instance, _ in fence_changes)
    final_state = dict(fence_changes)
    assert final_state == {"n1": False, "n3": False}
    after_unfencing_us = result.began_us + 9 * SECOND
    assert any(
        line["what"] == "answered"
        and line["who"] == "n1"
        and line["outcome"] == "served"
        and line["t"] > after_unfencing_us
        for line in result.lines
    )


def test_stale_processes_are_fenced_in_time_and_the_audit_names_their_versions(
    tmp_path: pathlib.Path,
) -> None:
    result = run(experiment_file.load(str(ROOT / "experiments" / "stragglers.toml")), tmp_path / "run")
    assert result.report.passed, result.report.violations
    assert result.report.audited_attempts > 500
    assert result.report.outcomes["served"] > 500
    fenced = {line["who"] for line in result.lines if line["what"] == "current" and line["out"]}
    assert {"n1", "n2", "n3"} <= fenced
    fleet = merge_segments(read_segments([str(tmp_path / "run" / "audit")]).segments, LIMITS)
    assert [problem for problem in fleet.problems if ": nothing for" not in problem] == []
    assert any(
        problem.startswith("n3: nothing for") for problem in fleet.problems
    ), "n3 was stopped for 3.5 s"
