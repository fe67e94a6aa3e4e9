"""The `[history]` section of an operator's file."""

from __future__ import annotations

from dataclasses import dataclass

from garnetlanding.config.section import Section


@dataclass(frozen=True, slots=True)
class HistorySetup:
    file: str


def read(data: object) -> HistorySetup:
    """Raises ConfigError."""
    return HistorySetup(Section(data, "history", "file").text("file"))
