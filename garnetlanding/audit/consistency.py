"""Checks that compare the records of several incarnations or instances."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence

from garnetlanding.audit.records import SETTINGS
from garnetlanding.audit.timeline import UNREPLICATED_REVISION, Span, SpanEnd


def mark_crashes(spans: Sequence[Span]) -> None:
    """Mark the last span of an incarnation as crashed if it has no end record and a later one followed."""
    last_spans: dict[str, dict[int, Span]] = defaultdict(dict)  # by instance and incarnation
    for span in sorted(spans, key=lambda span: span.start_us):
        last_spans[span.instance][span.incarnation] = span
    for by_incarnation in last_spans.values():
        for incarnation in sorted(by_incarnation)[:-1]:
            span = by_incarnation[incarnation]
            if span.end == SpanEnd.OPEN:
                span.end = SpanEnd.CRASHED


def find_contradictions(spans: Sequence[Span]) -> list[str]:
    """Describe each settings revision with different digests and each number that several instances use."""
    return _conflicting_settings(spans) + _duplicate_instance_numbers(spans)


def _conflicting_settings(spans: Sequence[Span]) -> list[str]:
    instances: dict[str, dict[str, str]] = defaultdict(dict)  # first instance by revision, then by digest
    for span in spans:
        revision, _, digest = span.versions.get(SETTINGS, "").rpartition("#")
        if revision and revision != UNREPLICATED_REVISION:
            instances[revision].setdefault(digest, span.instance)
    problems = []
    for revision, by_digest in sorted(instances.items()):
        if len(by_digest) > 1:
            digests = ", ".join(f"{instance} has {digest}" for digest, instance in sorted(by_digest.items()))
            problems.append(f"settings {revision} has two texts: {digests}")
    return problems


def _duplicate_instance_numbers(spans: Sequence[Span]) -> list[str]:
    names_by_number: dict[int, set[str]] = defaultdict(set)
    for span in spans:
        names_by_number[span.instance_number].add(span.instance)
    return [
        f"number {number} is used by {' and '.join(sorted(names))}"
        for number, names in sorted(names_by_number.items())
        if len(names) > 1
    ]
