"""The error of the package, and the violations that the parsers report by it."""

from __future__ import annotations

from enum import Enum


class Violation(Enum):
    """Why a message cannot be parsed; the value is the error's message, which operators and logs show."""

    LINE_TOO_LONG = "line too long"
    TOO_MANY_HEADERS = "too many headers"
    INVALID_HEADER = "bad header"
    INVALID_CONTENT_LENGTH = "bad content-length"
    INVALID_REQUEST_LINE = "not an HTTP/1.1 request line"
    INVALID_TARGET = "target is no path"
    CHUNKED_REQUEST = "no chunked body is taken"
    BODY_TOO_LONG = "body too long"
    INVALID_STATUS_LINE = "not an HTTP/1.1 status line"
    INVALID_CHUNK_SIZE = "bad chunk size"
    CHUNK_WITHOUT_END = "chunk without its end"
    INCOMPLETE_RESPONSE = "answer cut short"


# By number: every instance imports this module, and nothing else on the platform needs the module `http`.
_BAD_REQUEST = 400
_LENGTH_REQUIRED = 411
_CONTENT_TOO_LARGE = 413
_HEADER_FIELDS_TOO_LARGE = 431

_STATUS_CODES = {
    Violation.LINE_TOO_LONG: _HEADER_FIELDS_TOO_LARGE,
    Violation.TOO_MANY_HEADERS: _HEADER_FIELDS_TOO_LARGE,
    Violation.CHUNKED_REQUEST: _LENGTH_REQUIRED,
    Violation.BODY_TOO_LONG: _CONTENT_TOO_LARGE,
}


class HttpError(ValueError):
    """A message is not HTTP/1.1, exceeds a limit or is incomplete; the rest of its connection is unusable.

    `status` is the status code of a server's response to it. `violation` is set if a parser has raised the
    error. It is one class, without subclasses, because logs show the name of an error's class.
    """

    def __init__(self, reason: str, status: int = _BAD_REQUEST, violation: Violation | None = None) -> None:
        super().__init__(reason)
        self.status = status
        self.violation = violation

    @classmethod
    def of(cls, violation: Violation) -> HttpError:
        """Return the error for a violation."""
        return cls(violation.value, _STATUS_CODES.get(violation, _BAD_REQUEST), violation)
