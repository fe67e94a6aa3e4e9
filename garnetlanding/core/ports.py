"""Interfaces between the core and its environment: frontends, backends, discovery, clock, decision module.

No bytes and no sockets. All times are integer microseconds on the instance's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, NamedTuple, Protocol

from garnetlanding.decision import interface as api
from garnetlanding.decision.interface import Endpoint, Outcome


@dataclass(frozen=True, slots=True)
class RequestSpec:
    """One request as a frontend parsed it."""

    request_class: str  # its name in the settings
    plan: str  # name of its volume's plan in the settings
    volume: str  # the tenant whose queue and quota it belongs to
    key: str  # of the object; writes to one key may have to keep their order
    units: float  # cost
    cell: int | None  # the shard that stores the object; None: a new object, which any shard may store
    timeout_us: int  # from the arrival of the request to its deadline
    serving_instances: int  # how many instances serve this volume
    operation: Any  # passed to the transport as it is; opaque to the engine
    is_retry: bool = False  # the client has sent this request before
    is_write: bool = False
    held_bytes: int = 0  # memory in use until the final answer
    allow_hedging: bool = True  # whether attempts may run in parallel if the settings allow it


class CoreError(ValueError):
    """Base class of errors about invalid input to the core."""


class RequestDefect(Enum):
    """Why a request contradicts the settings in force; the values are sent to clients."""

    UNKNOWN_CLASS = "unknown class"
    UNKNOWN_PLAN = "unknown plan"
    UNKNOWN_CELL = "unknown shard"
    TOO_MANY_UNITS = "more units than the largest request has"
    TOO_MANY_INSTANCES = "more hosts than there are"


class InvalidRequestError(CoreError):
    """A request contradicts the settings in force; the text, that of `defect`, is sent to the client."""

    def __init__(self, defect: RequestDefect) -> None:
        super().__init__(defect.value)
        self.defect = defect


@dataclass(frozen=True, slots=True)
class Served:
    """The backend has served the request; `value` is its response, or a `Body` that is still streamed."""

    value: Any


@dataclass(frozen=True, slots=True)
class Rejected:
    """The request was rejected: the client may safely retry it, after `retry_after_us` (None: at once)."""

    retry_after_us: int | None = None


@dataclass(frozen=True, slots=True)
class Failed:
    """The request failed and may have had an effect; `reason` is sent to the client."""

    reason: str


Answer = Served | Rejected | Failed
AnswerCallback = Callable[[Answer], None]


@dataclass(frozen=True, slots=True)
class EndpointListing:
    """An endpoint list, or changes to the one in force."""

    entries: tuple[Endpoint, ...]
    addresses: dict[str, str]  # HOST:PORT of each backend in `entries`, by its name
    complete: bool  # whether backends that `entries` does not name are gone
    at_start: bool = False  # whether it was cached before the start, and may be stale


class MemoryHolder(Protocol):
    """The account of a client's memory, which limits what its requests may make the instance hold."""

    def charge(self, count: int) -> bool:
        """Charge bytes; return False, without charging them, if the client must not hold them."""

    def release(self, count: int) -> None:
        """Release bytes that were charged."""


class DecisionModule(Protocol):
    """The decision module, or a wrapper around it (the peers' coordinator, the audit)."""

    @property
    def settings(self) -> api.Settings:
        """The settings in force in the module."""

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        """Process events, oldest first; return the actions to perform, in order."""


class AttemptHandle(Protocol):
    """The interface of one attempt to the transport that sends it.

    A transport calls, in this order: `address`, any number of times, the last time right before it writes the
    first byte; `request_written` and `response_started`, both optional, of which only the first call counts;
    and `finish` exactly once. After `BackendTransport.stop` its `finish` is ignored. All calls come from the
    event loop.
    """

    @property
    def backend(self) -> str:
        """The backend's name in the endpoint list."""

    @property
    def operation(self) -> Any:
        """The operation to perform: `RequestSpec.operation`."""

    @property
    def deadline_us(self) -> int:
        """When the attempt times out: the engine then calls `BackendTransport.stop`."""

    def address(self) -> str | None:
        """Return the backend's HOST:PORT, or None if the attempt may not be sent.

        The transport checks this right before the first byte, because establishing the connection may have
        taken long: meanwhile the backend may have started to drain, the request may have its final answer,
        or the deduplication window may have ended.
        """

    def request_written(self) -> None:
        """Report that the request has been written in full; only the first call has an effect."""

    def response_started(self) -> None:
        """Report the first byte of the response, up to which latency counts; later calls have no effect."""

    def finish(
        self,
        outcome: Outcome,
        value: Any = None,
        usage_percent: int | None = None,
        load_report: dict[str, float] | None = None,
    ) -> None:
        """Report how the attempt ended; only the first call has an effect.

        `value` is the response if `outcome` is SERVED. `usage_percent` is the rate that the volume used at
        all instances, as a percentage of the rate of its plan, or None if the backend has not reported it.
        `load_report` is the backend's load report, by metric.
        """


class BackendTransport(Protocol):
    """Sends attempts to backends over one protocol."""

    def start(self, attempt: AttemptHandle) -> None:
        """Start the attempt; it may finish before this returns."""

    def stop(self, attempt: AttemptHandle) -> None:
        """Cancel the attempt; once this returns, the transport does nothing more for it.

        Called at most once, while the attempt is in flight; the caller finishes the attempt.
        """


class EndpointSubscription(Protocol):
    """The client of discovery that follows the endpoint list."""

    def subscribe(self) -> None:
        """Poll or watch the list anew; a failure is reported once, to `endpoint_update_failed`."""


class Timer(Protocol):
    """A scheduled callback."""

    def cancel(self) -> None:
        """Cancel the callback; without effect once it has run."""


class Timers(Protocol):
    """The event loop's clock and its scheduled callbacks."""

    @property
    def now(self) -> int:
        """The monotonic clock, in microseconds."""

    def call_at(self, due: int, callback: Callable[[], None]) -> Timer:
        """Schedule the callback: the event loop runs it once the clock has reached `due`."""


class AttemptSummary(NamedTuple):
    """One attempt of a finished request, for observers."""

    backend: str
    outcome: str  # the value of an `Outcome`, or "out" if it was in flight at the final answer
    sent_us: int
    ended_us: int  # 0 if it was in flight at the final answer


class Observer(Protocol):
    """Notified of each final answer."""

    def request_ended(
        self,
        spec: RequestSpec,
        answer: Answer,
        began_us: int,
        ended_us: int,
        attempts: list[AttemptSummary],
    ) -> None:
        """Record a request that has its final answer; must return at once, and must not raise."""
