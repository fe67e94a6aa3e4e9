"""Invariants of settings: replication, staleness, fencing, and agreement with the audit."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from garnetlanding.audit.limits import LIMITS as AUDIT_LIMITS
from garnetlanding.audit.merging import merge_segments
from garnetlanding.audit.records import SETTINGS, Incarnation
from garnetlanding.audit.segment import Segment
from garnetlanding.audit.segment_reader import read_segments
from garnetlanding.decision.interface import Outcome
from garnetlanding.lab.history import Line, LineKind
from garnetlanding.lab.invariant import Invariant, RecordedRun
from garnetlanding.lab.limits import LIMITS, SECOND

AUDIT_FOLDER = "audit"
"""The folder of the instances' audit, in a run's folder."""

WRITER = "n0"
"""The instance that writes the settings store."""


@dataclass(frozen=True, slots=True, order=True)
class SettingsVersion:
    """A version of the settings, in the order in which the writer created them."""

    epoch: int
    revision: int

    def __str__(self) -> str:
        return f"({self.epoch}, {self.revision})"


_OWN_FILE = SettingsVersion(0, 0)
"""The version of an instance's own file, in force until it has received settings from the writer."""


def _version(line: Line) -> SettingsVersion:
    return SettingsVersion(line["epoch"], line["revision"])


def _dispatched_at(line: Line) -> Iterator[int]:
    """Yield the dispatch time of each attempt of an answered request, skipping attempts never dispatched.

    A fenced instance records an attempt that its decision module requests, but ends it before sending.
    """
    for _, outcome, sent_us in line["attempts"]:
        if outcome != Outcome.NEVER_DISPATCHED.value:
            yield sent_us


class SettingsReplicated(Invariant):
    """Every instance ends with the writer's settings, and a version has the same text everywhere."""

    name = "settings replicated"
    label = "settings"
    statement = "A settings version has one text, and at the end every running instance has the writer's."
    shown_by = "test_settings_invariants.py::test_diverging_settings_are_a_violation"

    def violations(self, run: RecordedRun) -> Iterator[str]:
        """Yield versions with two texts, and instances without the writer's."""
        if not run.experiment.store:
            return
        digests: dict[SettingsVersion, int] = {}
        latest: dict[str, int] = {}
        for line in run.lines_of(LineKind.SETTINGS_APPLIED):
            version = _version(line)
            digest = line["digest"]
            latest[line["who"]] = digest
            if version != _OWN_FILE and digests.setdefault(version, digest) != digest:
                yield f"{line['who']} has a different text of version {version}"
        if WRITER not in latest:
            return
        left = {f"n{number}" for number in run.instances_that_left()}
        for instance, digest in sorted(latest.items()):
            if instance not in left and digest != latest[WRITER]:
                yield f"{instance} does not have the writer's settings at the end"


class SettingsStaleness(Invariant):
    """No attempt is sent under settings that were superseded longer ago than the limit.

    The tolerance is one event-loop iteration.
    """

    name = "settings staleness"
    label = "current"
    statement = "No follower sends under settings that the writer replaced longer ago than the limit."
    shown_by = "test_settings_invariants.py::test_attempt_on_stale_settings_is_a_violation"

    def violations(self, run: RecordedRun) -> Iterator[str]:
        """Yield an exceeded limit, and measure the greatest age."""
        if not run.experiment.staleness_limit_s:
            return
        made_us: dict[SettingsVersion, int] = {}
        applied: dict[Incarnation, list[tuple[int, SettingsVersion]]] = defaultdict(list)
        for line in run.lines_of(LineKind.SETTINGS_APPLIED):
            if line["who"] == WRITER:
                made_us.setdefault(_version(line), line["at"])
            applied[Incarnation(line["who"], line["life"])].append((line["at"], _version(line)))
        for line in run.lines_of(LineKind.REQUEST_ENDED):
            if line["who"] == WRITER:
                continue
            changes = applied[Incarnation(line["who"], line["life"])]
            for sent_us in _dispatched_at(line):
                used = max((version for at_us, version in changes if at_us <= sent_us), default=_OWN_FILE)
                age_us = sent_us - _superseded_us(made_us, used, sent_us)
                run.report.settings_age_max_us = max(run.report.settings_age_max_us, age_us)
        if (
            run.report.settings_age_max_us
            > run.experiment.staleness_limit_s * SECOND + LIMITS.dispatch_latency_us
        ):
            age_s = run.report.settings_age_max_us / SECOND
            yield f"an instance sent under settings that were superseded {age_s:.2f} s before"


def _superseded_us(made_us: dict[SettingsVersion, int], used: SettingsVersion, sent_us: int) -> int:
    """Return when the first later version was created; the time of sending if there was none yet."""
    return min(
        (at_us for version, at_us in made_us.items() if version > used and at_us <= sent_us),
        default=sent_us,
    )


class FencedSendsNothing(Invariant):
    """An instance sends nothing from when it records that it is fenced until it is unfenced."""

    name = "fenced sends nothing"
    label = "out"
    statement = "No attempt is sent by an instance while its history says that it is fenced."
    shown_by = "test_settings_invariants.py::test_attempt_of_a_fenced_instance_is_a_violation"

    def violations(self, run: RecordedRun) -> Iterator[str]:
        """Yield each attempt of a fenced instance."""
        changes: dict[str, list[tuple[int, bool]]] = defaultdict(list)
        for line in run.lines_of(LineKind.FENCING_CHANGED):
            changes[line["who"]].append((line["at"], line["out"]))
        for line in run.lines_of(LineKind.REQUEST_ENDED):
            for sent_us in _dispatched_at(line):
                states = [is_fenced for at_us, is_fenced in changes[line["who"]] if at_us <= sent_us]
                if states and states[-1]:
                    yield f"{line['id']} was sent by {line['who']}, which was fenced"


_Changes = list[tuple[int, str]]
"""Monotonic times in microseconds and the settings version in force from each on, by time."""


class AuditAgrees(Invariant):
    """The audit gives the settings under which each attempt of each instance was sent.

    Reads the audit folder, in addition to the histories.
    """

    name = "audit agrees"
    label = "audit"
    statement = "The audit is readable, and for each attempt it gives the same settings as the history."
    shown_by = "test_settings_invariants.py::test_attempt_that_the_audit_does_not_know_is_a_violation"

    def violations(self, run: RecordedRun) -> Iterator[str]:
        """Yield read errors and each attempt on which audit and history disagree; count the attempts."""
        if run.folder is None or not run.experiment.audit:
            return
        read = read_segments([str(run.folder / AUDIT_FOLDER)])
        yield from (str(error) for error in read.problems)
        audited = _audited_settings(read.segments)
        applied = _applied_settings(run)
        for line in run.lines_of(LineKind.REQUEST_ENDED):
            incarnation = Incarnation(line["who"], line["life"])
            for _, _, sent_us in line["attempts"]:
                by_history = _version_at(applied[incarnation], sent_us)
                by_audit = _version_at(audited[incarnation], sent_us)
                run.report.audited_attempts += 1
                if by_history != by_audit:
                    yield (
                        f"{line['id']} was sent by {incarnation.instance} on {by_history}, "
                        f"the audit says {by_audit}"
                    )


def _audited_settings(segments: Sequence[Segment]) -> dict[Incarnation, _Changes]:
    changes: dict[Incarnation, _Changes] = defaultdict(list)
    timeline = merge_segments(segments, AUDIT_LIMITS)
    for span in sorted(timeline.spans, key=lambda span: span.start_us):
        changes[span.owner].append((span.start_us, span.versions[SETTINGS]))
    return changes


def _applied_settings(run: RecordedRun) -> dict[Incarnation, _Changes]:
    changes: dict[Incarnation, _Changes] = defaultdict(list)
    for line in run.lines_of(LineKind.SETTINGS_APPLIED):
        version = f"{line['epoch']}.{line['revision']}#{line['digest']:08x}"
        changes[Incarnation(line["who"], line["life"])].append((line["at"], version))
    return changes


def _version_at(changes: _Changes, at_us: int) -> str:
    """Return the version in force at a time; an empty string before the first."""
    index = bisect_right([changed_us for changed_us, _ in changes], at_us)
    return changes[index - 1][1] if index else ""
