"""The `[history]` section of an operator's file."""

from __future__ import annotations

from dataclasses import dataclass

from garnetlanding.config.section import Section


@dataclass(frozen=True, slots=True)
class HistorySetup:
    file: str
    wall_s: int = 0  # added to the wall clock, for experiments with clocks that were set wrong


def read(data: object) -> HistorySetup:
    """Raises ConfigError."""
    section = Section(data, "history", "file wall_s")
    return HistorySetup(section.text("file"), int(section.number("wall_s", -1e9, 0, 1e9)))
