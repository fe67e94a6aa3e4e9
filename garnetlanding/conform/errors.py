"""The exceptions of the conformance suite."""

from __future__ import annotations


class ConformanceError(Exception):
    """Base class of the suite's exceptions."""


class CaseFailedError(ConformanceError):
    """The server broke the rule that the running case checks."""


class UnsupportedError(ConformanceError):
    """The server reports that it does not implement an optional operation."""


class UsageError(ConformanceError, ValueError):
    """A command-line argument is invalid.

    `argument` is the option as written on the command line. The error message begins with it, followed by
    the value if one is given.
    """

    def __init__(self, argument: str, reason: object, value: str = "") -> None:
        prefix = f"{argument} {value}" if value else argument
        super().__init__(f"{prefix}: {reason}")
        self.argument = argument


class DuplicateCaseError(ConformanceError, ValueError):
    """Two case functions yield the same case name, which is kept in `name`."""

    def __init__(self, name: str) -> None:
        super().__init__(f"two cases are named {name}")
        self.name = name


def check(condition: bool, reason: str) -> None:
    """Raise CaseFailedError with the reason if the condition is false."""
    if not condition:
        raise CaseFailedError(reason)
