"""The outcome of a request at its client."""

from __future__ import annotations

from enum import StrEnum


class Outcome(StrEnum):
    """One outcome of a request; the value is its name in histories and result.json."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    LOST = "lost"  # the connection ended before a response arrived
    TIMED_OUT = "none"
    MALFORMED = "spoilt"  # the response violates the protocol
    MISMATCHED = "other's"  # the response belongs to another request
    NOT_RECORDED = "never noted"  # the clients' history has no outcome of it
