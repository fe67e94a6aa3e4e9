"""The history of the instances' environment: backends, faults and operator calls."""

from __future__ import annotations

import os
import pathlib
from types import TracebackType
from typing import Any, Protocol

from garnetlanding.lab.history import LineKind, encode_line
from garnetlanding.runtime.scheduler import monotonic_us

FILE_NAME = "bricks.history"
PROCESS = "bricks"
"""The process name in its lines."""


class EventRecorder(Protocol):
    """Appends one line of the given kind; the keyword arguments are the stored keys."""

    def __call__(self, kind: LineKind, /, **fields: Any) -> None:
        """Append the line."""


class EnvironmentHistory:
    """The open history file, a context manager. Each line is written in a single call, unbuffered."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Open the file in the run's folder for appending. Raises OSError."""
        path = folder / FILE_NAME
        self._descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def record(self, kind: LineKind, /, **fields: Any) -> None:
        """Append a line of the given kind, with the current time."""
        os.write(self._descriptor, encode_line(monotonic_us(), PROCESS, kind, fields))

    def __enter__(self) -> EnvironmentHistory:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        os.close(self._descriptor)
