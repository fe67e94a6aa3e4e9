"""Runs the suite for the command line: a progress bar, a table of the results, and optionally JSON."""

from __future__ import annotations

import json
import os
import re
import sys
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Any

from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Table

from garnetlanding.conform import suite
from garnetlanding.conform.connection import Options
from garnetlanding.conform.errors import UsageError
from garnetlanding.conform.registry import Case, select_cases
from garnetlanding.conform.suite import Outcome, Result
from garnetlanding.conform.transport import SocketTransport
from garnetlanding.runtime.stream import parse_address

STDOUT = "-"  # as the path of the JSON file
NAME_WIDTH = 40  # characters of the case name in the progress bar
COLOURS = {
    Outcome.PASS: "green",
    Outcome.FAIL: "bold red",
    Outcome.UNSUPPORTED: "yellow",
    Outcome.ERROR: "red",
}


def list_cases(options: list[Options], only: str) -> int:
    """Print the cases of the dialects whose names match and return exit code 0. Raises UsageError."""
    console = Console()
    table = Table("case", "dialects", "rule", box=None, header_style="bold")
    cases: dict[str, Case] = {}
    for dialect in options:
        cases |= {case.name: case for case in _select(dialect.version, only)}
    for case in cases.values():
        table.add_row(case.name, " ".join(case.versions), case.rule)
    console.print(table)
    console.print(f"{len(cases)} cases")
    return 0


def run(address: str, options: list[Options], only: str, json_file: str | None) -> int:
    """Run the suite once for each element of `options` and report the results.

    Returns the exit code: 1 if a case failed or could not run, else 0. Raises UsageError.
    """
    try:
        parse_address(address)
    except ValueError as error:
        raise UsageError("--address", error) from error
    selected = [(dialect, _select(dialect.version, only)) for dialect in options]
    total = sum(len(cases) for _, cases in selected)
    if not total:
        raise UsageError("--only", "no case name matches", repr(only))
    console = Console(stderr=json_file == STDOUT)
    documents: list[dict[str, Any]] = []
    all_results: list[Result] = []
    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeElapsedColumn())
    with Progress(*columns, console=console, transient=True) as progress:
        task = progress.add_task("conform", total=total)
        for dialect, cases in selected:
            results = _run_dialect(address, dialect, cases, partial(progress.update, task))
            documents.append(as_json(results, dialect, address))
            all_results += results
            _print_results(console, dialect, results)
    if json_file:
        _write_json(json_file, documents)
    failed = any(result.outcome in (Outcome.FAIL, Outcome.ERROR) for result in all_results)
    return 1 if failed else 0


def as_json(results: list[Result], options: Options, target: str) -> dict[str, Any]:
    """Return the JSON report of one dialect; its keys are a stable interface for programs."""
    return {
        "target": target,
        "options": {
            "version": options.version,
            "aname": options.aname,
            "uname": options.uname,
            "uid": options.uid,
            "msize": options.msize,
            "wait_s": options.reply_timeout_s,
            "quiet_s": options.quiet_period_s,
        },
        "counts": {outcome.value: count for outcome, count in _count_outcomes(results).items()},
        "results": [
            {
                "name": result.name,
                "rule": result.rule,
                "verdict": result.outcome.value,
                "why": result.reason,
                "took_s": result.duration_s,
            }
            for result in results
        ],
    }


def _select(version: str, only: str) -> list[Case]:
    try:
        return select_cases(version, only)
    except re.error as error:
        raise UsageError("--only", error, repr(only)) from error


def _run_dialect(
    address: str, options: Options, cases: list[Case], update: Callable[..., None]
) -> list[Result]:
    """Run the cases, updating the progress bar after each."""
    label = f"conform-{os.getpid()}"
    connect = partial(SocketTransport, address, options.reply_timeout_s)
    results = []
    for result in suite.run(cases, connect, options, label):
        results.append(result)
        name = result.name[:NAME_WIDTH]
        update(advance=1, description=f"{options.version} {name:{NAME_WIDTH}}")
    return results


def _count_outcomes(results: list[Result]) -> dict[Outcome, int]:
    """Return the number of results by outcome, in the order of the report."""
    counter = Counter(result.outcome for result in results)
    return {outcome: counter[outcome] for outcome in Outcome}


def _print_results(console: Console, options: Options, results: list[Result]) -> None:
    """Print a table of the cases that did not pass, and a line with the counts and durations."""
    table = Table(
        "verdict",
        "case",
        "rule",
        "reason",
        box=None,
        header_style="bold",
        title=options.version,
        title_justify="left",
    )
    for result in results:
        if result.outcome is not Outcome.PASS:
            verdict = f"[{COLOURS[result.outcome]}]{result.outcome.value}[/]"
            table.add_row(verdict, result.name, result.rule, result.reason)
    if table.row_count:
        console.print(table)
    counts = ", ".join(
        f"{count} {outcome.value}"
        for outcome, count in _count_outcomes(results).items()
        if count or outcome is Outcome.PASS
    )
    total_s = sum(result.duration_s for result in results)
    slowest = max(results, key=lambda result: result.duration_s)
    console.print(
        f"{options.version}: {counts}; {total_s:.1f} s, "
        f"slowest {slowest.name} {slowest.duration_s:.2f} s",
        highlight=False,
    )


def _write_json(path: str, documents: list[dict[str, Any]]) -> None:
    text = json.dumps(documents, indent=1) + "\n"
    if path == STDOUT:
        sys.stdout.write(text)
        return
    try:
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
    except OSError as error:
        raise UsageError("--json", error.strerror, path) from error
