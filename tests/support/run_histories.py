"""Synthetic run histories for the invariant tests."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from typing import Any

from garnetlanding.lab import invariants
from garnetlanding.lab.experiment import Experiment
from garnetlanding.lab.workload import Request, draw_requests
from tests.support.lab import CALM

MODERATE = replace(CALM, workload=replace(CALM.workload, requests_per_s=30.0))
"""An experiment with so few requests that no volume exceeds its limit."""


def answered(requests: Sequence[Request], outcome: str = "served") -> list[dict[str, Any]]:
    """Return a history in which each request is executed once and then has this outcome."""
    lines: list[dict[str, Any]] = []
    for request in requests:
        about = {"t": request.start_us, "id": request.id, "volume": request.volume}
        lines.append(about | {"who": "bricks", "what": "ran"})
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


REQUESTS = draw_requests(MODERATE)
SOUND = answered(REQUESTS)
"""A history of MODERATE in which every invariant holds."""


def violations_with(*lines: dict[str, Any], without: int = 0) -> str:
    """Return the violations of SOUND without its first lines and with these at its end."""
    return violations(MODERATE, REQUESTS, [*SOUND[without:], *lines])


def violations(experiment: Experiment, requests: list[Request], lines: Sequence[dict[str, Any]]) -> str:
    """Return the texts of all violations, in one line."""
    report = invariants.check(experiment, requests, list(lines))
    return " ".join(str(violation) for violation in report.violations)
