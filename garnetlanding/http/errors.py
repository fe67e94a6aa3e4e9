"""The exception raised by the HTTP parsers and the protocol violations that it reports."""

from __future__ import annotations

from enum import Enum


class Violation(Enum):
    """Why a message cannot be parsed; the value is the text in error responses and log lines."""

    LINE_TOO_LONG = "line too long"
    TOO_MANY_HEADERS = "too many headers"
    INVALID_HEADER = "bad header"
    INVALID_CONTENT_LENGTH = "bad content-length"
    INVALID_REQUEST_LINE = "not an HTTP/1.1 request line"
    INVALID_TARGET = "target is no path"
    CHUNKED_REQUEST_BODY = "no chunked body is taken"
    BODY_TOO_LONG = "body too long"
    INVALID_STATUS_LINE = "not an HTTP/1.1 status line"
    INVALID_CHUNK_SIZE = "bad chunk size"
    UNTERMINATED_CHUNK = "chunk without its end"
    INCOMPLETE_RESPONSE = "answer cut short"


# Plain numbers instead of `http.HTTPStatus`: every instance imports this module, and nothing else that it
# imports at start needs the standard `http` package.
_BAD_REQUEST = 400
_LENGTH_REQUIRED = 411
_CONTENT_TOO_LARGE = 413
_HEADER_FIELDS_TOO_LARGE = 431

_STATUS_CODES = {
    Violation.LINE_TOO_LONG: _HEADER_FIELDS_TOO_LARGE,
    Violation.TOO_MANY_HEADERS: _HEADER_FIELDS_TOO_LARGE,
    Violation.CHUNKED_REQUEST_BODY: _LENGTH_REQUIRED,
    Violation.BODY_TOO_LONG: _CONTENT_TOO_LARGE,
}


class HttpError(ValueError):
    """A message is invalid, too large or incomplete; the connection cannot be used any further.

    `status` is the status code with which a server responds. `violation` is set if a parser raised the error.
    There are no subclasses, because log lines contain the name of the exception class.
    """

    def __init__(self, reason: str, status: int = _BAD_REQUEST, violation: Violation | None = None) -> None:
        super().__init__(reason)
        self.status = status
        self.violation = violation

    @classmethod
    def from_violation(cls, violation: Violation) -> HttpError:
        """Return the error for a violation."""
        return cls(violation.value, _STATUS_CODES.get(violation, _BAD_REQUEST), violation)
