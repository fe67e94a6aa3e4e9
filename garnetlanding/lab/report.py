"""The output of the lab's commands: progress, tables, JSON."""

from __future__ import annotations

import csv
import json
import pathlib
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Any

from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from garnetlanding.lab import experiment_file, history, result, time_series
from garnetlanding.lab.errors import LabError, MissingDependencyError, MissingResultError
from garnetlanding.lab.latency import histogram, percentiles_ms
from garnetlanding.lab.limits import LIMITS
from garnetlanding.lab.result import RunResult, encode_result
from garnetlanding.lab.run import run as run_experiment

__all__ = ["LabError", "compare", "report", "run"]

_EXIT_PASSED = 0
_EXIT_VIOLATED = 1  # an invariant did not hold
_COLUMNS = (
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
    """Run one experiment and print its result; return the exit code.

    Raises ConfigError, LabError or OSError.
    """
    experiment = experiment_file.load(path)
    if seed is not None:
        experiment = replace(experiment, seed=seed)
    folder = pathlib.Path(out or f"lab-runs/{experiment.name}-{experiment.seed}-{time.strftime('%H%M%S')}")
    with Progress(console=Console(stderr=True), disable=not sys.stderr.isatty()) as progress_bar:
        task = progress_bar.add_task(experiment.name, total=1.0)
        finished = run_experiment(experiment, folder, lambda done: progress_bar.update(task, completed=done))
    (folder / "experiment.toml").write_bytes(pathlib.Path(path).read_bytes())
    if as_json:
        print(json.dumps(encode_result(finished)))
    else:
        _print_results([(experiment.name, encode_result(finished))])
        _print_violations(finished)
    return _EXIT_PASSED if finished.report.passed else _EXIT_VIOLATED


def compare(folders: Sequence[str], as_json: bool) -> int:
    """Print the results of finished runs side by side; return the exit code.

    Raises MissingResultError for a folder without a result, ValueError for a result that is not valid JSON.
    """
    results: list[tuple[str, dict[str, Any]]] = []
    for folder in folders:
        path = pathlib.Path(folder) / result.FILE_NAME
        if not path.exists():
            raise MissingResultError(folder, f"no {result.FILE_NAME}")
        results.append((pathlib.Path(folder).name, json.loads(path.read_text())))
    if as_json:
        print(json.dumps(dict(results)))
    else:
        _print_results(results)
    return _EXIT_PASSED


def report(folder: str, charts: bool, as_json: bool) -> int:
    """Print one run second by second; write `series.csv` and, on request, charts to the run's folder.

    Raises MissingResultError for a folder without histories, CorruptHistoryError for a history that cannot be
    decoded, MissingDependencyError if a library of the extra `lab` is not installed.
    """
    run_folder = pathlib.Path(folder)
    lines = history.read(sorted(run_folder.glob("*.history")))
    if not lines:
        raise MissingResultError(folder, "no histories")
    series = _RunSeries.of(lines)
    if not series.table:
        raise MissingResultError(folder, "no request has an outcome")
    series_path = run_folder / "series.csv"
    _write_csv(series_path, series.table)
    try:
        latency = percentiles_ms(histogram(lines))
    except ImportError as error:
        raise MissingDependencyError(f"latencies need the extra `lab`: {error}") from error
    drawn = _draw_charts(run_folder, series) if charts else []
    if as_json:
        names = [path.name for path in drawn]
        print(json.dumps({"seconds": series.table, "latency_ms": latency, "charts": names}))
        return _EXIT_PASSED
    _print_table(series.table)
    print("served, ms: " + ", ".join(f"{name} {value:g}" for name, value in latency.items()))
    for path in [series_path, *drawn]:
        print(path)
    return _EXIT_PASSED


@dataclass(frozen=True, slots=True)
class _RunSeries:
    """A run's measurements, second by second."""

    rows: list[time_series.SecondSummary]
    table: list[dict[str, object]]  # the rows, encoded
    quotas: time_series.QuotaSeries

    @classmethod
    def of(cls, lines: Sequence[history.Line]) -> _RunSeries:
        start_us = time_series.first_request_us(lines)
        rows = time_series.summarize_by_second(lines, start_us)
        return cls(rows, [row.encode() for row in rows], time_series.quota_changes(lines, start_us))


def _write_csv(path: pathlib.Path, table: list[dict[str, object]]) -> None:
    with open(path, "w", newline="", encoding="utf-8") as file:
        writer = csv.DictWriter(file, list(table[0]))
        writer.writeheader()
        writer.writerows(table)


def _draw_charts(folder: pathlib.Path, series: _RunSeries) -> list[pathlib.Path]:
    from garnetlanding.lab.charts import draw

    try:
        return draw(folder, series.rows, series.quotas)
    except ImportError as error:
        raise MissingDependencyError(f"charts need matplotlib: {error}") from error


def _console() -> Console:
    return Console(width=None if sys.stdout.isatty() else LIMITS.table_columns)


def _print_table(rows: list[dict[str, object]]) -> None:
    table = Table(*rows[0])
    for row in rows:
        table.add_row(*("" if value is None else str(value) for value in row.values()))
    _console().print(table)


def _print_results(results: Sequence[tuple[str, dict[str, Any]]]) -> None:
    """Print one row for each run, labelled with its name."""
    table = Table("run", *_COLUMNS)
    for name, encoded in results:
        table.add_row(name, *_result_cells(encoded))
    _console().print(table)


def _result_cells(encoded: dict[str, Any]) -> list[str]:
    """Return the cells of one run; a column that is not a key of the result is an outcome."""
    return [
        str(encoded[column]) if column in encoded else str(encoded["outcomes"].get(column, 0))
        for column in _COLUMNS
    ]


def _print_violations(finished: RunResult) -> None:
    violations = finished.report.violations
    shown = LIMITS.violations_shown
    for violation in violations[:shown]:
        print(f"broken: {violation}")
    if len(violations) > shown:
        print(f"broken: {len(violations) - shown} more, see {result.FILE_NAME}")
    print(f"histories, logs and result: {finished.folder}")
