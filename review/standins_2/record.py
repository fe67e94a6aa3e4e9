"""The record of a run: what was sent, answered and run, one line an event, with the time in seconds."""

from __future__ import annotations

import os
import sys
import time
from pathlib import Path

HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes lines to a file as they come; times count from the record's beginning."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()
        self(f"trouble={'yes' if TROUBLE else 'no'}")

    @property
    def now(self) -> float:
        """Seconds since the beginning."""
        return time.monotonic() - self._began

    def __call__(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{self.now:9.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write a line, and show it to whoever runs the script."""
        self(text)
        print(text, file=sys.stderr, flush=True)
