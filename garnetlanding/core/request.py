"""The records of one request and of its attempts, each of which ends exactly once.

No I/O and no decisions: the records change only through the parts of the engine that own them.
"""

from __future__ import annotations

from typing import Any, Protocol

from garnetlanding.core.ports import Answer, Backend, RequestSpec, ResponseCallback, Timer
from garnetlanding.decision.interface import Outcome


class AttemptOwner(Protocol):
    """What an attempt reports to and asks; implemented by `AttemptDispatcher`."""

    @property
    def now(self) -> int:
        """The monotonic clock, in microseconds."""

    def address_for(self, attempt: Attempt) -> str | None:
        """Return where the attempt's first byte may go now, or None if it may not be sent any more."""

    def attempt_written(self) -> None:
        """Count an attempt whose last byte is with the kernel."""

    def attempt_finished(self, attempt: Attempt, value: Any, used: int, report: dict[str, float]) -> None:
        """Take up the one end of an attempt; its `outcome` is set."""


class Attempt:
    """One attempt of a request at one backend; the engine's implementation of `AttemptHandle`.

    States: in flight (`outcome` is None), then finished. The first call of `finish` decides the outcome,
    every later one is ignored, so a backend that reports a reset after a cancelled attempt does no harm.
    """

    __slots__ = (
        "_owner",
        "request",
        "number",
        "node",
        "until_us",
        "sent_at",
        "ended_at",
        "outcome",
        "_is_written",
        "_response_started_at",
    )

    def __init__(
        self, owner: AttemptOwner, request: Request, number: int, node: str, until_us: int, now: int
    ) -> None:
        self._owner = owner
        self.request = request
        self.number = number  # position among the request's attempts, from 0
        self.node = node
        self.until_us = until_us
        self.sent_at = now
        self.ended_at = 0  # valid once `outcome` is set
        self.outcome: Outcome | None = None
        self._is_written = False
        self._response_started_at: int | None = None

    @property
    def took_us(self) -> int:
        """How long the backend took, up to the first byte of its response where that was reported.

        How slowly it writes the rest says nothing about how much work it has.
        """
        if self._response_started_at is None:
            return self.ended_at - self.sent_at
        return self._response_started_at - self.sent_at

    @property
    def work(self) -> Any:
        """What the backend is to do; opaque to the engine."""
        return self.request.spec.work

    def address(self) -> str | None:
        """See `AttemptHandle.address`."""
        if self.outcome is not None or self.request.answer is not None:
            return None
        return self._owner.address_for(self)

    def request_written(self) -> None:
        """See `AttemptHandle.request_written`."""
        if not self._is_written:
            self._is_written = True
            self._owner.attempt_written()

    def response_started(self) -> None:
        """See `AttemptHandle.response_started`."""
        if self._response_started_at is None:
            self._response_started_at = self._owner.now

    def finish(
        self, outcome: Outcome, value: Any = None, used: int = 0, report: dict[str, float] | None = None
    ) -> None:
        """See `AttemptHandle.finish`."""
        if self.outcome is None:
            self.outcome = outcome
            self._owner.attempt_finished(self, value, used, report or {})

    def stop(self, outcome: Outcome) -> None:
        """Take the attempt off its backend and end it with `outcome`, unless it has finished."""
        if self.outcome is None:
            self.request.backend.stop(self)
            self.finish(outcome)


class Request:
    """One accepted request: open until `answer` is set, settled once no attempt is in flight either."""

    __slots__ = (
        "ticket",
        "spec",
        "backend",
        "on_answer",
        "began_at",
        "until_us",
        "attempts",
        "answer",
        "timer",
    )

    def __init__(
        self, ticket: str, spec: RequestSpec, backend: Backend, on_answer: ResponseCallback, now: int
    ) -> None:
        self.ticket = ticket
        self.spec = spec
        self.backend = backend
        self.on_answer = on_answer
        self.began_at = now
        self.until_us = now + spec.timeout_us  # the client gives up then
        self.attempts: list[Attempt] = []
        self.answer: Answer | None = None  # set once, never changed
        self.timer: Timer | None = None  # the deadline's

    def in_flight(self) -> list[Attempt]:
        """Return the attempts that have not finished, in the order in which they began."""
        return [attempt for attempt in self.attempts if attempt.outcome is None]

    @property
    def is_settled(self) -> bool:
        """Whether the client has its answer and no backend works on the request any more."""
        return self.answer is not None and not self.in_flight()
