"""The invariant of the instances' logs."""

from __future__ import annotations

from collections.abc import Iterator

from garnetlanding.lab.invariant import Invariant, RecordedRun
from garnetlanding.lab.limits import LIMITS


class NoDefectLogged(Invariant):
    """No instance caught an unexpected exception.

    Such an exception aborts the task that raised it and is recorded only in the log, not in a history.
    """

    name = "no defect logged"
    label = "defect"
    statement = "No log of an instance contains a traceback."
    shown_by = "test_log_invariants.py::test_traceback_in_a_log_is_a_violation"

    def violations(self, run: RecordedRun) -> Iterator[str]:
        """Yield the line of each traceback, truncated."""
        if run.folder is None:
            return
        for log in sorted(run.folder.glob("n*.log")):
            for line in log.read_text(errors="replace").splitlines():
                if "trace=" in line:
                    yield f"{log.name}: {line[: LIMITS.log_line_chars_shown]}"
