"""The record of a run: what was sent, answered and run, with the time of each line."""

from __future__ import annotations

import os
import time
from pathlib import Path

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2


class CannotRunError(Exception):
    """The case could not run, so that it says nothing about the rule."""


class Record:
    """Writes `record.txt`; each line has the seconds since the start of the run."""

    def __init__(self, folder: str) -> None:
        self._file = (Path(folder) / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the start of the run."""
        return time.monotonic() - self._began

    def line(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now:9.4f} {text}\n")

    def say(self, text: str) -> None:
        """Write one line to the record and to standard output."""
        self.line(text)
        print(text, flush=True)

    def close(self) -> None:
        """Finish the record."""
        self._file.close()


def trouble() -> bool:
    """Return whether the run has its disruption; TROUBLE=0 leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"
