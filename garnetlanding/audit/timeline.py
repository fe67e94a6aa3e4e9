"""Timeline of the versions that each instance of a fleet used, and queries on it.

`merging` builds the timeline from the records of all instances. Wall times are in milliseconds by the
instance's own clock, which may be wrong. The order of events is derived from monotonic times, which are
comparable between instances on one machine, and from the messages between instances.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from garnetlanding.audit.records import FENCE_REASON, SETTINGS, Incarnation, MessageId

UNREPLICATED_REVISION = "0.0"
"""Revision of settings that come from the instance's own file, before it received any from the writer."""


class SpanEnd(StrEnum):
    """How a span ended; values are printed in reports."""

    OPEN = "holds"
    CHANGED = "changed"
    SHUT_DOWN = "ended in order"
    CRASHED = "crashed"


@dataclass(slots=True)
class Span:
    """The time during which one incarnation used one set of versions.

    It ends when the versions were last known to be in use: at the record of the next change, or at the
    incarnation's last record.
    """

    instance: str
    incarnation: int
    instance_number: int
    """The instance's number in the fleet."""
    start_wall_ms: int
    end_wall_ms: int
    start_us: int
    """Monotonic clock of the machine."""
    end_us: int
    versions: dict[str, str]
    """The version of each component."""
    changed: list[str]
    """Components whose change began the span."""
    last_received: MessageId | None
    """The last peer message that the instance had processed when the span began."""
    last_sent: int
    """Number of the last message that the instance had sent when the span began."""
    requests_accepted_before: int
    """Requests that the process had accepted when the span began."""
    requests_accepted: int = 0
    """Requests accepted during the span."""
    end: SpanEnd = SpanEnd.OPEN
    stalled: bool = False
    """Whether nothing was then recorded for longer than `AuditLimits.gap_checkpoints` allows."""

    @property
    def owner(self) -> Incarnation:
        """The incarnation whose span this is."""
        return Incarnation(self.instance, self.incarnation)

    @property
    def is_fenced(self) -> bool:
        """Whether the instance was fenced."""
        return bool(self.versions.get(FENCE_REASON))

    def version(self, component: str) -> str:
        """Return a component's version without its digest; empty if the component has no version."""
        with_digest = self.versions.get(component, "")
        return with_digest.rpartition("#")[0] or with_digest

    def covers(self, wall_ms: int) -> bool:
        """Whether the span includes a time of the instance's wall clock."""
        if wall_ms < self.start_wall_ms:
            return False
        return wall_ms < self.end_wall_ms or self.end == SpanEnd.OPEN


@dataclass(frozen=True, slots=True)
class RejectedChange:
    """A new version that an instance received and rejected."""

    instance: str
    wall_ms: int
    component: str
    reason: str


@dataclass(slots=True)
class FleetTimeline:
    """The spans of all instances in the order of their wall times, and the problems found."""

    spans: list[Span] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)
    """Descriptions of missing files, contradicting records and stalled instances."""
    rejected: list[RejectedChange] = field(default_factory=list)

    def at(self, wall_ms: int) -> list[Span]:
        """Return the spans that include a time, each by its instance's own wall clock."""
        return [span for span in self.spans if span.covers(wall_ms)]

    def with_version(self, component: str, version: str) -> list[Span]:
        """Return the spans with this version of a component, given without its digest."""
        return [span for span in self.spans if span.version(component) == version]


def unfenced(spans: Iterable[Span]) -> list[Span]:
    """Return the spans in which the instance was not fenced."""
    return [span for span in spans if not span.is_fenced]


def is_replicated_version(component: str, version: str) -> bool:
    """Whether a version can be compared between instances: not empty, and not from an instance's own file."""
    return bool(version) and (component, version) != (SETTINGS, UNREPLICATED_REVISION)


def happened_before(first: Span, second: Span) -> bool | None:
    """Whether `first` began before `second`; `None` if the two are concurrent.

    Spans of one incarnation are ordered by the monotonic clock. Spans of different incarnations are ordered
    only by a message that one instance sent after its span began and that the other had received when its
    own span began.
    """
    if first.owner == second.owner:
        return first.start_us <= second.start_us
    if _had_received_from(first, second):
        return True
    if _had_received_from(second, first):
        return False
    return None


def _had_received_from(span: Span, later: Span) -> bool:
    """Whether `later` began after its instance received a message sent after `span` began."""
    message = later.last_received
    if message is None or (message.sender, message.incarnation) != (span.instance_number, span.incarnation):
        return False
    return message.number > span.last_sent
