"""The lab's exceptions, all under LabError."""

from __future__ import annotations

import pathlib


class LabError(Exception):
    """The experiment could not be carried through or shown; what its histories hold proves nothing."""


class FolderNotEmptyError(LabError):
    """A run was given a `folder` that already holds files: its histories would be mixed with others."""

    def __init__(self, folder: pathlib.Path) -> None:
        super().__init__(f"{folder} is not empty: its histories would be mixed")
        self.folder = folder


class ProcessFailedError(LabError):
    """A process ended before its time, or was not ready or done in time.

    `process` is its name, the stem of its log file; `exit_code` is None where it still ran.
    """

    def __init__(self, text: str, process: str, exit_code: int | None = None) -> None:
        super().__init__(text)
        self.process = process
        self.exit_code = exit_code


class InterruptedRunError(LabError):
    """A signal, number `signal_number`, asked the lab to end; all that it had started has been ended."""

    def __init__(self, signal_name: str, signal_number: int) -> None:
        super().__init__(f"ended by {signal_name}")
        self.signal_number = signal_number


class MissingResultError(LabError):
    """A `folder` holds no finished run, or none that answers what was asked of it."""

    def __init__(self, folder: str, reason: str) -> None:
        super().__init__(f"{folder}: {reason}")
        self.folder = folder


class MissingDependencyError(LabError):
    """A library of the optional extra `lab` is not installed."""


class CorruptHistoryError(LabError, ValueError):
    """A line that cannot be decoded; `file` and `line_number`, from 1, say where it stands."""

    def __init__(self, file: pathlib.Path, line_number: int, excerpt: bytes) -> None:
        super().__init__(f"{file} line {line_number}: cannot read {excerpt!r}")
        self.file = file
        self.line_number = line_number
