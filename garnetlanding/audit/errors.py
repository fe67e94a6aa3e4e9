"""Errors of the audit. All derive from `AuditError`, whose text the commands print unchanged."""

from __future__ import annotations

from garnetlanding.audit.segment import Segment


class AuditError(ValueError):
    """Audit files or a query that cannot be processed; the text is shown to an operator."""


class CorruptSegmentError(AuditError):
    """A segment that cannot be decoded, other than a torn tail where one is allowed.

    `file` is the segment's file name and `offset` the byte offset at which decoding failed. `intact` contains
    the records before that offset; it is `None` if the header could not be decoded.
    """

    def __init__(self, file: str, offset: int, reason: str) -> None:
        super().__init__(f"{file}: offset {offset}: {reason}")
        self.file = file
        self.offset = offset
        self.intact: Segment | None = None


class NoRecordsError(AuditError):
    """No audit segment was found; the text names the paths searched."""


class InvalidQueryError(AuditError):
    """A query that cannot be parsed, such as a version without its component."""


class ChartUnavailableError(AuditError):
    """A chart was requested but the plotting library is not installed."""
