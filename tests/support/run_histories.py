"""Synthetic run histories for the tests of the invariants."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from typing import Any

from garnetlanding.lab import invariants
from garnetlanding.lab.experiment import Experiment
from garnetlanding.lab.workload import Request, draw_requests
from tests.support.lab import BASELINE

LOW_RATE = replace(BASELINE, workload=replace(BASELINE.workload, requests_per_s=30.0))
"""A request rate low enough to stay within every volume's limit."""


def answered(requests: Sequence[Request], outcome: str = "served") -> list[dict[str, Any]]:
    """Return a history in which each request is executed once and then has this outcome."""
    lines: list[dict[str, Any]] = []
    for request in requests:
        subject = {"t": request.start_us, "id": request.id, "volume": request.volume}
        lines.append(subject | {"who": "bricks", "what": "ran"})
        lines.append(
            {
                "t": request.start_us + 1,
                "who": "clients",
                "what": "answer",
                "id": request.id,
                "outcome": outcome,
            }
        )
    return lines


REQUESTS = draw_requests(LOW_RATE)
VALID_HISTORY = answered(REQUESTS)
"""A history of LOW_RATE in which every invariant holds."""


def violations_with(*lines: dict[str, Any], without: int = 0) -> str:
    """Return the violations of VALID_HISTORY without its first `without` lines and with these appended."""
    return violations(LOW_RATE, REQUESTS, [*VALID_HISTORY[without:], *lines])


def violations(experiment: Experiment, requests: list[Request], lines: Sequence[dict[str, Any]]) -> str:
    """Return the texts of all violations, in one line."""
    report = invariants.check(experiment, requests, list(lines))
    return " ".join(str(violation) for violation in report.violations)
