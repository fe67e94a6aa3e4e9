"""The records of one request and of its attempts, each of which ends exactly once.

No I/O and no decisions: only the dispatcher and the request table change these records.
"""

from __future__ import annotations

from typing import Any, Protocol

from garnetlanding.core.ports import (
    Answer,
    AnswerCallback,
    BackendTransport,
    MemoryHolder,
    RequestSpec,
    Timer,
)
from garnetlanding.decision.interface import Outcome

CLIENT_LEFT = "client left"
"""The reason of the failure of a request whose client has disconnected."""


def discard_answer(_: Answer) -> None:
    """Do nothing: the callback of a request that nobody waits for any more."""


class AttemptOwner(Protocol):
    """The part of the engine to which attempts report; implemented by `AttemptDispatcher`."""

    @property
    def now(self) -> int:
        """The monotonic clock, in microseconds."""

    def address_for(self, attempt: Attempt) -> str | None:
        """Return the HOST:PORT to send the attempt to now, or None if it may not be sent any more."""

    def attempt_written(self) -> None:
        """Count an attempt that has been written to its backend in full."""

    def attempt_finished(
        self, attempt: Attempt, value: Any, usage_percent: int | None, load_report: dict[str, float]
    ) -> None:
        """Process the end of an attempt; its `outcome` is set."""


class Attempt:
    """One attempt of a request at one backend; the engine's implementation of `AttemptHandle`.

    States: in flight (`outcome` is None), then finished. The first call of `finish` decides the outcome and
    later ones are ignored, so a transport may still report a reset of a cancelled attempt.
    """

    __slots__ = (
        "_is_written",
        "_owner",
        "_response_started_at",
        "backend",
        "deadline_timer",
        "deadline_us",
        "ended_at",
        "number",
        "outcome",
        "request",
        "sent_at",
    )

    def __init__(
        self, owner: AttemptOwner, request: Request, number: int, backend: str, deadline_us: int, now: int
    ) -> None:
        self._owner = owner
        self.request = request
        self.number = number  # position among the request's attempts, from 0
        self.backend = backend
        self.deadline_us = deadline_us
        self.sent_at = now
        self.ended_at = 0  # valid once `outcome` is set
        self.outcome: Outcome | None = None
        self.deadline_timer: Timer | None = None  # set if the attempt ends before its request's deadline
        self._is_written = False
        self._response_started_at: int | None = None

    @property
    def is_written(self) -> bool:
        """Whether the backend may have received all of it."""
        return self._is_written

    @property
    def duration_us(self) -> int:
        """The latency: up to the first byte of the response if that was reported, otherwise up to the end.

        How long the rest of a response takes depends on its size and the client, not on the backend's load.
        """
        if self._response_started_at is None:
            return self.ended_at - self.sent_at
        return self._response_started_at - self.sent_at

    @property
    def operation(self) -> Any:
        """See `AttemptHandle.operation`."""
        return self.request.spec.operation

    def address(self) -> str | None:
        """See `AttemptHandle.address`."""
        if self.outcome is not None or self.request.is_answered:
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
        self,
        outcome: Outcome,
        value: Any = None,
        usage_percent: int | None = None,
        load_report: dict[str, float] | None = None,
    ) -> None:
        """See `AttemptHandle.finish`."""
        if self.outcome is None:
            self.outcome = outcome
            if self.deadline_timer:
                self.deadline_timer.cancel()
            self._owner.attempt_finished(self, value, usage_percent, load_report or {})

    def stop(self, outcome: Outcome) -> None:
        """Cancel the attempt at its transport and finish it with `outcome`, unless it has finished."""
        if self.outcome is None:
            self.request.transport.stop(self)
            self.finish(outcome)


class Request:
    """One accepted request: open until it is answered, settled once no attempt is in flight either.

    The record does not keep the answer, whose value belongs to whoever the answer is passed to.
    """

    __slots__ = (
        "account",
        "attempts",
        "began_at",
        "charged_bytes",
        "client_has_left",
        "deadline_timer",
        "deadline_us",
        "is_answered",
        "on_answer",
        "spec",
        "ticket",
        "transport",
    )

    def __init__(
        self,
        ticket: str,
        spec: RequestSpec,
        transport: BackendTransport,
        on_answer: AnswerCallback,
        now: int,
        account: MemoryHolder | None = None,
    ) -> None:
        self.ticket = ticket
        self.spec = spec
        self.transport = transport
        self.on_answer = on_answer
        self.account = account  # of the client
        self.charged_bytes = 0  # to the account, until the request is settled
        self.client_has_left = False  # no further attempt begins
        self.began_at = now
        self.deadline_us = now + spec.timeout_us
        self.attempts: list[Attempt] = []
        self.is_answered = False  # whether the final answer has been given; never reset
        self.deadline_timer: Timer | None = None

    def stop_unwritten(self) -> None:
        """Stop the attempts in flight that no backend can have received in full."""
        for attempt in self.in_flight():
            if not attempt.is_written:
                attempt.stop(Outcome.CANCELLED)

    def in_flight(self) -> list[Attempt]:
        """Return the attempts that have not finished, in the order in which they were sent."""
        return [attempt for attempt in self.attempts if attempt.outcome is None]

    @property
    def is_settled(self) -> bool:
        """Whether the request has its final answer and no attempt of it is in flight."""
        return self.is_answered and not self.in_flight()

    def release(self) -> None:
        """Release the memory of a settled request, in its client's account and in fact.

        The references between request, attempts, timers and callbacks form cycles. They are cut here, since
        the garbage collector would free the memory some time after the account has released it.
        """
        if self.deadline_timer:
            self.deadline_timer.cancel()
        self.on_answer = discard_answer
        self.attempts = []
        if self.account:
            self.account.release(self.charged_bytes)
            self.charged_bytes = 0
