"""What the audits of many heads say, for people: tables, JSON, a chart. For the command line; no head
imports it.
"""

from __future__ import annotations

import json
import pathlib
import sys
from collections.abc import Iterable, Sequence
from dataclasses import asdict
from datetime import UTC, datetime
from typing import Any

from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from garnetlanding.audit import merge as merging
from garnetlanding.audit.errors import ChartUnavailableError, InvalidQueryError, NoRecordsError
from garnetlanding.audit.limits import LIMITS
from garnetlanding.audit.merge import FleetTimeline, Span
from garnetlanding.audit.segment_reader import SegmentsRead, read_segments

COLUMNS = 140  # of a table that goes to no terminal


def _read(places: Sequence[str], missing: Sequence[str] = ()) -> FleetTimeline:
    """Raises OSError and Nothing."""
    with Progress(console=Console(stderr=True), disable=not sys.stderr.isatty()) as bar:
        task = bar.add_task("reading", total=len(places))
        found = SegmentsRead()
        for place in places:
            found.add(read_segments([place]))
            bar.advance(task)
    if not found.segments:
        raise NoRecordsError(f"no audit in {', '.join(places)}")
    fleet = merging.merge(
        {(s.instance, s.incarnation, s.number): s for s in found.segments}.values(), LIMITS, missing
    )
    fleet.problems = sorted({*found.problems, *fleet.problems})
    return fleet


def clock(wall_ms: int) -> str:
    when = datetime.fromtimestamp(wall_ms / 1000, UTC)
    return when.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def milliseconds(text: str) -> int:
    """Of a time as `clock` shows it, or in ms since 1970. Raises ValueError."""
    if text.isdigit():
        return int(text)
    when = datetime.fromisoformat(text)
    return int((when if when.tzinfo else when.replace(tzinfo=UTC)).timestamp() * 1000)


def _rows(spans: Iterable[Span]) -> list[dict[str, Any]]:
    return [
        {
            "head": s.head,
            "from": clock(s.since),
            "until": clock(s.until),
            "how": s.how,
            **s.vector,
            "changed": ",".join(s.changed),
            "by": _by(s),
            "taken": s.taken,
        }
        for s in spans
    ]


def _by(span: Span) -> str:
    return f"message {span.heard[2]} of head {span.heard[0]}" if len(span.heard) == 3 else "-"


def _show(rows: Sequence[dict[str, Any]], as_json: bool, **more: Any) -> None:
    if as_json:
        print(json.dumps({"rows": list(rows), **more}, indent=1, sort_keys=True))
        return
    if rows:
        names = list(dict.fromkeys(name for row in rows for name in row))
        table = Table(box=None, pad_edge=False)
        for name in names:
            table.add_column(name, overflow="fold")
        for row in rows:
            table.add_row(*(_short(name, str(row.get(name, ""))) for name in names))
        Console(width=None if sys.stdout.isatty() else COLUMNS).print(table)
    for problem in more.get("problems", ()):
        print(f"problem: {problem}")


def _short(name: str, text: str) -> str:
    """Times of the day, and versions without digests; all of it is in the JSON."""
    if name in ("from", "until"):
        return text.partition("T")[2]
    return text.partition("#")[0] if name == "settings" else text[:8] if name == "heads" else text


def show(places: Sequence[str], as_json: bool, chart: str | None) -> int:
    """All spans of all heads, by time."""
    fleet = _read(places)
    _show(_rows(fleet.spans), as_json, problems=fleet.problems)
    if chart:
        draw(fleet, pathlib.Path(chart))
    return 0


def merge(places: Sequence[str], out: str) -> int:
    """One file of all: a span a line, by time, then what does not fit."""
    fleet = _read(places)
    with open(out, "w", encoding="utf-8") as file:
        for span in fleet.spans:
            file.write(json.dumps(asdict(span), sort_keys=True) + "\n")
        for problem in fleet.problems:
            file.write(json.dumps({"problem": problem}) + "\n")
    return 0


def who(places: Sequence[str], when: str | None, version: str | None, as_json: bool) -> int:
    """Raises ValueError for a time or a version that is none."""
    fleet = _read(places)
    if when is not None:
        spans = merging.at(fleet, milliseconds(when))
    else:
        component, sign, wanted = (version or "").partition("=")
        if not sign:
            raise InvalidQueryError(f"not COMPONENT=VERSION: {version!r:.40}")
        spans = merging.on(fleet, component, wanted)
    _show(_rows(spans), as_json, problems=fleet.problems)
    return 0 if spans else 1


def lag(places: Sequence[str], component: str, as_json: bool) -> int:
    fleet = _read(places)
    rows = [
        {
            "version": found.version,
            "first": found.first,
            "at": clock(found.since),
            "heads": found.heads,
            "last to leave the one before": found.last,
            "why": found.why,
            "after s": round((found.until - found.since) / 1000, 3),
        }
        for found in merging.lags(fleet, component)
    ]
    _show(rows, as_json, problems=fleet.problems)
    return 0


def verify(places: Sequence[str], heads: Sequence[str], as_json: bool) -> int:
    """0 where everything reads and fits, 1 else."""
    fleet = _read(places, heads)
    if as_json:
        print(json.dumps({"sound": not fleet.problems, "problems": fleet.problems}, indent=1))
    else:
        for problem in fleet.problems:
            print(f"problem: {problem}")
        print(
            f"{len({s.head for s in fleet.spans})} heads, {len(fleet.spans)} spans, "
            f"{len(fleet.problems)} problems"
        )
    return 1 if fleet.problems else 0


def draw(fleet: FleetTimeline, path: pathlib.Path) -> None:
    """Versions of the settings by head over time. Raises Nothing without matplotlib."""
    try:
        import matplotlib
    except ImportError as problem:
        raise ChartUnavailableError(f"charts need the extra `lab`: {problem}") from problem
    matplotlib.use("Agg")
    from matplotlib import pyplot

    heads = sorted({s.head for s in fleet.spans})
    versions = list(dict.fromkeys(s.vector.get("settings", "") for s in fleet.spans))
    first = min(s.since for s in fleet.spans)
    figure, axes = pyplot.subplots(figsize=(9, 1 + 0.4 * len(heads)))
    for span in fleet.spans:
        axes.barh(
            heads.index(span.head),
            (span.until - span.since) / 1000,
            left=(span.since - first) / 1000,
            color=f"C{versions.index(span.vector.get('settings', '')) % 10}",
            alpha=0.35 if span.vector.get("out") else 1.0,
            edgecolor="white",
        )
    axes.set_yticks(range(len(heads)), heads)
    axes.set_xlabel(f"s after {clock(first)}; a colour a revision of the settings, pale: does not act")
    figure.tight_layout()
    figure.savefig(path, dpi=110)
