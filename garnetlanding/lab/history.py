"""Reads the histories of an experiment's processes, in the order of their common clock."""

from __future__ import annotations

import json
import pathlib
from typing import Any

from garnetlanding.lab.errors import CorruptHistoryError

Line = dict[str, Any]
"""A line as `garnetlanding.history.writer` and the lab's own processes write it, by its stored keys.

Every line has `t`, monotonic microseconds, and `what`, its kind.
"""

_EXCERPT_BYTES = 40

__all__ = ["CorruptHistoryError", "Line", "encode_line", "read"]


def encode_line(now_us: int, process: str, kind: str, fields: dict[str, Any]) -> bytes:
    """Return a line in its stored form, with its end."""
    line = {"t": now_us, "who": process, "what": kind, **fields}
    return json.dumps(line, separators=(",", ":")).encode() + b"\n"


def read(paths: list[pathlib.Path]) -> list[Line]:
    """Return all lines by time.

    A last line without an end was cut off by the end of its process and is left out. Anything else that
    cannot be decoded raises `CorruptHistoryError`, because a check of half a history would pass for one of
    all. Raises `OSError` for a file that cannot be read.
    """
    lines: list[Line] = []
    for path in paths:
        *ended, _ = path.read_bytes().split(b"\n")
        lines += [_decode(path, number, text) for number, text in enumerate(ended, 1)]
    return sorted(lines, key=lambda line: line["t"])


def _decode(path: pathlib.Path, line_number: int, text: bytes) -> Line:
    try:
        line: Line = json.loads(text)
        line["t"], line["what"]
    except (ValueError, TypeError, KeyError) as error:
        raise CorruptHistoryError(path, line_number, text[:_EXCERPT_BYTES]) from error
    return line
