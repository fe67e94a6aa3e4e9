"""Typed accessors for one table of a configuration, and the error that names the faulty key.

Each subsystem reads its own table with a `Section`, whose accessors return validated values only.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import Any

from garnetlanding.runtime.stream import parse_address

NUMBER_MAX = 1e12
"""The default upper bound of numbers."""


class ConfigError(ValueError):
    """A configuration that cannot be used.

    `key` is the dotted path of the faulty key, `file` the path of the file that could not be read or parsed;
    each is None if the error is not about one. The text includes both.
    """

    def __init__(self, text: str, *, key: str | None = None, file: str | None = None) -> None:
        super().__init__(text)
        self.key = key
        self.file = file

    @classmethod
    def at_key(cls, key: str, problem: object) -> ConfigError:
        """Return the error of one key, given by its dotted path: `key PATH: PROBLEM`."""
        return cls(f"key {key}: {problem}", key=key)

    @classmethod
    def not_an_object(cls) -> ConfigError:
        """Return the error of a platform's file that is not a JSON object."""
        return cls("the configuration is not an object")

    @classmethod
    def unreadable(cls, file: str, problem: OSError) -> ConfigError:
        """Return the error of a file that cannot be read."""
        return cls(f"cannot read {file}: {problem.strerror}", file=file)

    @classmethod
    def malformed(cls, file: str, file_format: str, problem: ValueError) -> ConfigError:
        """Return the error of a file that cannot be parsed as `file_format`."""
        return cls(f"{file} is not {file_format}: {problem}", file=file)


class Section:
    """One table of a configuration, with its dotted path for error messages.

    Every accessor raises ConfigError for a value that it does not accept.
    """

    def __init__(self, value: object, path: str, allowed_keys: str = "") -> None:
        """Check that `value` is a table with only `allowed_keys`, separated by spaces; empty: any keys."""
        if not isinstance(value, dict):
            raise ConfigError.at_key(path, "missing or not a table")
        self.data: dict[str, Any] = value
        self._path = path
        unknown = sorted(set(value) - set(allowed_keys.split())) if allowed_keys else []
        if unknown:
            raise self.error(unknown[0], "not known here")

    def key_path(self, key: str) -> str:
        """Return the dotted path of a key of this table."""
        return f"{self._path}.{key}" if self._path else key

    def error(self, key: str, problem: object) -> ConfigError:
        """Return the error of one key of this table, for the caller to raise."""
        return ConfigError.at_key(self.key_path(key), problem)

    def has(self, key: str) -> bool:
        """Return whether the table has the key, with any value."""
        return key in self.data

    def raw(self, key: str) -> Any:
        """Return the value without validation, None if the key is absent."""
        return self.data.get(key)

    def text(self, key: str, default: str | None = None) -> str:
        """Return a text; without a `default` it is required and must not be empty."""
        value = self.data.get(key, default)
        if not isinstance(value, str) or (not value and default is None):
            raise self.error(key, "missing or not text")
        return value

    def one_of(self, key: str, choices: Collection[str]) -> str:
        """Return a required text that must be one of `choices`."""
        value = self.text(key)
        if value not in choices:
            raise self.error(key, f"{value!r:.40} is none of {', '.join(sorted(choices))}")
        return value

    def address(self, key: str) -> str:
        """Return a required address, HOST:PORT, in its original spelling."""
        text = self.text(key)
        try:
            parse_address(text)
        except ValueError as problem:
            raise self.error(key, problem) from problem
        return text

    def number(
        self, key: str, minimum: float, default: float | None = None, maximum: float = NUMBER_MAX
    ) -> float:
        """Return a number from `minimum` to `maximum`; without a `default` the key is required."""
        value = self.data.get(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not minimum <= value <= maximum:
            raise self.error(key, f"expected a number from {minimum:g} to {maximum:g}, found {value!r:.40}")
        return float(value)
