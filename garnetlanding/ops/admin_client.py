"""Calls a head as an operator does, and shows what it answered. For the command line; no head imports it."""

from __future__ import annotations

import http.client
import json
from dataclasses import dataclass
from urllib.parse import quote

from rich.console import Console
from rich.table import Table

from garnetlanding.core.metrics import by_class, decode
from garnetlanding.runtime.stream import parse_address

SHOWN = tuple(f"fleet/{what}" for what in ("limits", "members", "verdicts", "bans"))  # as tables
ON_HEADS = ("fleet/forget", "fleet/shut-out", "fleet/let-in")
OUTCOMES = ("success", "overload", "error")
TABLE_COLUMNS = 100


class InstanceUnreachableError(Exception):
    """No answer was had; the text says why."""


@dataclass(frozen=True, slots=True)
class Reply:
    status: int
    text: str

    @property
    def yes(self) -> bool:
        return 200 <= self.status < 300


def path_of(what: str, brick: str = "") -> tuple[str, str]:
    """Method and path of a call on a brick, or on a head."""
    if what in ON_HEADS:
        return "POST", f"/-/fleet/heads/{brick}/{what.partition('/')[2]}"
    if brick:
        return "POST", f"/-/bricks/{quote(brick, safe='')}/{what}"
    return ("GET" if what in ("ready", "metrics", *SHOWN) else "POST"), f"/-/{what}"


def call(address: str, what: str, brick: str = "", wait_s: float = 2.0) -> Reply:
    """Makes one call. Raises Unreachable, and ValueError for an address that is none."""
    host, port = parse_address(address)
    method, path = path_of(what, brick)
    connection = http.client.HTTPConnection(host, port, timeout=wait_s)
    try:
        connection.request(method, path)
        answer = connection.getresponse()
        return Reply(answer.status, answer.read().decode("utf-8", "replace"))
    except (OSError, http.client.HTTPException) as problem:
        raise InstanceUnreachableError(f"{address}: {problem or type(problem).__name__}") from None
    finally:
        connection.close()


def as_json(what: str, reply: Reply) -> str:
    """One object: the answer, and for `metrics` the figures by name."""
    data: dict[str, object] = {"call": what, "yes": reply.yes, "status": reply.status}
    if what == "metrics" and reply.yes:
        data["figures"] = decode(reply.text)
    elif what in SHOWN and reply.yes:
        data[what.partition("/")[2]] = json.loads(reply.text)
    else:
        data["answer"] = reply.text.strip()
    return json.dumps(data, indent=2)


def as_text(what: str, reply: Reply) -> str:
    """The answer; for `metrics` a table of the classes, and the other figures under it."""
    if what in SHOWN and reply.yes:
        return _fleet_table(json.loads(reply.text))
    if what != "metrics" or not reply.yes:
        return reply.text.strip()
    figures = decode(reply.text)
    table = Table("class", box=None, pad_edge=False)
    for outcome in OUTCOMES:
        table.add_column(outcome, justify="right")
    for cls, counts in by_class(figures).items():
        table.add_row(cls, *(str(counts.get(outcome, 0)) for outcome in OUTCOMES))
    lines = _lines(table)
    others = [name for name in figures if name.count(".") == 1]
    lines += [f"{name.removeprefix('app.')}: {figures[name]}" for name in others]
    return "\n".join(lines)


def _lines(table: Table) -> list[str]:
    console = Console(width=TABLE_COLUMNS)
    with console.capture() as shown:
        console.print(table)
    return [line.rstrip() for line in shown.get().splitlines()]


def _fleet_table(rows: list[dict[str, object]]) -> str:
    if not rows:
        return "nothing is known yet"
    table = Table(*rows[0], box=None, pad_edge=False)
    for row in rows:
        table.add_row(*(_cell(value) for value in row.values()))
    return "\n".join(_lines(table))


def _cell(value: object) -> str:
    """What others have of a part, each as `n2 0.8 for 900 ms`, or say, each as `n2 dead 310 ms ago (1)`."""
    if isinstance(value, list):
        return (
            ", ".join(
                f"n{one['head']} {one['says']} {one['age_ms']} ms ago ({one['credit']:g})"
                if "says" in one
                else f"n{one['head']} {one['share']:g} for {one['for_ms']} ms"
                for one in value
            )
            or "-"
        )
    return "-" if value is None else str(value)
