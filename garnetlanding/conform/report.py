"""Runs the suite for the command line: progress while it runs, a table at the end, JSON on request."""

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

STDOUT = "-"  # in place of the JSON file's path
NAME_WIDTH = 40  # characters of a case's name in the progress line
COLOURS = {
    Outcome.PASS: "green",
    Outcome.FAIL: "bold red",
    Outcome.UNSUPPORTED: "yellow",
    Outcome.BROKEN: "red",
}


def list_cases(options: list[Options], only: str) -> int:
    """Print the cases of the dialects whose names match, and return 0. Raises UsageError."""
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
    """Run the suite with each of the options in turn and report the results.

    Returns the exit code: 0 when no case failed or could not be run, else 1. Raises UsageError.
    """
    try:
        parse_address(address)
    except ValueError as problem:
        raise UsageError("--address", problem) from problem
    plan = [(dialect, _select(dialect.version, only)) for dialect in options]
    total = sum(len(cases) for _, cases in plan)
    if not total:
        raise UsageError("--only", "no case has such a name", repr(only))
    console = Console(stderr=json_file == STDOUT)
    documents: list[dict[str, Any]] = []
    all_results: list[Result] = []
    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeElapsedColumn())
    with Progress(*columns, console=console, transient=True) as progress:
        task = progress.add_task("conform", total=total)
        for dialect, cases in plan:
            results = _run_dialect(address, dialect, cases, partial(progress.update, task))
            documents.append(as_json(results, dialect, address))
            all_results += results
            _show(console, dialect, results)
    if json_file:
        _write(json_file, documents)
    failed = any(result.outcome in (Outcome.FAIL, Outcome.BROKEN) for result in all_results)
    return 1 if failed else 0


def as_json(results: list[Result], options: Options, target: str) -> dict[str, Any]:
    """Return the report of one dialect; its keys are read by programs and stay as they are."""
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
        "counts": {outcome.value: count for outcome, count in _count(results).items()},
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
    except re.error as problem:
        raise UsageError("--only", problem, repr(only)) from problem


def _run_dialect(
    address: str, options: Options, cases: list[Case], update: Callable[..., None]
) -> list[Result]:
    """Run the cases, advancing the progress line with each."""
    label = f"conform-{os.getpid()}"
    connect = partial(SocketTransport, address, options.reply_timeout_s)
    results = []
    for result in suite.run(cases, connect, options, label):
        results.append(result)
        name = result.name[:NAME_WIDTH]
        update(advance=1, description=f"{options.version} {name:{NAME_WIDTH}}")
    return results


def _count(results: list[Result]) -> dict[Outcome, int]:
    """Return how many results have each outcome, in the order in which outcomes are reported."""
    counter = Counter(result.outcome for result in results)
    return {outcome: counter[outcome] for outcome in Outcome}


def _show(console: Console, options: Options, results: list[Result]) -> None:
    """Print the results that are not a pass, and a line with the counts and times."""
    table = Table(
        "verdict",
        "case",
        "rule",
        "what was seen",
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
        for outcome, count in _count(results).items()
        if count or outcome is Outcome.PASS
    )
    total_s = sum(result.duration_s for result in results)
    slowest = max(results, key=lambda result: result.duration_s)
    console.print(
        f"{options.version}: {counts}; {total_s:.1f} s, "
        f"the longest {slowest.name} {slowest.duration_s:.2f} s",
        highlight=False,
    )


def _write(path: str, documents: list[dict[str, Any]]) -> None:
    text = json.dumps(documents, indent=1) + "\n"
    if path == STDOUT:
        sys.stdout.write(text)
        return
    try:
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
    except OSError as problem:
        raise UsageError("--json", problem.strerror, path) from problem
