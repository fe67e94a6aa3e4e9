"""Reads the histories of an experiment's processes, in the order of their common clock."""

from __future__ import annotations

import json
import pathlib
from enum import StrEnum
from typing import Any

from garnetlanding.lab.errors import CorruptHistoryError

Line = dict[str, Any]
"""A line as `garnetlanding.history.writer` and the lab's own processes write it, by its stored keys.

Every line has `t`, monotonic microseconds, `who`, the process that wrote it, and `what`, a LineKind.
"""

_EXCERPT_BYTES = 40

__all__ = ["CorruptHistoryError", "Line", "LineKind", "encode_line", "read"]


class LineKind(StrEnum):
    """What a line records; the value is its stored form, and the comment names the fields that it brings."""

    # Written by the clients.
    SENT = "asked"  # a client sends a request: id
    ENDED = "answer"  # a request has its outcome at its client: id outcome took
    SURPLUS_ANSWERS = "extra"  # more answers came behind the one: id count
    # Written by the environment.
    EXECUTED = "ran"  # a request reaches a backend: id brick volume
    CONNECTIONS_OPEN = "open"  # a backend has more connections at once than before: brick count
    CONNECTIONS_LEFT = "kept"  # a backend has these connections at the end: brick count
    FAULT = "fault"  # a step of a fault happens: kind which
    OPERATOR_CALL = "called"  # an operator's call was answered, or not: kind which brick status
    # Written by the instances (`garnetlanding.history.writer`).
    STARTED = "start"  # an incarnation starts: life
    READY = "up"  # all parts of an instance have started: life
    SETTINGS_APPLIED = "settings"  # settings are in force: epoch revision digest at
    FENCING_CHANGED = "current"  # an instance is fenced, or no longer: out at
    REQUEST_ENDED = "answered"  # an instance has answered a request: id attempts
    MEMBERS_CHANGED = "heads"  # the members that share limits changed: entitled even
    DISABLED_CHANGED = "bans"  # exactly these backends are disabled: out
    SUSPICIONS_CHANGED = "doubted"  # exactly these backends are suspected: servers
    OBSERVATIONS_SENT = "seen"  # an instance sends its peers what it observed: servers
    VOLUME_QUOTAS = "parts"  # quotas of volumes' limits: parts until
    BUDGET_QUOTAS = "shares"  # quotas of other common limits: parts until


def encode_line(now_us: int, process: str, kind: LineKind, fields: dict[str, Any]) -> bytes:
    """Return a line in its stored form, with its end."""
    line = {"t": now_us, "who": process, "what": kind.value, **fields}
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
