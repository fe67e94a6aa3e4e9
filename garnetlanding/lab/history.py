"""Reads the histories of an experiment's processes, ordered by their common monotonic clock."""

from __future__ import annotations

import json
import pathlib
from enum import StrEnum
from typing import Any

from garnetlanding.lab.errors import CorruptHistoryError

Line = dict[str, Any]
"""A line by its stored keys, as written by `garnetlanding.history.writer` and the lab's own processes.

Every line has `t`, the monotonic time in microseconds, `who`, the process that wrote it, and `what`, a
LineKind.
"""

_EXCERPT_BYTES = 40

__all__ = ["CorruptHistoryError", "Line", "LineKind", "encode_line", "read"]


class LineKind(StrEnum):
    """What a line records; the value is its stored form, and the comment lists the line's other fields."""

    # Written by the clients.
    SENT = "asked"  # a client sends a request: id
    ENDED = "answer"  # a client has the outcome of a request: id outcome took
    SURPLUS_ANSWERS = "extra"  # more responses than one arrived: id count
    # Written by the environment.
    EXECUTED = "ran"  # a request reaches a backend: id brick volume
    CONNECTIONS_OPEN = "open"  # a backend has a new maximum of concurrent connections: brick count
    CONNECTIONS_LEFT = "kept"  # the connections that a backend has at the end: brick count
    FAULT = "fault"  # a step of a fault happens: kind which
    OPERATOR_CALL = "called"  # an operator call completed or failed: kind which brick status
    # Written by the instances (`garnetlanding.history.writer`).
    STARTED = "start"  # an incarnation starts: life
    READY = "up"  # all components of an instance have started: life
    SETTINGS_APPLIED = "settings"  # settings are in force: epoch revision digest at
    FENCING_CHANGED = "current"  # an instance was fenced or unfenced: out at
    REQUEST_ENDED = "answered"  # an instance has responded to a request: id attempts
    MEMBERS_CHANGED = "heads"  # the members that share limits changed: entitled even
    DISABLED_CHANGED = "bans"  # the complete set of disabled backends: out
    SUSPICIONS_CHANGED = "doubted"  # the complete set of suspected backends: servers
    OBSERVATIONS_SENT = "seen"  # an instance sends its own observations to its peers: servers
    VOLUME_QUOTAS = "parts"  # quotas of volume limits: parts until
    BUDGET_QUOTAS = "shares"  # quotas of other shared limits: parts until


def encode_line(now_us: int, process: str, kind: LineKind, fields: dict[str, Any]) -> bytes:
    """Return a line in its stored form, including the line feed."""
    line = {"t": now_us, "who": process, "what": kind.value, **fields}
    return json.dumps(line, separators=(",", ":")).encode() + b"\n"


def read(paths: list[pathlib.Path]) -> list[Line]:
    """Return the lines of all files, by time.

    A last line without a line feed is skipped: its process ended while writing it. Any other line that cannot
    be decoded raises `CorruptHistoryError`, because a check of an incomplete history could pass wrongly.
    Raises `OSError` for a file that cannot be read.
    """
    lines: list[Line] = []
    for path in paths:
        *complete, _ = path.read_bytes().split(b"\n")
        lines += [_decode(path, number, text) for number, text in enumerate(complete, 1)]
    return sorted(lines, key=lambda line: line["t"])


def _decode(path: pathlib.Path, line_number: int, text: bytes) -> Line:
    try:
        line: Line = json.loads(text)
        line["t"], line["what"]
    except (ValueError, TypeError, KeyError) as error:
        raise CorruptHistoryError(path, line_number, text[:_EXCERPT_BYTES]) from error
    return line
