"""The history of what surrounds the instances: backends, faults and operators' calls."""

from __future__ import annotations

import os
import pathlib
from types import TracebackType
from typing import Any, Protocol

from garnetlanding.lab.history import LineKind, encode_line
from garnetlanding.runtime.scheduler import monotonic_us

FILE_NAME = "bricks.history"
PROCESS = "bricks"
"""The process that its lines name."""


class EventRecorder(Protocol):
    """Appends one line of a kind, with these fields by their stored keys."""

    def __call__(self, kind: LineKind, /, **fields: Any) -> None:
        """Append the line."""


class EnvironmentHistory:
    """The open history file. A context manager; lines are written as a whole, at once."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Open the file in the run's folder, behind what it holds. Raises OSError."""
        path = folder / FILE_NAME
        self._descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def record(self, kind: LineKind, /, **fields: Any) -> None:
        """Append a line of this kind at the present time."""
        os.write(self._descriptor, encode_line(monotonic_us(), PROCESS, kind, fields))

    def __enter__(self) -> EnvironmentHistory:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        os.close(self._descriptor)
