"""Errors of the audit; all of them are `AuditError`, and a command prints their text as it is."""

from __future__ import annotations

from garnetlanding.audit.segment import Segment


class AuditError(ValueError):
    """Audit files, or a question about them, that cannot be processed; the text is meant for an operator."""


class CorruptSegmentError(AuditError):
    """A segment with bytes that are present but cannot be decoded.

    `file` is the segment's file name and `offset` the byte offset at which decoding failed. `intact` holds
    the records before that offset; it is `None` where the header itself could not be decoded.
    """

    def __init__(self, file: str, offset: int, reason: str) -> None:
        super().__init__(f"{file}: offset {offset}: {reason}")
        self.file = file
        self.offset = offset
        self.intact: Segment | None = None


class NoRecordsError(AuditError):
    """No audit segment was found; the text names the places searched."""


class InvalidQueryError(AuditError):
    """A question that cannot be parsed, such as a version without its component."""


class ChartUnavailableError(AuditError):
    """A chart was asked for and the plotting library is not installed."""
