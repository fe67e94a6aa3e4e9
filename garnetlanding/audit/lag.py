"""Propagation delay of each version, and why the last instance was late to switch to it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from garnetlanding.audit.limits import MS
from garnetlanding.audit.records import FENCE_REASON, FENCED_BY_OPERATOR
from garnetlanding.audit.timeline import FleetTimeline, Span, SpanEnd, is_replicated_version, unfenced


class LagReason(StrEnum):
    """Why an instance was the last to stop using the previous version; values are printed in reports."""

    REJECTED = "refused the change"
    STALLED = "stood still"
    CRASHED = "crashed"
    SHUT_DOWN = "ended in order"
    FENCED_BY_OPERATOR = "was shut out"
    FENCED_AS_STALE = "could not show that it was current, and stopped"
    STILL_IN_USE = "acts on it still"
    LAST_NOTIFIED = "heard of it last"


@dataclass(frozen=True, slots=True)
class SlowestInstance:
    """The last instance to stop using the previous version."""

    instance: str
    left_wall_ms: int
    """When it stopped, by the wall clock of the first instance to use the new version."""
    reason: LagReason


@dataclass(frozen=True, slots=True)
class Lag:
    """Propagation of one version of a component."""

    component: str
    version: str
    first_instance: str
    """The first instance to use it."""
    start_wall_ms: int
    """When that instance began to use it."""
    instance_count: int
    """How many instances used it."""
    slowest_instance: SlowestInstance | None
    """`None` if no instance used the previous version any more when this one appeared."""

    @property
    def end_wall_ms(self) -> int:
        """When no instance used the previous version any more."""
        return self.start_wall_ms if self.slowest_instance is None else self.slowest_instance.left_wall_ms


def find_lags(timeline: FleetTimeline, component: str) -> list[Lag]:
    """Return a lag for each version of a component after the first one.

    Versions are in the order in which they were first used. A fenced instance is ignored, because it does not
    act on the versions that it has.
    """
    first_spans = _first_span_by_version(timeline, component)
    order = list(first_spans)
    return [
        _lag(timeline, component, previous, first_spans[version])
        for previous, version in zip(order, order[1:], strict=False)
    ]


def _first_span_by_version(timeline: FleetTimeline, component: str) -> dict[str, Span]:
    """Return the earliest span of each version, in the order in which the versions were first used."""
    first_spans: dict[str, Span] = {}
    for span in sorted(unfenced(timeline.spans), key=lambda span: (span.start_us, span.instance)):
        version = span.version(component)
        if is_replicated_version(component, version):
            first_spans.setdefault(version, span)
    return first_spans


def _lag(timeline: FleetTimeline, component: str, previous: str, first: Span) -> Lag:
    version = first.version(component)
    spans = unfenced(timeline.with_version(component, version))
    return Lag(
        component=component,
        version=version,
        first_instance=first.instance,
        start_wall_ms=first.start_wall_ms,
        instance_count=len({span.instance for span in spans}),
        slowest_instance=_slowest_instance(timeline, component, previous, first),
    )


def _slowest_instance(
    timeline: FleetTimeline, component: str, previous: str, first: Span
) -> SlowestInstance | None:
    """Return the last instance to stop using `previous`, of those that still used it when `first` began."""
    late = [
        span for span in unfenced(timeline.with_version(component, previous)) if span.end_us >= first.start_us
    ]
    if not late:
        return None
    last = max(late, key=lambda span: (span.end_us, span.instance))
    left_wall_ms = first.start_wall_ms + (last.end_us - first.start_us) // MS
    return SlowestInstance(last.instance, left_wall_ms, _lag_reason(timeline, last))


def _lag_reason(timeline: FleetTimeline, span: Span) -> LagReason:
    """Return why the instance of the span was the last to stop using its version, by its own records."""
    if _rejected_change_near_end(timeline, span):
        return LagReason.REJECTED
    if span.stalled:
        return LagReason.STALLED
    if span.end == SpanEnd.CRASHED:
        return LagReason.CRASHED
    if span.end == SpanEnd.SHUT_DOWN:
        return LagReason.SHUT_DOWN
    fence_reason = _next_fence_reason(timeline, span)
    if fence_reason == FENCED_BY_OPERATOR:
        return LagReason.FENCED_BY_OPERATOR
    if fence_reason:
        return LagReason.FENCED_AS_STALE
    if span.end == SpanEnd.OPEN:
        return LagReason.STILL_IN_USE
    return LagReason.LAST_NOTIFIED


def _rejected_change_near_end(timeline: FleetTimeline, span: Span) -> bool:
    """Whether the instance rejected a change within one span duration of the span's end."""
    duration_ms = span.end_wall_ms - span.start_wall_ms
    return any(
        change.instance == span.instance and abs(change.wall_ms - span.end_wall_ms) <= duration_ms
        for change in timeline.rejected
    )


def _next_fence_reason(timeline: FleetTimeline, span: Span) -> str:
    """Return why the incarnation was fenced in its next span; empty if it was not or no span follows."""
    later = [other for other in timeline.spans if other.owner == span.owner and other.start_us >= span.end_us]
    if not later:
        return ""
    return min(later, key=lambda other: other.start_us).versions.get(FENCE_REASON, "")
