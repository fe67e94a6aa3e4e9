"""Formats the responses to operators' calls for the command line, as text with tables or as JSON."""

from __future__ import annotations

import json

from rich.console import Console
from rich.table import Table

from garnetlanding.core.metrics import by_class, decode
from garnetlanding.ops.admin_calls import FLEET_TABLES, fleet_call_name
from garnetlanding.ops.admin_client import Reply

OUTCOMES = ("success", "overload", "error")
TABLE_WIDTH = 100  # in characters


def as_json(call: str, reply: Reply) -> str:
    """Return one JSON object: the call, whether it succeeded, and the response, with tables as data."""
    fields: dict[str, object] = {"call": call, "yes": reply.ok, "status": reply.status}
    if call == "metrics" and reply.ok:
        fields["figures"] = decode(reply.text)
    elif call in FLEET_TABLES and reply.ok:
        fields[fleet_call_name(call)] = json.loads(reply.text)
    else:
        fields["answer"] = reply.text.strip()
    return json.dumps(fields, indent=2)


def as_text(call: str, reply: Reply) -> str:
    """Return the response as human-readable text, with metrics and fleet tables formatted as tables."""
    if call in FLEET_TABLES and reply.ok:
        return _fleet_table(json.loads(reply.text))
    if call == "metrics" and reply.ok:
        return _metrics_tables(decode(reply.text))
    return reply.text.strip()


def _metrics_tables(metrics: dict[str, int]) -> str:
    """Return a table of outcomes by request class, followed by the other metrics, one on each line."""
    table = Table("class", box=None, pad_edge=False)
    for outcome in OUTCOMES:
        table.add_column(outcome, justify="right")
    for request_class, counts in by_class(metrics).items():
        table.add_row(request_class, *(str(counts.get(outcome, 0)) for outcome in OUTCOMES))
    lines = _rendered_lines(table)
    other_names = [name for name in metrics if name.count(".") == 1]
    lines += [f"{name.removeprefix('app.')}: {metrics[name]}" for name in other_names]
    return "\n".join(lines)


def _fleet_table(rows: list[dict[str, object]]) -> str:
    if not rows:
        return "nothing is known yet"
    table = Table(*rows[0], box=None, pad_edge=False)
    for row in rows:
        table.add_row(*(_table_cell(value) for value in row.values()))
    return "\n".join(_rendered_lines(table))


def _rendered_lines(table: Table) -> list[str]:
    console = Console(width=TABLE_WIDTH)
    with console.capture() as captured:
        console.print(table)
    return [line.rstrip() for line in captured.get().splitlines()]


def _table_cell(value: object) -> str:
    if isinstance(value, list):
        return ", ".join(_peer_entry(entry) for entry in value) or "-"
    return "-" if value is None else str(value)


def _peer_entry(entry: dict[str, object]) -> str:
    """Return a peer's suspicion, `n2 dead 310 ms ago (1)`, or its quota, `n2 0.8 for 900 ms`."""
    if "says" in entry:
        return f"n{entry['head']} {entry['says']} {entry['age_ms']} ms ago ({entry['credit']:g})"
    return f"n{entry['head']} {entry['share']:g} for {entry['for_ms']} ms"
