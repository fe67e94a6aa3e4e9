"""Renders rows as a table or as JSON.

A row maps column names to values. Column names are also JSON keys, which operators' scripts read; they do not
change with the names in the code.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable, Sequence
from typing import Any

from rich.console import Console
from rich.table import Table

from garnetlanding.audit.lag import Lag
from garnetlanding.audit.limits import MS_PER_SECOND
from garnetlanding.audit.records import MessageId
from garnetlanding.audit.timeline import Span
from garnetlanding.audit.wall_time import format_wall_ms

Row = dict[str, Any]

TABLE_COLUMNS = 140
"""Width of a table if standard output is not a terminal, in characters."""
_DIGEST_CHARACTERS = 8
"""Number of characters of the digest of members that a table shows."""
_NO_MESSAGE = "-"


def span_row(span: Span) -> Row:
    """Return the row of a span, with a column for each component's version."""
    return {
        "head": span.instance,
        "from": format_wall_ms(span.start_wall_ms),
        "until": format_wall_ms(span.end_wall_ms),
        "how": span.end.value,
        **span.versions,
        "changed": ",".join(span.changed),
        "by": _format_message_id(span.last_received),
        "taken": span.requests_accepted,
    }


def lag_row(lag: Lag) -> Row:
    """Return the row of a lag."""
    slowest = lag.slowest_instance
    return {
        "version": lag.version,
        "first": lag.first_instance,
        "at": format_wall_ms(lag.start_wall_ms),
        "heads": lag.instance_count,
        "last to leave the one before": "" if slowest is None else slowest.instance,
        "why": "" if slowest is None else slowest.reason.value,
        "after s": round((lag.end_wall_ms - lag.start_wall_ms) / MS_PER_SECOND, 3),
    }


def print_rows(rows: Sequence[Row], problems: Sequence[str], as_json: bool) -> None:
    """Print rows and problems to standard output."""
    if as_json:
        print(json.dumps({"rows": list(rows), "problems": problems}, indent=1, sort_keys=True))
        return
    if rows:
        width = None if sys.stdout.isatty() else TABLE_COLUMNS
        Console(width=width).print(_table(rows))
    print_problems(problems)


def print_problems(problems: Iterable[str]) -> None:
    """Print one line per problem to standard output."""
    for problem in problems:
        print(f"problem: {problem}")


def _format_message_id(message: MessageId | None) -> str:
    if message is None:
        return _NO_MESSAGE
    return f"message {message.number} of head {message.sender}"


def _table(rows: Sequence[Row]) -> Table:
    columns = list(dict.fromkeys(column for row in rows for column in row))
    table = Table(box=None, pad_edge=False)
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in rows:
        table.add_row(*(_abbreviate(column, str(row.get(column, ""))) for column in columns))
    return table


def _abbreviate(column: str, text: str) -> str:
    """Return the text that a table shows: times without the date, versions without digests.

    JSON output is not abbreviated.
    """
    match column:
        case "from" | "until":
            return text.partition("T")[2]
        case "settings":
            return text.partition("#")[0]
        case "heads":
            return text[:_DIGEST_CHARACTERS]
    return text
