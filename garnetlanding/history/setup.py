"""The `[history]` section of an operator's file."""

from __future__ import annotations

from dataclasses import dataclass

from garnetlanding.config.section import Section


@dataclass(frozen=True, slots=True)
class HistorySetup:
    file: str
    wall_file: str = ""  # says how many seconds to add to the wall clock, for experiments with wrong ones

    def wall_s(self) -> int:
        """Read anew each time: clocks step while a process runs. Raises OSError and ValueError."""
        if not self.wall_file:
            return 0
        with open(self.wall_file, encoding="ascii") as file:
            return int(file.read())


def read(data: object) -> HistorySetup:
    """Raises ConfigError."""
    section = Section(data, "history", "file wall_file")
    setup = HistorySetup(section.text("file"), section.text("wall_file", ""))
    try:
        setup.wall_s()
    except (OSError, ValueError) as problem:
        raise section.error("wall_file", problem) from None
    return setup
