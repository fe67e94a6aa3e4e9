"""The `audit` commands: each reads the audits of many instances and prints what they say.

Every command returns its exit code and raises `OSError` for files that cannot be read and `AuditError` for
places without records and questions that cannot be parsed. Corrupt files are reported as problems beside
what they still hold. No instance in service imports this module.
"""

from __future__ import annotations

import json
import pathlib
import sys
from collections.abc import Sequence

from rich.console import Console
from rich.progress import Progress

from garnetlanding.audit.chart import draw_chart
from garnetlanding.audit.errors import InvalidQueryError, NoRecordsError
from garnetlanding.audit.lag import lags
from garnetlanding.audit.limits import LIMITS
from garnetlanding.audit.merged_file import write_merged_file
from garnetlanding.audit.merging import merge_segments
from garnetlanding.audit.rendering import lag_row, print_problems, print_rows, span_row
from garnetlanding.audit.segment_reader import SegmentsRead, read_segments
from garnetlanding.audit.timeline import FleetTimeline, Span
from garnetlanding.audit.wall_time import parse_wall_ms

FOUND = 0
NOT_FOUND = 1
"""Exit code of `who` for a question that no span answers, and of `verify` for audits with problems."""


def show(places: Sequence[str], as_json: bool, chart: str | None) -> int:
    """Print all spans of all instances by time, and draw a chart if a file for it is named."""
    timeline = _read_timeline(places)
    _print_spans(timeline.spans, timeline.problems, as_json)
    if chart:
        draw_chart(timeline, pathlib.Path(chart))
    return FOUND


def merge(places: Sequence[str], out: str) -> int:
    """Write all spans and problems to one file."""
    write_merged_file(_read_timeline(places), out)
    return FOUND


def who(places: Sequence[str], when: str | None, version: str | None, as_json: bool) -> int:
    """Print who acted on what at a time, or who acted on a version given as COMPONENT=VERSION."""
    timeline = _read_timeline(places)
    spans = timeline.at(parse_wall_ms(when)) if when is not None else _with_version(timeline, version or "")
    _print_spans(spans, timeline.problems, as_json)
    return FOUND if spans else NOT_FOUND


def lag(places: Sequence[str], component: str, as_json: bool) -> int:
    """Print how each version of a component spread."""
    timeline = _read_timeline(places)
    rows = [lag_row(found) for found in lags(timeline, component)]
    print_rows(rows, timeline.problems, as_json)
    return FOUND


def verify(places: Sequence[str], expected_instances: Sequence[str], as_json: bool) -> int:
    """Print what does not fit, including instances that are expected to have files and have none."""
    timeline = _read_timeline(places, expected_instances)
    problems = timeline.problems
    if as_json:
        print(json.dumps({"sound": not problems, "problems": problems}, indent=1))
    else:
        print_problems(problems)
        instances = {span.instance for span in timeline.spans}
        print(f"{len(instances)} heads, {len(timeline.spans)} spans, {len(problems)} problems")
    return NOT_FOUND if problems else FOUND


def _print_spans(spans: Sequence[Span], problems: Sequence[str], as_json: bool) -> None:
    print_rows([span_row(span) for span in spans], problems, as_json)


def _with_version(timeline: FleetTimeline, query: str) -> list[Span]:
    component, separator, version = query.partition("=")
    if not separator:
        raise InvalidQueryError(f"not COMPONENT=VERSION: {query!r:.40}")
    return timeline.with_version(component, version)


def _read_timeline(places: Sequence[str], expected_instances: Sequence[str] = ()) -> FleetTimeline:
    """Read all places, each segment once however often its place is named, and merge what they hold."""
    found = _read_places(places)
    if not found.segments:
        raise NoRecordsError(f"no audit in {', '.join(places)}")
    segments = {
        (segment.instance, segment.incarnation, segment.number): segment for segment in found.segments
    }
    timeline = merge_segments(segments.values(), LIMITS, expected_instances)
    timeline.problems = sorted({*found.problems, *timeline.problems})
    return timeline


def _read_places(places: Sequence[str]) -> SegmentsRead:
    """Read the places one by one, with a progress bar where standard error is a terminal."""
    found = SegmentsRead()
    with Progress(console=Console(stderr=True), disable=not sys.stderr.isatty()) as bar:
        task = bar.add_task("reading", total=len(places))
        for place in places:
            found.add(read_segments([place]))
            bar.advance(task)
    return found
