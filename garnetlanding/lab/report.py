"""The lab's results for people: progress, tables, JSON."""

from __future__ import annotations

import csv
import json
import pathlib
import sys
import time
from collections.abc import Sequence
from dataclasses import replace
from typing import Any

from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from garnetlanding.lab import experiment as files
from garnetlanding.lab import figures, history
from garnetlanding.lab.latency import histogram, milliseconds
from garnetlanding.lab.limits import LIMITS
from garnetlanding.lab.run import LabError, Result
from garnetlanding.lab.run import run as carry_out

__all__ = ["LabError", "compare", "report", "run"]
COLUMNS = (
    "asked",
    "served",
    "refused",
    "failed",
    "lost",
    "none",
    "attempts",
    "over",
    "used",
    "parts_most",
    "sound",
)


def run(path: str, out: str | None, seed: int | None, as_json: bool) -> int:
    """Raises ConfigError, LabError or OSError."""
    experiment = files.load(path)
    if seed is not None:
        experiment = replace(experiment, seed=seed)
    folder = pathlib.Path(out or f"lab-runs/{experiment.name}-{experiment.seed}-{time.strftime('%H%M%S')}")
    with Progress(console=Console(stderr=True), disable=not sys.stderr.isatty()) as bar:
        task = bar.add_task(experiment.name, total=1.0)
        result = carry_out(experiment, folder, lambda done: bar.update(task, completed=done))
    (folder / "experiment.toml").write_bytes(pathlib.Path(path).read_bytes())
    if as_json:
        print(json.dumps(result.as_json()))
    else:
        show([(experiment.name, result.as_json())])
        _told(result)
    return 0 if result.findings.sound else 1


def _told(result: Result) -> None:
    broken, most = result.findings.broken, LIMITS.broken_shown
    for what in broken[:most]:
        print(f"broken: {what}")
    if len(broken) > most:
        print(f"broken: {len(broken) - most} more, see result.json")
    print(f"histories, logs and result: {result.folder}")


def row(told: dict[str, Any]) -> list[str]:
    outcomes = told["outcomes"]
    return [str(told[name]) if name in told else str(outcomes.get(name, 0)) for name in COLUMNS]


def show(results: list[tuple[str, dict[str, Any]]]) -> None:
    table = Table("run", *COLUMNS)
    for name, told in results:
        table.add_row(name, *row(told))
    Console(width=None if sys.stdout.isatty() else LIMITS.table_columns).print(table)


def compare(folders: Sequence[str], as_json: bool) -> int:
    """Raises LabError for a folder without a result."""
    results: list[tuple[str, dict[str, Any]]] = []
    for folder in folders:
        path = pathlib.Path(folder) / "result.json"
        if not path.exists():
            raise LabError(f"{folder}: no result.json")
        results.append((pathlib.Path(folder).name, json.loads(path.read_text())))
    if as_json:
        print(json.dumps(dict(results)))
    else:
        show(results)
    return 0


def report(folder: str, charts: bool, as_json: bool) -> int:
    """One run second by second; writes `series.csv` and, if asked to, charts beside its histories. Raises
    LabError for a folder without histories, CorruptHistoryError for one that cannot be read."""
    place = pathlib.Path(folder)
    lines = history.read(sorted(place.glob("*.history")))
    if not lines:
        raise LabError(f"{folder}: no histories")
    start = figures.began(lines)
    rows = figures.seconds(lines, start)
    table = [row.as_row() for row in rows]
    if not table:
        raise LabError(f"{folder}: nothing was answered")
    with open(place / "series.csv", "w", newline="", encoding="utf-8") as file:
        writer = csv.DictWriter(file, list(table[0]))
        writer.writeheader()
        writer.writerows(table)
    try:
        latency = milliseconds(histogram(lines))
    except ImportError as problem:
        raise LabError(f"latencies need the extra `lab`: {problem}") from None
    drawn: list[pathlib.Path] = []
    if charts:
        from garnetlanding.lab.charts import draw

        try:
            drawn = draw(place, rows, figures.parts(lines, start))
        except ImportError as problem:
            raise LabError(f"charts need matplotlib: {problem}") from None
    if as_json:
        print(json.dumps({"seconds": table, "latency_ms": latency, "charts": [path.name for path in drawn]}))
        return 0
    shown = Table(*table[0])
    for row in table:
        shown.add_row(*("" if value is None else str(value) for value in row.values()))
    Console(width=None if sys.stdout.isatty() else LIMITS.table_columns).print(shown)
    print("served, ms: " + ", ".join(f"{name} {value:g}" for name, value in latency.items()))
    for path in [place / "series.csv", *drawn]:
        print(path)
    return 0
