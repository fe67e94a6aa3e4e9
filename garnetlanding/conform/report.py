"""Runs the suite for the command line: progress while it runs, a table at the end, JSON where asked for."""

from __future__ import annotations

import json
import os
import re
import sys
from functools import partial
from typing import Any

from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Table

from garnetlanding.conform import suite
from garnetlanding.conform.client import Options
from garnetlanding.conform.suite import BROKEN, FAIL, PASS, UNSUPPORTED, Case, Result
from garnetlanding.conform.wire import SocketWire
from garnetlanding.runtime.stream import parse_address

COLOURS = {PASS: "green", FAIL: "bold red", UNSUPPORTED: "yellow", BROKEN: "red"}


class WrongCall(ValueError):
    """The call names something that is not there or cannot be read."""


def chosen(version: str, only: str) -> list[Case]:
    try:
        return suite.cases(version, only)
    except re.error as problem:
        raise WrongCall(f"--only {only!r}: {problem}") from None


def list_cases(options: list[Options], only: str) -> int:
    console = Console()
    table = Table("case", "dialects", "rule", box=None, header_style="bold")
    seen: dict[str, Case] = {}
    for one in options:
        seen |= {c.name: c for c in chosen(one.version, only)}
    for c in seen.values():
        table.add_row(c.name, " ".join(c.versions), c.rule)
    console.print(table)
    console.print(f"{len(seen)} cases")
    return 0


def run(address: str, options: list[Options], only: str, json_file: str | None) -> int:
    """Returns 0 when no case failed or could not be run, else 1. Raises WrongCall."""
    try:
        parse_address(address)
    except ValueError as problem:
        raise WrongCall(f"--address: {problem}") from None
    plan = [(one, chosen(one.version, only)) for one in options]
    total = sum(len(cases) for _, cases in plan)
    if not total:
        raise WrongCall(f"--only {only!r}: no case has such a name")
    console = Console(stderr=json_file == "-")
    out: list[dict[str, Any]] = []
    everything: list[Result] = []
    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeElapsedColumn())
    with Progress(*columns, console=console, transient=True) as progress:
        task = progress.add_task("conform", total=total)
        for one, cases in plan:
            results: list[Result] = []
            label = f"conform-{os.getpid()}"
            dial = partial(SocketWire, address, one.wait_s)
            for result in suite.run(cases, dial, one, label):
                results.append(result)
                progress.update(task, advance=1, description=f"{one.version} {result.name[:40]:40}")
            out.append(suite.as_json(results, one, address))
            everything += results
            _show(console, one, results)
    if json_file:
        _write(json_file, out)
    return 1 if any(r.verdict in (FAIL, BROKEN) for r in everything) else 0


def _show(console: Console, options: Options, results: list[Result]) -> None:
    table = Table(
        "verdict",
        "case",
        "rule",
        "what was seen",
        box=None,
        header_style="bold",
        title=f"{options.version}",
        title_justify="left",
    )
    for r in results:
        if r.verdict != PASS:
            table.add_row(f"[{COLOURS[r.verdict]}]{r.verdict}[/]", r.name, r.rule, r.why)
    counts = {v: sum(r.verdict == v for r in results) for v in (PASS, FAIL, UNSUPPORTED, BROKEN)}
    if table.row_count:
        console.print(table)
    slowest = max(results, key=lambda r: r.took_s)
    told = ", ".join(f"{n} {verdict}" for verdict, n in counts.items() if n or verdict == PASS)
    console.print(
        f"{options.version}: {told}; {sum(r.took_s for r in results):.1f} s, "
        f"the longest {slowest.name} {slowest.took_s:.2f} s",
        highlight=False,
    )


def _write(path: str, out: list[dict[str, Any]]) -> None:
    text = json.dumps(out, indent=1) + "\n"
    if path == "-":
        sys.stdout.write(text)
        return
    try:
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
    except OSError as problem:
        raise WrongCall(f"--json {path}: {problem.strerror}") from None
