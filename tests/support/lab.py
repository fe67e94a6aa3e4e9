"""Experiments for the tests of the lab."""

from __future__ import annotations

import pathlib
from typing import Any

from garnetlanding.lab.experiment import Experiment, Fault, Load
from garnetlanding.lab.limits import SECOND

ROOT = pathlib.Path(__file__).parents[2]
CALM = Experiment("calm", 5, 3, 3, 4 * SECOND, Load(volumes=3, rate=90.0))


def fault(kind: str, at: float, until: float, **more: Any) -> Fault:
    return Fault(kind, int(at * SECOND), int(until * SECOND), **more)
