"""How long versions took to spread, and why the last instance was late."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from garnetlanding.audit.limits import MS
from garnetlanding.audit.records import FENCED, FENCED_BY_OPERATOR
from garnetlanding.audit.timeline import FleetTimeline, Span, SpanEnd, acting, is_replicated_version


class LagReason(StrEnum):
    """Why an instance acted on the version before to the last, with the words reported for it."""

    REJECTED = "refused the change"
    STALLED = "stood still"
    CRASHED = "crashed"
    ENDED_IN_ORDER = "ended in order"
    FENCED_BY_OPERATOR = "was shut out"
    FENCED_AS_STALE = "could not show that it was current, and stopped"
    STILL_ACTING = "acts on it still"
    LAST_NOTIFIED = "heard of it last"


@dataclass(frozen=True, slots=True)
class LastHolder:
    """The instance that left the version before last."""

    instance: str
    left_wall_ms: int
    """When it left it, by the wall clock of the instance that had the new version first."""
    reason: LagReason


@dataclass(frozen=True, slots=True)
class Lag:
    """How one version of a component spread."""

    component: str
    version: str
    first_instance: str
    """The instance that acted on it first."""
    start_wall_ms: int
    """When it began to."""
    instances: int
    """How many instances came to act on it."""
    last_holder: LastHolder | None
    """`None` where nobody acted on the version before any more when this one appeared."""

    @property
    def end_wall_ms(self) -> int:
        """When the version before was left by all."""
        return self.start_wall_ms if self.last_holder is None else self.last_holder.left_wall_ms


def lags(timeline: FleetTimeline, component: str) -> list[Lag]:
    """Return a lag for each version of a component after the first one.

    Versions come in the order in which instances first acted on them. A fenced instance does not act,
    whatever versions it holds.
    """
    first_spans = _first_spans(timeline, component)
    order = list(first_spans)
    return [
        _lag(timeline, component, previous, first_spans[version])
        for previous, version in zip(order, order[1:], strict=False)
    ]


def _first_spans(timeline: FleetTimeline, component: str) -> dict[str, Span]:
    """Return the span of the instance that acted first on each version, in that order."""
    first_spans: dict[str, Span] = {}
    for span in sorted(acting(timeline.spans), key=lambda span: (span.start_us, span.instance)):
        version = span.version(component)
        if is_replicated_version(component, version):
            first_spans.setdefault(version, span)
    return first_spans


def _lag(timeline: FleetTimeline, component: str, previous: str, first: Span) -> Lag:
    version = first.version(component)
    holders = acting(timeline.with_version(component, version))
    return Lag(
        component=component,
        version=version,
        first_instance=first.instance,
        start_wall_ms=first.start_wall_ms,
        instances=len({span.instance for span in holders}),
        last_holder=_last_holder(timeline, component, previous, first),
    )


def _last_holder(timeline: FleetTimeline, component: str, previous: str, first: Span) -> LastHolder | None:
    """Return who left the previous version last, of those that still acted on it when `first` began."""
    late = [
        span for span in acting(timeline.with_version(component, previous)) if span.end_us >= first.start_us
    ]
    if not late:
        return None
    last = max(late, key=lambda span: (span.end_us, span.instance))
    left_wall_ms = first.start_wall_ms + (last.end_us - first.start_us) // MS
    return LastHolder(last.instance, left_wall_ms, _reason(timeline, last))


def _reason(timeline: FleetTimeline, span: Span) -> LagReason:
    """Return what an instance's own records say of why it acted on a version to the last."""
    if _rejected_about_then(timeline, span):
        return LagReason.REJECTED
    if span.stalled:
        return LagReason.STALLED
    if span.end == SpanEnd.CRASHED:
        return LagReason.CRASHED
    if span.end == SpanEnd.ENDED_IN_ORDER:
        return LagReason.ENDED_IN_ORDER
    fenced = _fenced_after(timeline, span)
    if fenced == FENCED_BY_OPERATOR:
        return LagReason.FENCED_BY_OPERATOR
    if fenced:
        return LagReason.FENCED_AS_STALE
    if span.end == SpanEnd.HOLDS:
        return LagReason.STILL_ACTING
    return LagReason.LAST_NOTIFIED


def _rejected_about_then(timeline: FleetTimeline, span: Span) -> bool:
    """Whether the instance rejected a change no farther from the span's end than the span is long."""
    duration_ms = span.end_wall_ms - span.start_wall_ms
    return any(
        change.instance == span.instance and abs(change.wall_ms - span.end_wall_ms) <= duration_ms
        for change in timeline.rejected
    )


def _fenced_after(timeline: FleetTimeline, span: Span) -> str:
    """Return why the instance was fenced in its next span; empty where it was not, or there is none."""
    later = [other for other in timeline.spans if other.owner == span.owner and other.start_us >= span.end_us]
    if not later:
        return ""
    return min(later, key=lambda other: other.start_us).versions.get(FENCED, "")
