"""Who acted on which versions from when to when, and questions about it.

A fleet's timeline is what `merging` makes of the records of all instances. Wall times are in milliseconds and
those of the instance's own clock, which may be wrong; the order of events follows from monotonic times, which
instances on one machine have in common, and from the messages between instances.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from garnetlanding.audit.records import FENCED, SETTINGS, Incarnation, MessageId

UNREPLICATED_REVISION = "0.0"
"""Settings version of an instance's own file, before it received any from the writer."""


class SpanEnd(StrEnum):
    """How a span ended, with the word reported for it."""

    HOLDS = "holds"
    CHANGED = "changed"
    ENDED_IN_ORDER = "ended in order"
    CRASHED = "crashed"


@dataclass(slots=True)
class Span:
    """The time in which one incarnation acted on one set of versions.

    It lasts until it was last known to hold: until the record of the next change, or the incarnation's last
    record.
    """

    instance: str
    incarnation: int
    instance_number: int
    """The instance's number in the fleet."""
    start_wall_ms: int
    end_wall_ms: int
    start_us: int
    """By the machine's monotonic clock."""
    end_us: int
    versions: dict[str, str]
    """The version of each component."""
    changed: list[str]
    """Components whose change began the span."""
    last_received: MessageId | None
    """The last peer message that the instance had processed when the span began."""
    last_sent: int
    """Number of the last message that the instance had sent by then."""
    first_request: int
    """Requests that the instance had accepted when the span began."""
    requests_taken: int = 0
    """Requests that it accepted within the span."""
    end: SpanEnd = SpanEnd.HOLDS
    stalled: bool = False
    """Whether nothing was recorded for long before the end."""

    @property
    def owner(self) -> Incarnation:
        """Instance and incarnation together."""
        return Incarnation(self.instance, self.incarnation)

    @property
    def is_acting(self) -> bool:
        """Whether the instance was not fenced."""
        return not self.versions.get(FENCED)

    def version(self, component: str) -> str:
        """Return a component's version without its digest; empty where it has none."""
        full = self.versions.get(component, "")
        return full.rpartition("#")[0] or full

    def covers(self, wall_ms: int) -> bool:
        """Whether the span holds at a time of the instance's wall clock."""
        if wall_ms < self.start_wall_ms:
            return False
        return wall_ms < self.end_wall_ms or self.end == SpanEnd.HOLDS


@dataclass(frozen=True, slots=True)
class RejectedChange:
    """A new version that an instance received and rejected."""

    instance: str
    wall_ms: int
    component: str
    reason: str


@dataclass(slots=True)
class FleetTimeline:
    """All spans of all instances in the order of their wall times, and what does not fit."""

    spans: list[Span] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)
    """Files that are missing, records that contradict each other, instances that stalled."""
    rejected: list[RejectedChange] = field(default_factory=list)

    def at(self, wall_ms: int) -> list[Span]:
        """Return who acted on what at a time, each instance by its own wall clock."""
        return [span for span in self.spans if span.covers(wall_ms)]

    def with_version(self, component: str, version: str) -> list[Span]:
        """Return the spans under a version of a component, given without its digest."""
        return [span for span in self.spans if span.version(component) == version]


def acting(spans: Iterable[Span]) -> list[Span]:
    """Return the spans in which the instance was not fenced."""
    return [span for span in spans if span.is_acting]


def is_replicated_version(component: str, version: str) -> bool:
    """Whether a version is comparable between instances: neither absent nor of an instance's own file."""
    return bool(version) and (component, version) != (SETTINGS, UNREPLICATED_REVISION)


def happened_before(one: Span, other: Span) -> bool | None:
    """Whether one span began before another; `None` where the two are concurrent.

    Within an incarnation the monotonic clock decides. Between instances only a message does: one that the
    first sent after its span began and the other had received when its own did.
    """
    if one.owner == other.owner:
        return one.start_us <= other.start_us
    if _had_received_from(one, other):
        return True
    if _had_received_from(other, one):
        return False
    return None


def _had_received_from(span: Span, later: Span) -> bool:
    """Whether `later` began after its instance received a message sent after `span` began."""
    message = later.last_received
    if message is None or (message.sender, message.incarnation) != (span.instance_number, span.incarnation):
        return False
    return message.number > span.last_sent
