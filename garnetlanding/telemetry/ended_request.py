"""A completed request, queued until telemetry exports it."""

from __future__ import annotations

from dataclasses import dataclass

from garnetlanding.core.ports import Answer, AttemptSummary, Failed, Rejected, RequestSpec

SERVED = "served"
"""The outcome of a request or attempt that succeeded; any other sets the span's status to an error."""


@dataclass(frozen=True, slots=True)
class EndedRequest:
    """One request, as reported by the request engine. Times are of the monotonic clock, in microseconds."""

    request: RequestSpec
    outcome: str
    """`served`, `refused` or `failed`, as in the exported attributes."""
    began_us: int
    ended_us: int
    attempts: list[AttemptSummary]


def outcome_of(answer: Answer) -> str:
    """Return the exported name of an answer's outcome."""
    match answer:
        case Rejected():
            return "refused"
        case Failed():
            return "failed"
    return SERVED
