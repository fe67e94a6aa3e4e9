"""How a request ends at its client."""

from __future__ import annotations

from enum import StrEnum


class Outcome(StrEnum):
    """One outcome of a request; the value is the word of histories and of result.json."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    LOST = "lost"  # the connection ended before an answer came
    TIMED_OUT = "none"
    MALFORMED = "spoilt"  # the answer does not follow the protocol
    MISMATCHED = "other's"  # the answer is that of another request
    NOT_RECORDED = "never noted"  # the clients' history does not end it
