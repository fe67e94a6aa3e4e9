"""The invariant of the instances' logs."""

from __future__ import annotations

import pathlib

from garnetlanding.lab import invariants
from tests.support.lab import BASELINE


def test_traceback_in_a_log_is_a_violation(tmp_path: pathlib.Path) -> None:
    (tmp_path / "n0.log").write_text('level=info msg="serving"\n')
    (tmp_path / "clients.log").write_text("trace=elsewhere\n")
    assert invariants.check(BASELINE, [], [], tmp_path).passed
    (tmp_path / "n1.log").write_text('level=error msg="task failed" trace="ValueError"\n')
    report = invariants.check(BASELINE, [], [], tmp_path)
    assert [str(violation) for violation in report.violations] == [
        'defect: n1.log: level=error msg="task failed" trace="ValueError"'
    ]
