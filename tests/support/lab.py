"""Experiments for the tests of the lab."""

from __future__ import annotations

import pathlib
from typing import Any

from garnetlanding.lab.experiment import Experiment, Workload
from garnetlanding.lab.faults import Fault, FaultKind
from garnetlanding.lab.limits import SECOND

ROOT = pathlib.Path(__file__).parents[2]
BASELINE = Experiment("baseline", 5, 3, 3, 4 * SECOND, Workload(volumes=3, requests_per_s=90.0))


def fault(kind: FaultKind, at_s: float, until_s: float, **more: Any) -> Fault:
    """Return a fault between two times, in seconds after the clients' start."""
    return Fault(kind, int(at_s * SECOND), int(until_s * SECOND), **more)
