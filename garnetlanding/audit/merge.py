"""The records of many heads read together: who acted on what from when to when, in what order, and what does
not fit. The same for any order of the files. No I/O.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

from garnetlanding.audit.limits import AuditLimits
from garnetlanding.audit.segments import Segment

MS = 1000
OWN = "0.0"  # revision of a head's own file, before it has heard of the writer


@dataclass(slots=True)
class Span:
    """One head under one vector. Wall times are in ms and those of the head's own clock; `until` is when
    it was last known to hold: the next record, or the last one of its life."""

    head: str
    life: int
    since: int
    until: int
    began: int  # by the machine's monotonic clock, us
    ended: int
    vector: dict[str, str]
    changed: list[str]
    heard: list[int]  # head, life and number of the last message heard when it began
    me: int  # its number
    said: int  # that of its own last message by then
    first: int = 0  # requests that the head had taken when it began
    taken: int = 0  # and so many more within it
    how: str = "holds"  # its end: changed, ended in order, crashed, holds
    stalled: bool = False  # nothing was written for long before its end


@dataclass(slots=True)
class FleetTimeline:
    spans: list[Span] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)  # what is missing, contradicts itself, or stood still
    refused: list[tuple[str, int, str, str]] = field(default_factory=list)  # head, wall, component, why


def merge(segments: Iterable[Segment], limits: AuditLimits, missing: Sequence[str] = ()) -> FleetTimeline:
    """`missing`: heads that should have files and have none."""
    fleet, lives = FleetTimeline(), defaultdict[tuple[str, int], list[Segment]](list)
    for segment in segments:
        lives[segment.instance, segment.incarnation].append(segment)
    heads = sorted({head for head, _ in lives})
    for head in heads:
        dropped = max(
            (
                (r["up_to"][0], r["up_to"][1])
                for (who, _), some in lives.items()
                if who == head
                for segment in some
                for r in segment.records
                if r["kind"] == "dropped"
            ),
            default=(0, 0),
        )
        for key in sorted(key for key in lives if key[0] == head):
            _life(sorted(lives[key], key=lambda s: s.number), set(lives), dropped, limits, fleet)
    fleet.problems += [f"{head}: no files" for head in sorted(set(missing) - set(heads))]
    _contradictions(fleet)
    fleet.spans.sort(key=lambda s: (s.since, s.head, s.began))
    return fleet


def _life(
    segments: list[Segment],
    lives: set[tuple[str, int]],
    dropped: tuple[int, int],
    limits: AuditLimits,
    fleet: FleetTimeline,
) -> None:
    """`dropped`: life and number of the last segment that was dropped for size or age."""
    head, life = segments[0].instance, segments[0].incarnation
    checkpoint_us = limits.checkpoint_us
    now: Span | None = None
    last: Segment | None = None
    for segment in segments:
        first = last.number + 1 if last else 1
        gap = [n for n in range(first, segment.number) if (life, n) > dropped]
        if gap:
            fleet.problems.append(f"{head}: segments {gap[0]} to {gap[-1]} of life {life} are missing")
        elif last and segment.number == first and segment.previous_hash != last.last_hash:
            fleet.problems.append(
                f"{head}: segment {segment.number} of life {life} does not follow on "
                "the one before: exchanged, or cut"
            )
        if segment.torn_at is not None:
            fleet.problems.append(
                f"{head}: life {life} was cut short at offset {segment.torn_at} of segment "
                f"{segment.number}"
            )
        for record in segment.records:
            if record["kind"] == "start":
                checkpoint_us = record["checkpoint_us"]
                follows = record["follows"]
                if follows > dropped[0] and (head, follows) not in lives:
                    fleet.problems.append(f"{head}: the files of life {follows} are missing")
            now = _record(head, life, record, now, checkpoint_us * limits.gap_checkpoints, fleet)
        last = segment
    _close(now, "holds")


def _close(now: Span | None, how: str) -> None:
    if now is not None:
        now.how = how


def _record(
    head: str, life: int, r: dict[str, Any], now: Span | None, gap_us: float, fleet: FleetTimeline
) -> Span | None:
    wall, kind = r["wall"], r["kind"]
    if kind == "refused":
        fleet.refused.append((head, wall, r["component"], r["why"]))
    if kind in ("start", "dropped", "refused"):
        return now
    if now is not None:
        gap = r["t"] - now.ended
        if gap > gap_us:
            # It says nothing of what was between: nothing was decided, or it could not write.
            fleet.problems.append(f"{head}: nothing for {gap / 1e6:.1f} s before {wall}: it stood still")
            now.stalled = True
        else:
            now.until, now.ended = max(now.until, wall), r["t"]
        if wall < now.since:
            fleet.problems.append(f"{head}: its clock went back by {now.since - wall} ms or more at {wall}")
        now.taken = r["taken"] - now.first
    if kind == "change":
        _close(now, "changed")
        now = Span(
            head,
            life,
            wall,
            wall,
            r["t"],
            r["t"],
            dict(r["vector"]),
            list(r["changed"]),
            list(r["heard"]),
            r["me"],
            r["said"],
            r["taken"],
        )
        fleet.spans.append(now)
    elif kind == "end":
        _close(now, "ended in order")
        now = None
    return now


def _contradictions(fleet: FleetTimeline) -> None:
    digests: dict[str, dict[str, str]] = defaultdict(dict)  # by revision: digest, and who has it
    for span in fleet.spans:
        revision, _, digest = span.vector.get("settings", "").rpartition("#")
        if revision and revision != OWN:
            digests[revision].setdefault(digest, span.head)
    for revision, found in sorted(digests.items()):
        if len(found) > 1:
            who = ", ".join(f"{head} has {digest}" for digest, head in sorted(found.items()))
            fleet.problems.append(f"settings {revision} has two texts: {who}")
    last: dict[str, dict[int, Span]] = defaultdict(dict)  # by head and life
    for span in sorted(fleet.spans, key=lambda s: s.began):
        last[span.head][span.life] = span
    for lives in last.values():
        for life in sorted(lives)[:-1]:
            # Another life came after it, and it had not said that it ends.
            if lives[life].how == "holds":
                lives[life].how = "crashed"
    numbers: dict[int, set[str]] = defaultdict(set)
    for span in fleet.spans:
        numbers[span.me].add(span.head)
    for number, heads in sorted(numbers.items()):
        if len(heads) > 1:
            fleet.problems.append(f"number {number} is that of {' and '.join(sorted(heads))}")


def at(fleet: FleetTimeline, wall: int) -> list[Span]:
    """Who acted on what at that time, each by its own clock."""
    return [span for span in fleet.spans if span.since <= wall and (wall < span.until or span.how == "holds")]


def on(fleet: FleetTimeline, component: str, version: str) -> list[Span]:
    """All that acted on a version of a component."""
    return [span for span in fleet.spans if _version(span, component) == version]


def _acting(spans: Iterable[Span]) -> list[Span]:
    return [span for span in spans if not span.vector.get("out")]


def _version(span: Span, component: str) -> str:
    return span.vector.get(component, "").rpartition("#")[0] or span.vector.get(component, "")


@dataclass(slots=True)
class Lag:
    """How a version spread: when the first head acted on it, and the last left the one before."""

    component: str
    version: str
    first: str
    since: int
    last: str  # head
    until: int
    heads: int
    why: str  # the last was late


def lags(fleet: FleetTimeline, component: str) -> list[Lag]:
    """Of each version of a component, in the order in which heads first acted on them. A head that is
    out does not act, whatever it holds."""
    first: dict[str, Span] = {}
    for span in sorted(_acting(fleet.spans), key=lambda s: (s.began, s.head)):
        version = _version(span, component)
        if version and (component, version) != ("settings", OWN):
            first.setdefault(version, span)
    found: list[Lag] = []
    order = list(first)
    for before, version in zip(order, order[1:], strict=False):
        # Who acted on the one before when the new one was there already.
        late = [s for s in _acting(on(fleet, component, before)) if s.ended >= first[version].began]
        last = max(late, key=lambda s: (s.ended, s.head), default=None)
        heads = len({s.head for s in _acting(on(fleet, component, version))})
        begun = first[version]
        if last is None:
            found.append(Lag(component, version, begun.head, begun.since, "", begun.since, heads, ""))
        else:
            found.append(
                Lag(
                    component,
                    version,
                    begun.head,
                    begun.since,
                    last.head,
                    begun.since + (last.ended - begun.began) // MS,
                    heads,
                    _why(fleet, last),
                )
            )
    return found


def _why(fleet: FleetTimeline, span: Span) -> str:
    """What its files say of why a head acted on a version to the last."""
    if any(
        head == span.head and abs(wall - span.until) <= span.until - span.since
        for head, wall, *_ in fleet.refused
    ):
        return "refused the change"
    if span.stalled:
        return "stood still"
    if span.how in ("crashed", "ended in order"):
        return span.how
    after = [s for s in fleet.spans if (s.head, s.life) == (span.head, span.life) and s.began >= span.ended]
    if after and (out := min(after, key=lambda s: s.began).vector.get("out")):
        return "was shut out" if out == "shut out" else "could not show that it was current, and stopped"
    if span.how == "holds":
        return "acts on it still"
    return "heard of it last"


def before(one: Span, other: Span) -> bool | None:
    """Whether one head's span began before another's, by a message of the first that the other had heard by
    then; None: neither, the two are concurrent."""

    def heard(a: Span, b: Span) -> bool:
        told = [a.me, a.life]
        return len(b.heard) == 3 and b.heard[:2] == told and b.heard[2] > a.said

    if one.head == other.head and one.life == other.life:
        return one.began <= other.began
    return True if heard(one, other) else False if heard(other, one) else None
