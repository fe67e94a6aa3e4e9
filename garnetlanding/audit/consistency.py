"""Checks across instances: what their records say together that none of them says alone."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence

from garnetlanding.audit.records import SETTINGS
from garnetlanding.audit.timeline import UNREPLICATED_REVISION, Span, SpanEnd


def mark_crashes(spans: Sequence[Span]) -> None:
    """Mark the last span of each incarnation that did not say it ends, where a later incarnation follows."""
    last_spans: dict[str, dict[int, Span]] = defaultdict(dict)  # by instance and incarnation
    for span in sorted(spans, key=lambda span: span.start_us):
        last_spans[span.instance][span.incarnation] = span
    for by_incarnation in last_spans.values():
        for incarnation in sorted(by_incarnation)[:-1]:
            span = by_incarnation[incarnation]
            if span.end == SpanEnd.HOLDS:
                span.end = SpanEnd.CRASHED


def find_contradictions(spans: Sequence[Span]) -> list[str]:
    """Return a text for each settings version with two contents and each number that two instances use."""
    return _conflicting_settings(spans) + _duplicate_numbers(spans)


def _conflicting_settings(spans: Sequence[Span]) -> list[str]:
    holders: dict[str, dict[str, str]] = defaultdict(dict)  # by revision and digest, the first that has it
    for span in spans:
        revision, _, digest = span.versions.get(SETTINGS, "").rpartition("#")
        if revision and revision != UNREPLICATED_REVISION:
            holders[revision].setdefault(digest, span.instance)
    problems = []
    for revision, by_digest in sorted(holders.items()):
        if len(by_digest) > 1:
            who = ", ".join(f"{instance} has {digest}" for digest, instance in sorted(by_digest.items()))
            problems.append(f"settings {revision} has two texts: {who}")
    return problems


def _duplicate_numbers(spans: Sequence[Span]) -> list[str]:
    instances: dict[int, set[str]] = defaultdict(set)  # by their number
    for span in spans:
        instances[span.instance_number].add(span.instance)
    return [
        f"number {number} is that of {' and '.join(sorted(names))}"
        for number, names in sorted(instances.items())
        if len(names) > 1
    ]
