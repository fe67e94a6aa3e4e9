"""The lab's exceptions, all under LabError."""

from __future__ import annotations

import pathlib


class LabError(Exception):
    """The experiment could not be completed or reported; its histories allow no conclusion."""


class FolderNotEmptyError(LabError):
    """The run's `folder` already contains files: histories of two runs would be mixed."""

    def __init__(self, folder: pathlib.Path) -> None:
        super().__init__(f"{folder} is not empty: histories of two runs would be mixed")
        self.folder = folder


class ProcessFailedError(LabError):
    """A process exited prematurely, or was not ready or finished in time.

    `process` is its name, the stem of its log file; `exit_code` is None if it was still running.
    """

    def __init__(self, text: str, process: str, exit_code: int | None = None) -> None:
        super().__init__(text)
        self.process = process
        self.exit_code = exit_code


class InterruptedRunError(LabError):
    """Signal `signal_number` interrupted the lab; every process that it had started has been terminated."""

    def __init__(self, signal_name: str, signal_number: int) -> None:
        super().__init__(f"interrupted by {signal_name}")
        self.signal_number = signal_number


class MissingResultError(LabError):
    """A `folder` contains no finished run, or the run lacks the requested data."""

    def __init__(self, folder: str, reason: str) -> None:
        super().__init__(f"{folder}: {reason}")
        self.folder = folder


class MissingDependencyError(LabError):
    """A library of the optional extra `lab` is not installed."""


class CorruptHistoryError(LabError, ValueError):
    """A line cannot be decoded; `file` and `line_number`, counted from 1, give its position."""

    def __init__(self, file: pathlib.Path, line_number: int, excerpt: bytes) -> None:
        super().__init__(f"{file} line {line_number}: cannot read {excerpt!r}")
        self.file = file
        self.line_number = line_number
