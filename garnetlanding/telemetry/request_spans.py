"""Turns ended requests into OTLP spans: one for the request, with a child span for each attempt."""

from __future__ import annotations

import random

from garnetlanding.telemetry.ended_request import SERVED, EndedRequest
from garnetlanding.telemetry.otlp import Span, SpanKind

_TRACE_ID_DIGITS = 32
_SPAN_ID_DIGITS = 16
_NEW_OBJECT_CELL = -1
"""The attribute's value for a new object, which has no cell yet."""
NS_PER_US = 1000


class SpanBuilder:
    """Builds spans with random ids, and converts their times from the monotonic to the wall clock.

    `wall_offset_ns` is added to monotonic times. It is constant for the lifetime of the process, so that the
    spans of a trace remain consistent when the wall clock is stepped.
    """

    def __init__(self, rng: random.Random, wall_offset_ns: int) -> None:
        self._rng = rng
        self._wall_offset_ns = wall_offset_ns

    def build(self, ended: EndedRequest) -> list[Span]:
        """Return the request's span, then those of its attempts in the order in which they were sent."""
        trace_id = self._random_id(_TRACE_ID_DIGITS)
        request_span = self._request_span(ended, trace_id)
        attempt_spans = self._attempt_spans(ended, trace_id, request_span.span_id)
        return [request_span, *attempt_spans]

    def _request_span(self, ended: EndedRequest, trace_id: str) -> Span:
        request = ended.request
        return Span(
            trace_id=trace_id,
            span_id=self._random_id(_SPAN_ID_DIGITS),
            parent_id="",
            name=f"request {request.request_class}",
            kind=SpanKind.SERVER,
            start_ns=self._wall_ns(ended.began_us),
            end_ns=self._wall_ns(ended.ended_us),
            attributes={
                "volume": request.volume,
                "plan": request.plan,
                "cell": _NEW_OBJECT_CELL if request.cell is None else request.cell,
                "outcome": ended.outcome,
                "attempts": len(ended.attempts),
            },
            error=_error(ended.outcome),
        )

    def _attempt_spans(self, ended: EndedRequest, trace_id: str, parent_id: str) -> list[Span]:
        return [
            Span(
                trace_id=trace_id,
                span_id=self._random_id(_SPAN_ID_DIGITS),
                parent_id=parent_id,
                name="attempt",
                kind=SpanKind.CLIENT,
                start_ns=self._wall_ns(attempt.sent_us),
                end_ns=self._wall_ns(attempt.ended_us or ended.ended_us),
                attributes={"server": attempt.backend, "outcome": attempt.outcome},
                error=_error(attempt.outcome),
            )
            for attempt in ended.attempts
        ]

    def _random_id(self, digits: int) -> str:
        """Return a random id in hexadecimal; OTLP reserves 0 for a missing id."""
        return f"{self._rng.randrange(1, 16 ** digits):0{digits}x}"

    def _wall_ns(self, monotonic_us: int) -> int:
        return monotonic_us * NS_PER_US + self._wall_offset_ns


def _error(outcome: str) -> str:
    return "" if outcome == SERVED else outcome
