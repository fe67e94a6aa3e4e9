"""What an invariant of a run is, and what it is checked on."""

from __future__ import annotations

import pathlib
from abc import ABC, abstractmethod
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from functools import cached_property
from typing import Any, ClassVar

from garnetlanding.lab.experiment import Experiment
from garnetlanding.lab.faults import FaultKind
from garnetlanding.lab.history import Line, LineKind
from garnetlanding.lab.instance_config import DEFAULT_SETTINGS, deep_merge
from garnetlanding.lab.violations import InvariantReport, InvariantViolation
from garnetlanding.lab.workload import Request


@dataclass(frozen=True)
class RecordedRun:
    """A finished run that is being checked, and the report that the check fills.

    `lines` are those of all histories by time; `folder` is None where only they are to be checked.
    """

    experiment: Experiment
    requests: list[Request]
    lines: list[Line]
    report: InvariantReport
    folder: pathlib.Path | None = None

    @cached_property
    def settings(self) -> dict[str, Any]:
        """The settings that every instance started with, in the platform's form."""
        return deep_merge(DEFAULT_SETTINGS, self.experiment.settings)

    def lines_of(self, *kinds: LineKind) -> Iterator[Line]:
        """Yield the lines of these kinds by time."""
        return (line for line in self.lines if line["what"] in kinds)

    def instances_that_left(self) -> set[int]:
        """Return the instances that a fault ends for good."""
        return self.experiment.instances_affected_by(FaultKind.LEAVE)


class Invariant(ABC):
    """One rule that every run must keep, checked from what the run left behind.

    Only invariants of `invariants.FILE_INVARIANTS` read files.
    """

    name: ClassVar[str]
    """What the rule is called, in the field's terms."""
    label: ClassVar[str]
    """What texts of its violations begin with, in result.json and on the command line."""
    statement: ClassVar[str]
    """What it asserts, in one sentence."""
    shown_by: ClassVar[str]
    """The test that shows it fail: file below tests/lab and function, as `FILE::FUNCTION`."""

    @abstractmethod
    def violations(self, run: RecordedRun) -> Iterable[str]:
        """Yield the detail of each violation, and add to `run.report` what was measured on the way."""

    def check(self, run: RecordedRun) -> None:
        """Add the violations to the run's report."""
        for detail in self.violations(run):
            run.report.violations.append(InvariantViolation(self.label, detail))
