"""The exceptions of the conformance suite."""

from __future__ import annotations


class ConformanceError(Exception):
    """Base class of everything that the suite raises."""


class CaseFailedError(ConformanceError):
    """The server did not do what the rule of the running case asks."""


class UnsupportedError(ConformanceError):
    """The server states that it does not have an operation that the rule leaves optional."""


class UsageError(ConformanceError, ValueError):
    """An argument of the command names something that does not exist or cannot be read.

    `argument` is the option as it is written on the command line; the text begins with it, followed by the
    value where one is given.
    """

    def __init__(self, argument: str, reason: object, value: str = "") -> None:
        place = f"{argument} {value}" if value else argument
        super().__init__(f"{place}: {reason}")
        self.argument = argument


class DuplicateCaseError(ConformanceError, ValueError):
    """Two case functions give the same name, kept in `name`."""

    def __init__(self, name: str) -> None:
        super().__init__(f"two cases are named {name}")
        self.name = name


def check(holds: bool, reason: str) -> None:
    """Raise CaseFailedError with the reason unless the condition holds."""
    if not holds:
        raise CaseFailedError(reason)
