"""Histories of an experiment's processes, read back in the order of their one clock."""

from __future__ import annotations

import json
import pathlib
from typing import Any

Line = dict[str, Any]


class BadHistory(ValueError):
    """A history that cannot be read; the text names file and line."""


def read(paths: list[pathlib.Path]) -> list[Line]:
    """All lines by time. A last line without an end was cut by the end of its process and is left out;
    anything else that cannot be read is an error: a check of half a history would pass for one of all."""
    lines: list[Line] = []
    for path in paths:
        *whole, _ = path.read_bytes().split(b"\n")
        for number, text in enumerate(whole, 1):
            try:
                line = json.loads(text)
                line["t"], line["what"]
            except (ValueError, TypeError, KeyError):
                raise BadHistory(f"{path} line {number}: cannot read {text[:40]!r}") from None
            lines.append(line)
    return sorted(lines, key=lambda line: line["t"])
