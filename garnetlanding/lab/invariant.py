"""The base class of a run's invariants, and the recorded run that they check."""

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
    """A finished run to check, and the report that the check fills.

    `lines` holds the lines of all histories, by time; `folder` is None if only the histories are checked.
    """

    experiment: Experiment
    requests: list[Request]
    lines: list[Line]
    report: InvariantReport
    folder: pathlib.Path | None = None

    @cached_property
    def settings(self) -> dict[str, Any]:
        """The initial settings of every instance, in the platform's form."""
        return deep_merge(DEFAULT_SETTINGS, self.experiment.settings)

    def lines_of(self, *kinds: LineKind) -> Iterator[Line]:
        """Yield the lines of these kinds by time."""
        return (line for line in self.lines if line["what"] in kinds)

    def instances_that_left(self) -> set[int]:
        """Return the instances that a fault terminates for good."""
        return self.experiment.instances_affected_by(FaultKind.LEAVE)


class Invariant(ABC):
    """One rule that must hold in every run, checked on the files that the run recorded.

    Only the invariants in `invariants.FILE_INVARIANTS` read files themselves.
    """

    name: ClassVar[str]
    """The rule's unique name."""
    label: ClassVar[str]
    """The prefix of its violations' texts, in result.json and on the command line."""
    statement: ClassVar[str]
    """The assertion, in one sentence."""
    shown_by: ClassVar[str]
    """The test that shows a violation being detected: `FILE::FUNCTION`, with a file of tests/lab."""

    @abstractmethod
    def violations(self, run: RecordedRun) -> Iterable[str]:
        """Yield the detail of each violation, and add measurements to `run.report`."""

    def check(self, run: RecordedRun) -> None:
        """Add the violations to the run's report."""
        for detail in self.violations(run):
            run.report.violations.append(InvariantViolation(self.label, detail))
