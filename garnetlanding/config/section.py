"""Typed readers for one table of a configuration, and the error that names the faulty key.

Each subsystem reads its own table with a `Section`; what a reader returns has been checked.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import Any

from garnetlanding.runtime.stream import parse_address

# The greatest number that a key may have where its reader gives no smaller bound.
NUMBER_MAX = 1e12


class ConfigError(ValueError):
    """A configuration that cannot be used. The text is complete; the attributes serve programs.

    `key` is the dotted path of the faulty key, `file` the path of the file that could not be read or parsed;
    each is None where the error is not about one.
    """

    def __init__(self, text: str, *, key: str | None = None, file: str | None = None) -> None:
        super().__init__(text)
        self.key = key
        self.file = file

    @classmethod
    def at_key(cls, key: str, problem: object) -> ConfigError:
        """Return the error of one key, given by its dotted path: `key PATH: PROBLEM`."""
        return cls(f"key {key}: {problem}", key=key)


class Section:
    """One table of a configuration. It knows its dotted path, so that an error can name the whole key.

    Every reader raises ConfigError for a value that it does not accept.
    """

    def __init__(self, value: object, path: str, known: str = "") -> None:
        """Check that `value` is a table with no keys but `known`, separated by spaces (empty: any key)."""
        if not isinstance(value, dict):
            raise ConfigError.at_key(path, "missing or not a table")
        self.data: dict[str, Any] = value
        self._path = path
        unknown = sorted(set(value) - set(known.split())) if known else []
        if unknown:
            raise self.error(unknown[0], "not known here")

    def name(self, key: str) -> str:
        """Return the dotted path of a key of this table."""
        return f"{self._path}.{key}" if self._path else key

    def error(self, key: str, problem: object) -> ConfigError:
        """Return, for the caller to raise, the error of one key of this table."""
        return ConfigError.at_key(self.name(key), problem)

    def has(self, key: str) -> bool:
        """Tell whether the key is there, with whatever value."""
        return key in self.data

    def raw(self, key: str) -> Any:
        """Return the unchecked value, None where the key is absent."""
        return self.data.get(key)

    def text(self, key: str, absent: str | None = None) -> str:
        """Return a text; without a default (`absent`) it must be there and not be empty."""
        value = self.data.get(key, absent)
        if not isinstance(value, str) or (not value and absent is None):
            raise self.error(key, "missing or not text")
        return value

    def one_of(self, key: str, among: Collection[str]) -> str:
        """Return a text that must be there and be one of `among`."""
        value = self.text(key)
        if value not in among:
            raise self.error(key, f"{value!r:.40} is none of {', '.join(sorted(among))}")
        return value

    def address(self, key: str) -> str:
        """Return an address as it is written, HOST:PORT; it must be there."""
        text = self.text(key)
        try:
            parse_address(text)
        except ValueError as problem:
            raise self.error(key, problem) from problem
        return text

    def number(self, key: str, least: float, absent: float | None = None, most: float = NUMBER_MAX) -> float:
        """Return a number from `least` to `most`; without a default (`absent`) it must be there."""
        value = self.data.get(key, absent)
        if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value <= most:
            raise self.error(key, f"expected a number from {least:g} to {most:g}, " f"found {value!r:.40}")
        return float(value)
