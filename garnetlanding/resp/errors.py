"""Errors of the RESP package. Their messages are sent to clients or logged unchanged."""

from __future__ import annotations

from enum import Enum

from garnetlanding.runtime.errors import BackendProtocolError


class RespError(ValueError):
    """Invalid input from a client; the message is part of the error reply."""


class Violation(Enum):
    """Why bytes are not valid RESP2; the value is the error message."""

    LINE_TOO_LONG = "line too long"
    NOT_A_COMMAND = "expected an array of bulk strings"
    UNKNOWN_TYPE = "unknown type byte"
    INVALID_NUMBER = "invalid number"
    INVALID_LENGTH = "invalid length"
    LENGTH_OVER_LIMIT = "length over the limit"
    NESTING_OVER_LIMIT = "arrays nested too deep"
    ARRAY_OVER_LIMIT = "array over the limit"
    UNTERMINATED_BULK_STRING = "bulk string without its end"


class ProtocolError(RespError):
    """Bytes are not RESP2 or exceed a limit: framing is lost, and later bytes cannot be decoded."""

    def __init__(self, violation: Violation) -> None:
        super().__init__(violation.value)
        self.violation = violation


class Problem(Enum):
    """What is wrong with an argument or a field of a command; the value is part of the message."""

    MISSING = "missing"
    MISSING_OR_INVALID = "missing or not a name"
    TOO_LONG = "too long or not ASCII"
    DUPLICATE = "there twice"
    OUT_OF_RANGE = "out of range"
    IN_USE = "of a request that is open"


class InvalidCommandError(RespError):
    """A correctly framed command is invalid; the message names the argument or field."""


class ArgumentCountError(InvalidCommandError):
    """A command has the wrong number of arguments."""

    def __init__(self) -> None:
        super().__init__("wrong number of arguments")


class InvalidArgumentError(InvalidCommandError):
    """An argument of a command, or a field in it, is invalid."""

    def __init__(self, argument: str, problem: Problem) -> None:
        super().__init__(f"{argument}: {problem.value}")
        self.argument = argument
        self.problem = problem


class InvalidFieldError(InvalidArgumentError):
    """A field in a command's field list is invalid."""

    def __init__(self, name: str, problem: Problem) -> None:
        super().__init__(f"field {name}", problem)
        self.name = name


class UnreadableFieldError(InvalidCommandError):
    """A field's value is not a number; `excerpt` is the start of the value."""

    def __init__(self, name: str, excerpt: str) -> None:
        super().__init__(f"field {name}: cannot read {excerpt!r}")
        self.name = name
        self.excerpt = excerpt


class MalformedReplyError(BackendProtocolError):
    """A backend's reply is valid RESP2 but has none of the valid forms of a reply."""

    def __init__(self) -> None:
        super().__init__("spoilt answer")


class SurplusReplyError(BackendProtocolError):
    """A backend sent data after the reply to a request; `complete` if that was another whole reply."""

    def __init__(self, *, complete: bool) -> None:
        super().__init__("more than one answer" if complete else "more behind an answer")
        self.complete = complete
