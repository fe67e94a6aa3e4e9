"""Merges the records of many instances into one timeline.

The result does not depend on the order of the files. This module does no I/O.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

from garnetlanding.audit.consistency import find_contradictions, mark_crashes
from garnetlanding.audit.limits import SECOND, AuditLimits
from garnetlanding.audit.records import Incarnation, RecordKind, RecordView, SegmentPosition
from garnetlanding.audit.segment import Segment
from garnetlanding.audit.timeline import FleetTimeline, RejectedChange, Span, SpanEnd

_NOTHING_DROPPED = SegmentPosition(0, 0)

_SegmentsByIncarnation = Mapping[Incarnation, Sequence[Segment]]


def merge_segments(
    segments: Iterable[Segment], limits: AuditLimits, expected_instances: Sequence[str] = ()
) -> FleetTimeline:
    """Return the timeline of all segments, with a problem for each expected instance that has none."""
    by_incarnation: dict[Incarnation, list[Segment]] = defaultdict(list)
    for segment in segments:
        by_incarnation[Incarnation(segment.instance, segment.incarnation)].append(segment)
    timeline = FleetTimeline()
    instances = sorted({incarnation.instance for incarnation in by_incarnation})
    for instance in instances:
        _merge_instance(instance, by_incarnation, limits, timeline)
    missing = sorted(set(expected_instances) - set(instances))
    timeline.problems += [f"{instance}: no files" for instance in missing]
    mark_crashes(timeline.spans)
    timeline.problems += find_contradictions(timeline.spans)
    timeline.spans.sort(key=lambda span: (span.start_wall_ms, span.instance, span.start_us))
    return timeline


def _merge_instance(
    instance: str, by_incarnation: _SegmentsByIncarnation, limits: AuditLimits, timeline: FleetTimeline
) -> None:
    incarnations = sorted(incarnation for incarnation in by_incarnation if incarnation.instance == instance)
    dropped = _last_dropped(segment for key in incarnations for segment in by_incarnation[key])
    for incarnation in incarnations:
        _IncarnationMerger(incarnation, by_incarnation, dropped, limits, timeline).merge()


def _last_dropped(segments: Iterable[Segment]) -> SegmentPosition:
    """Return the position of the last segment that the instance deleted because of size or age."""
    records = (RecordView(payload) for segment in segments for payload in segment.records)
    dropped = (record.dropped_up_to for record in records if record.kind == RecordKind.DROPPED)
    return max(dropped, default=_NOTHING_DROPPED)


class _IncarnationMerger:
    """Adds the spans of one incarnation to the timeline, and the problems found in its records."""

    def __init__(
        self,
        incarnation: Incarnation,
        by_incarnation: _SegmentsByIncarnation,
        dropped: SegmentPosition,
        limits: AuditLimits,
        timeline: FleetTimeline,
    ) -> None:
        self._incarnation = incarnation
        self._by_incarnation = by_incarnation
        self._dropped = dropped
        self._limits = limits
        self._timeline = timeline
        self._checkpoint_us = limits.checkpoint_us
        self._span: Span | None = None

    def merge(self) -> None:
        """Process the segments in the order in which they were written."""
        previous: Segment | None = None
        for segment in sorted(self._by_incarnation[self._incarnation], key=lambda segment: segment.number):
            self._check_sequence(previous, segment)
            for payload in segment.records:
                self._add(RecordView(payload))
            previous = segment

    def _report_problem(self, text: str) -> None:
        self._timeline.problems.append(f"{self._incarnation.instance}: {text}")

    def _check_sequence(self, previous: Segment | None, segment: Segment) -> None:
        """Report segments missing before this one, a broken hash chain and a torn tail."""
        number = self._incarnation.number
        expected = previous.number + 1 if previous else 1
        missing = [
            position
            for position in range(expected, segment.number)
            if SegmentPosition(number, position) > self._dropped
        ]
        if missing:
            self._report_problem(f"segments {missing[0]} to {missing[-1]} of life {number} are missing")
        elif previous and segment.number == expected and segment.previous_hash != previous.last_hash:
            self._report_problem(
                f"segment {segment.number} of life {number} does not follow on the one before: "
                "replaced or truncated"
            )
        if segment.torn_at is not None:
            self._report_problem(
                f"life {number} was cut short at offset {segment.torn_at} of segment {segment.number}"
            )

    def _add(self, record: RecordView) -> None:
        match record.kind:
            case RecordKind.START:
                self._add_start(record)
            case RecordKind.REJECTED:
                self._add_rejection(record)
            case RecordKind.DROPPED:
                pass
            case kind:
                self._extend_span(record)
                if kind == RecordKind.CHANGE:
                    self._begin_span(record)
                elif kind == RecordKind.END:
                    self._end_span(SpanEnd.SHUT_DOWN)

    def _add_start(self, record: RecordView) -> None:
        self._checkpoint_us = record.checkpoint_us
        previous = Incarnation(self._incarnation.instance, record.previous_incarnation)
        if previous.number > self._dropped.incarnation and previous not in self._by_incarnation:
            self._report_problem(f"the files of life {previous.number} are missing")

    def _add_rejection(self, record: RecordView) -> None:
        self._timeline.rejected.append(
            RejectedChange(
                self._incarnation.instance,
                record.wall_ms,
                record.rejected_component,
                record.rejection_reason,
            )
        )

    def _extend_span(self, record: RecordView) -> None:
        """Extend the current span to this record, unless the gap before the record is too long.

        Which versions were in use during such a gap is unknown: the instance made no decisions, or it could
        not write records.
        """
        span = self._span
        if span is None:
            return
        wall_ms = record.wall_ms
        gap_us = record.monotonic_us - span.end_us
        if gap_us > self._checkpoint_us * self._limits.gap_checkpoints:
            self._report_problem(f"nothing for {gap_us / SECOND:.1f} s before {wall_ms}: it stood still")
            span.stalled = True
        else:
            span.end_wall_ms = max(span.end_wall_ms, wall_ms)
            span.end_us = record.monotonic_us
        if wall_ms < span.start_wall_ms:
            step_back_ms = span.start_wall_ms - wall_ms
            self._report_problem(f"its wall clock went back by {step_back_ms} ms or more at {wall_ms}")
        span.requests_accepted = record.requests_accepted - span.requests_accepted_before

    def _begin_span(self, record: RecordView) -> None:
        self._end_span(SpanEnd.CHANGED)
        state = record.state
        self._span = Span(
            instance=self._incarnation.instance,
            incarnation=self._incarnation.number,
            instance_number=state.number,
            start_wall_ms=record.wall_ms,
            end_wall_ms=record.wall_ms,
            start_us=record.monotonic_us,
            end_us=record.monotonic_us,
            versions=record.versions,
            changed=record.changed,
            last_received=state.last_received,
            last_sent=state.last_sent,
            requests_accepted_before=state.requests_accepted,
        )
        self._timeline.spans.append(self._span)

    def _end_span(self, end: SpanEnd) -> None:
        if self._span is not None:
            self._span.end = end
        self._span = None
