"""The invariants that must hold in every run, in the order in which violations are reported."""

from __future__ import annotations

import pathlib

from garnetlanding.lab.experiment import Experiment
from garnetlanding.lab.history import Line, LineKind
from garnetlanding.lab.invariant import Invariant, RecordedRun
from garnetlanding.lab.log_invariants import NoDefectLogged
from garnetlanding.lab.peer_invariants import (
    DisabledBackendsConverge,
    MembershipConverges,
    SuspicionEvidence,
)
from garnetlanding.lab.quota_invariants import (
    BackendConnectionLimit,
    DuplicateQuotaSum,
    QuotaSum,
    WarmingLoad,
    measure_quota_sums,
)
from garnetlanding.lab.request_invariants import (
    AttemptLimit,
    EveryRequestAnswered,
    RateLimit,
    RetryBudget,
    ServedWasExecuted,
    SingleResponse,
)
from garnetlanding.lab.settings_invariants import (
    AuditAgrees,
    FencedSendsNothing,
    SettingsReplicated,
    SettingsStaleness,
)
from garnetlanding.lab.violations import InvariantReport
from garnetlanding.lab.workload import Request

HISTORY_INVARIANTS: tuple[Invariant, ...] = (
    SingleResponse(),
    EveryRequestAnswered(),
    AttemptLimit(),
    ServedWasExecuted(),
    DuplicateQuotaSum(),
    QuotaSum(),
    RateLimit(),
    SuspicionEvidence(),
    DisabledBackendsConverge(),
    MembershipConverges(),
    WarmingLoad(),
    BackendConnectionLimit(),
    SettingsReplicated(),
    RetryBudget(),
    SettingsStaleness(),
    FencedSendsNothing(),
)
"""The invariants that are checked on the histories alone."""

FILE_INVARIANTS: tuple[Invariant, ...] = (AuditAgrees(), NoDefectLogged())
"""The invariants that also read other files of the run's folder."""


def check(
    experiment: Experiment,
    requests: list[Request],
    lines: list[Line],
    folder: pathlib.Path | None = None,
) -> InvariantReport:
    """Check a run by its histories and, if a folder is given, by the audit and the logs in it.

    Without a folder there is no I/O; with one, raises OSError if it cannot be read.
    """
    run = RecordedRun(experiment, requests, lines, InvariantReport(requests=len(requests)), folder)
    _measure(run)
    for invariant in HISTORY_INVARIANTS:
        invariant.check(run)
    if folder is not None:
        for invariant in FILE_INVARIANTS:
            invariant.check(run)
    return run.report


def _measure(run: RecordedRun) -> None:
    """Add the counts that several invariants, or only the report's reader, need."""
    report = run.report
    report.attempts = sum(1 for _ in run.lines_of(LineKind.EXECUTED))
    for line in run.lines_of(LineKind.STARTED):
        report.incarnations[line["who"]] = report.incarnations.get(line["who"], 0) + 1
    report.connections_at_end = sum(line["count"] for line in run.lines_of(LineKind.CONNECTIONS_LEFT))
    measure_quota_sums(run)
