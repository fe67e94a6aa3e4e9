"""Checks the audit of an experiment against its histories: under which settings each attempt was sent."""

from __future__ import annotations

import pathlib
from bisect import bisect_right
from collections import defaultdict
from collections.abc import Sequence

from garnetlanding.audit.limits import LIMITS
from garnetlanding.audit.merging import merge_segments
from garnetlanding.audit.records import SETTINGS, Incarnation
from garnetlanding.audit.segment import Segment
from garnetlanding.audit.segment_reader import read_segments
from garnetlanding.lab.findings import Findings
from garnetlanding.lab.history import Line

_Changes = list[tuple[int, str]]
"""Monotonic times in microseconds and the settings version in force from each on, by time."""


def check(folder: pathlib.Path, lines: list[Line], found: Findings) -> None:
    """Check that the audit names the settings under which each attempt of each instance was sent."""
    read = read_segments([str(folder)])
    found.broken += [f"audit: {problem}" for problem in read.problems]
    audited = _audited_settings(read.segments)
    applied = _applied_settings(lines)
    for line in lines:
        if line["what"] != "answered":
            continue
        incarnation = Incarnation(line["who"], line["life"])
        for _, _, sent_us in line["attempts"]:
            by_history = _version_at(applied[incarnation], sent_us)
            by_audit = _version_at(audited[incarnation], sent_us)
            found.audited += 1
            if by_history != by_audit:
                found.broken.append(
                    f"audit: {line['id']} was sent by {incarnation.instance} on {by_history}, "
                    f"the audit says {by_audit}"
                )


def _audited_settings(segments: Sequence[Segment]) -> dict[Incarnation, _Changes]:
    changes: dict[Incarnation, _Changes] = defaultdict(list)
    timeline = merge_segments(segments, LIMITS)
    for span in sorted(timeline.spans, key=lambda span: span.start_us):
        changes[span.owner].append((span.start_us, span.versions[SETTINGS]))
    return changes


def _applied_settings(lines: list[Line]) -> dict[Incarnation, _Changes]:
    changes: dict[Incarnation, _Changes] = defaultdict(list)
    for line in lines:
        if line["what"] == "settings":
            version = f"{line['epoch']}.{line['revision']}#{line['digest']:08x}"
            changes[Incarnation(line["who"], line["life"])].append((line["at"], version))
    return changes


def _version_at(changes: _Changes, at_us: int) -> str:
    """Return the version in force at a time; empty before the first."""
    index = bisect_right([changed_us for changed_us, _ in changes], at_us)
    return changes[index - 1][1] if index else ""
