"""Calls a head as an operator does, and shows what it answered. For the command line; no head imports it."""

from __future__ import annotations

import http.client
import json
from dataclasses import dataclass
from urllib.parse import quote

from rich.console import Console
from rich.table import Table

from garnetlanding.core.figures import by_class, decode
from garnetlanding.runtime.stream import parse_address

OUTCOMES = ("success", "overload", "error")
TABLE_COLUMNS = 100


class Unreachable(Exception):
    """No answer was had; the text says why."""


@dataclass(frozen=True, slots=True)
class Reply:
    status: int
    text: str

    @property
    def yes(self) -> bool:
        return 200 <= self.status < 300


def path_of(what: str, brick: str = "") -> tuple[str, str]:
    """Method and path of a call."""
    if brick:
        return "POST", f"/-/bricks/{quote(brick, safe='')}/{what}"
    return ("GET" if what in ("ready", "metrics") else "POST"), f"/-/{what}"


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
        raise Unreachable(f"{address}: {problem or type(problem).__name__}") from None
    finally:
        connection.close()


def as_json(what: str, reply: Reply) -> str:
    """One object: the answer, and for `metrics` the figures by name."""
    data: dict[str, object] = {"call": what, "yes": reply.yes, "status": reply.status}
    if what == "metrics" and reply.yes:
        data["figures"] = decode(reply.text)
    else:
        data["answer"] = reply.text.strip()
    return json.dumps(data, indent=2)


def as_text(what: str, reply: Reply) -> str:
    """The answer; for `metrics` a table of the classes, and the other figures under it."""
    if what != "metrics" or not reply.yes:
        return reply.text.strip()
    figures = decode(reply.text)
    table = Table("class", box=None, pad_edge=False)
    for outcome in OUTCOMES:
        table.add_column(outcome, justify="right")
    for cls, counts in by_class(figures).items():
        table.add_row(cls, *(str(counts.get(outcome, 0)) for outcome in OUTCOMES))
    console = Console(width=TABLE_COLUMNS)
    with console.capture() as shown:
        console.print(table)
    lines = [line.rstrip() for line in shown.get().splitlines()]
    others = [name for name in figures if name.count(".") == 1]
    lines += [f"{name.removeprefix('app.')}: {figures[name]}" for name in others]
    return "\n".join(lines)
