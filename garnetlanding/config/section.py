"""One table of a configuration, and the error that names its key. Each subsystem reads its own with it."""

from __future__ import annotations

from collections.abc import Collection
from typing import Any

from garnetlanding.runtime.stream import parse_address


class ConfigError(ValueError):
    """A configuration that cannot be used; the text names the key."""


class Section:
    """One object of a configuration; knows its path, so that a message can name the key."""

    def __init__(self, value: object, path: str, known: str = "") -> None:
        if not isinstance(value, dict):
            raise ConfigError(f"key {path}: missing or not a table")
        self.data: dict[str, Any] = value
        self._path = path
        unknown = sorted(set(value) - set(known.split())) if known else []
        if unknown:
            raise ConfigError(f"key {self.name(unknown[0])}: not known here")

    def name(self, key: str) -> str:
        return f"{self._path}.{key}" if self._path else key

    def has(self, key: str) -> bool:
        return key in self.data

    def raw(self, key: str) -> Any:
        return self.data.get(key)

    def text(self, key: str, absent: str | None = None) -> str:
        value = self.data.get(key, absent)
        if not isinstance(value, str) or (not value and absent is None):
            raise ConfigError(f"key {self.name(key)}: missing or not text")
        return value

    def one_of(self, key: str, among: Collection[str]) -> str:
        value = self.text(key)
        if value not in among:
            raise ConfigError(f"key {self.name(key)}: {value!r:.40} is none of {', '.join(sorted(among))}")
        return value

    def address(self, key: str) -> str:
        text = self.text(key)
        try:
            parse_address(text)
        except ValueError as problem:
            raise ConfigError(f"key {self.name(key)}: {problem}") from None
        return text

    def number(self, key: str, least: float, absent: float | None = None, most: float = 1e12) -> float:
        value = self.data.get(key, absent)
        if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value <= most:
            raise ConfigError(
                f"key {self.name(key)}: expected a number from {least:g} to {most:g}, " f"found {value!r:.40}"
            )
        return float(value)
