"""The `audit` commands, each of which reads the audits of many instances and prints a report.

Every command returns its exit code. It raises `OSError` for files that cannot be read, and `AuditError` for
paths without records and queries that cannot be parsed. A corrupt file is reported as a problem, and its
intact records are used. This module is not imported by a running instance.
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
from garnetlanding.audit.lag import find_lags
from garnetlanding.audit.limits import LIMITS
from garnetlanding.audit.merged_file import write_merged_file
from garnetlanding.audit.merging import merge_segments
from garnetlanding.audit.rendering import lag_row, print_problems, print_rows, span_row
from garnetlanding.audit.segment_reader import ReadResult, read_segments
from garnetlanding.audit.timeline import FleetTimeline, Span
from garnetlanding.audit.wall_time import parse_wall_ms

EXIT_OK = 0
EXIT_FAILURE = 1
"""Exit code of `who` if no span matches, and of `verify` if there are problems."""


def show(paths: Sequence[str], as_json: bool, chart: str | None) -> int:
    """Print the spans of all instances by time, and draw a chart if its path is given."""
    timeline = _read_timeline(paths)
    _print_spans(timeline.spans, timeline.problems, as_json)
    if chart:
        draw_chart(timeline, pathlib.Path(chart))
    return EXIT_OK


def merge(paths: Sequence[str], out: str) -> int:
    """Write all spans and problems to one file."""
    write_merged_file(_read_timeline(paths), out)
    return EXIT_OK


def who(paths: Sequence[str], at: str | None, version: str | None, as_json: bool) -> int:
    """Print the spans that include a time, or those with a version given as COMPONENT=VERSION."""
    timeline = _read_timeline(paths)
    spans = timeline.at(parse_wall_ms(at)) if at is not None else _with_version(timeline, version or "")
    _print_spans(spans, timeline.problems, as_json)
    return EXIT_OK if spans else EXIT_FAILURE


def lag(paths: Sequence[str], component: str, as_json: bool) -> int:
    """Print the lag of each version of a component."""
    timeline = _read_timeline(paths)
    rows = [lag_row(version_lag) for version_lag in find_lags(timeline, component)]
    print_rows(rows, timeline.problems, as_json)
    return EXIT_OK


def verify(paths: Sequence[str], expected_instances: Sequence[str], as_json: bool) -> int:
    """Print all problems, including a problem for each expected instance that has no files."""
    timeline = _read_timeline(paths, expected_instances)
    problems = timeline.problems
    if as_json:
        print(json.dumps({"sound": not problems, "problems": problems}, indent=1))
    else:
        print_problems(problems)
        instances = {span.instance for span in timeline.spans}
        print(f"{len(instances)} heads, {len(timeline.spans)} spans, {len(problems)} problems")
    return EXIT_FAILURE if problems else EXIT_OK


def _print_spans(spans: Sequence[Span], problems: Sequence[str], as_json: bool) -> None:
    print_rows([span_row(span) for span in spans], problems, as_json)


def _with_version(timeline: FleetTimeline, query: str) -> list[Span]:
    component, separator, version = query.partition("=")
    if not separator:
        raise InvalidQueryError(f"not COMPONENT=VERSION: {query!r:.40}")
    return timeline.with_version(component, version)


def _read_timeline(paths: Sequence[str], expected_instances: Sequence[str] = ()) -> FleetTimeline:
    """Read all paths and merge their segments; a segment found more than once is used once."""
    result = _read_paths(paths)
    if not result.segments:
        raise NoRecordsError(f"no audit in {', '.join(paths)}")
    segments = {
        (segment.instance, segment.incarnation, segment.number): segment for segment in result.segments
    }
    timeline = merge_segments(segments.values(), LIMITS, expected_instances)
    timeline.problems = sorted({*result.problems, *timeline.problems})
    return timeline


def _read_paths(paths: Sequence[str]) -> ReadResult:
    """Read the paths one by one, with a progress bar if standard error is a terminal."""
    result = ReadResult()
    with Progress(console=Console(stderr=True), disable=not sys.stderr.isatty()) as bar:
        task = bar.add_task("reading", total=len(paths))
        for path in paths:
            result.add(read_segments([path]))
            bar.advance(task)
    return result
