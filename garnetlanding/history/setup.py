"""The `[history]` section of an operator's file."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from garnetlanding.config.section import Section


@dataclass(frozen=True, slots=True)
class HistorySetup:
    """Where the history is written, and the offset that an experiment applies to the wall clock."""

    file: str
    wall_offset_file: str = ""
    """A file with the seconds to add to the wall clock; empty: no offset."""

    def wall_offset_s(self) -> int:
        """Return the seconds to add to the wall clock.

        The file is read at each call, since an experiment may step the clock while a process runs. Raises
        `OSError` or `ValueError`.
        """
        if not self.wall_offset_file:
            return 0
        return int(Path(self.wall_offset_file).read_text(encoding="ascii"))


def read(data: object) -> HistorySetup:
    """Read the section. Raises `ConfigError` that names the key."""
    section = Section(data, "history", "file wall_file")
    setup = HistorySetup(section.text("file"), section.text("wall_file", ""))
    try:
        setup.wall_offset_s()
    except (OSError, ValueError) as error:
        raise section.error("wall_file", error) from error
    return setup
