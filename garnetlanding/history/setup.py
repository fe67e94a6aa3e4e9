"""The `[history]` section of an operator's file."""

from __future__ import annotations

from dataclasses import dataclass

from garnetlanding.config.section import Section


@dataclass(frozen=True, slots=True)
class HistorySetup:
    """Where the history is written, and how an experiment sets the wall clock wrong."""

    file: str
    wall_file: str = ""
    """A file with the seconds to add to the wall clock; empty: the clock is right."""

    def wall_s(self) -> int:
        """Return the seconds to add to the wall clock.

        The file is read each time, as clocks step while a process runs. Raises `OSError` or `ValueError`.
        """
        if not self.wall_file:
            return 0
        with open(self.wall_file, encoding="ascii") as file:
            return int(file.read())


def read(data: object) -> HistorySetup:
    """Read the section. Raises `ConfigError`, which names the key."""
    section = Section(data, "history", "file wall_file")
    setup = HistorySetup(section.text("file"), section.text("wall_file", ""))
    try:
        setup.wall_s()
    except (OSError, ValueError) as error:
        raise section.error("wall_file", error) from error
    return setup
