"""The result of a run, and its form in result.json."""

from __future__ import annotations

import pathlib
from dataclasses import dataclass

from garnetlanding.lab.experiment import Experiment
from garnetlanding.lab.history import Line
from garnetlanding.lab.processes import ProcessUsage
from garnetlanding.lab.violations import InvariantReport

FILE_NAME = "result.json"


@dataclass(frozen=True, slots=True)
class RunResult:
    """A completed run."""

    experiment: Experiment
    report: InvariantReport
    lines: list[Line]  # of all histories, by time
    began_us: int  # when the clients started, on the histories' clock
    network_counts: dict[str, int]  # datagrams by applied fault and delivered, and proxied connections
    usage: dict[str, ProcessUsage]  # of each instance's last process, by name
    folder: pathlib.Path


def encode_result(result: RunResult) -> dict[str, object]:
    """Return a result in the form of result.json and `lab run --json`."""
    report = result.report
    return {
        "name": result.experiment.name,
        "seed": result.experiment.seed,
        "sound": report.passed,
        "asked": report.requests,
        "outcomes": dict(report.outcomes),
        "attempts": report.attempts,
        "over": round(report.limit_overshoot_units, 2),
        "used": round(report.limit_use, 3),
        "parts_most": round(report.quota_sum_max, 3),
        "evens_most": round(report.even_quota_sum_max, 3),
        "cold_most": round(report.warming_load_max, 3),
        "places_most": report.backend_connections_max,
        "kept": report.connections_at_end,
        "old_us": report.settings_age_max_us,
        "audited": report.audited_attempts,
        "lives": report.incarnations,
        "doubts": report.suspicions,
        "doubts_unfounded": report.suspicions_unfounded,
        "links": result.network_counts,
        "costs": {name: used.encode() for name, used in result.usage.items()},
        "broken": [str(violation) for violation in report.violations],
    }
