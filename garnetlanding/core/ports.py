"""The interfaces between the core and its surroundings: fronts, backends, discovery, clock, decision module.

No bytes and no sockets. All times are integer microseconds on the instance's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple, Protocol

from garnetlanding.decision import interface as api
from garnetlanding.decision.interface import Endpoint, Outcome


@dataclass(frozen=True, slots=True)
class RequestSpec:
    """One request as a front read it."""

    cls: str  # name of its request class in the settings
    plan: str  # name of its volume's plan in the settings
    volume: str  # the tenant that it is queued and accounted for
    key: str  # the object: names the order of writes, and the scope of deduplication
    units: float  # cost
    cell: int  # the shard that has the object; -1: a new object, free to go anywhere
    timeout_us: int  # how long the client waits from now on
    volume_hosts: int  # how many instances serve this volume
    work: Any  # what is to be done: passed to the backend, opaque to the engine
    is_retry: bool = False  # the client has sent it before
    is_write: bool = False
    held_bytes: int = 0  # memory that it holds while it has no answer
    allow_hedging: bool = True  # whether a hedged request may run beside the first, where settings allow it


class CoreError(ValueError):
    """Something that was handed to the core, or read by it, cannot be used."""


class InvalidRequestError(CoreError):
    """A request that the settings in force have no place for; the text says why, and reaches clients."""


@dataclass(frozen=True, slots=True)
class Served:
    """The backend's answer, which may still be on its way: then `value` is a `Body`."""

    value: Any


@dataclass(frozen=True, slots=True)
class Rejected:
    """The request was shed: sending it again is harmless, best after `retry_after_us` where that is not 0."""

    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Failed:
    """The request failed, and part of it may have run; `reason` is shown to the client."""

    reason: str


Answer = Served | Rejected | Failed
ResponseCallback = Callable[[Answer], None]


@dataclass(frozen=True, slots=True)
class EndpointListing:
    """An endpoint list, or changes of one."""

    entries: tuple[Endpoint, ...]
    addresses: dict[str, str]  # where each backend in `entries` listens, by its name
    complete: bool  # whatever it does not name is gone
    at_start: bool = False  # remembered from before the start, and perhaps stale


class DecisionModule(Protocol):
    """The decision module, or what is wrapped around it (the peers' coordinator, the audit)."""

    @property
    def settings(self) -> api.Settings:
        """The settings that it decides by."""

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        """Take up events in the order in which they happened and return actions in the order to carry out."""


class AttemptHandle(Protocol):
    """One attempt, as a backend sees it.

    A backend calls, in this order: `address` (any number of times, right before the first byte is written),
    `request_written` and `response_started` (each at most once is counted, both optional), and `finish`
    exactly once, also after `Backend.stop`, when it is ignored. All calls come from the event loop.
    """

    @property
    def node(self) -> str:
        """The backend's name in the endpoint list."""

    @property
    def work(self) -> Any:
        """What is to be done: `RequestSpec.work`."""

    @property
    def until_us(self) -> int:
        """When the attempt is given up: the engine calls `Backend.stop` then."""

    def address(self) -> str | None:
        """Return where the backend listens, or None if it may not be sent the attempt (any more).

        Called by the backend at the first byte, however long the connection took to come up: the endpoint may
        have begun to drain, the instance's answer may be given, the deduplication window may be over.
        """

    def request_written(self) -> None:
        """Report that the request's last byte is with the kernel; later calls change nothing."""

    def response_started(self) -> None:
        """Report the first byte of the response, from which latency is taken; later calls change nothing."""

    def finish(
        self, outcome: Outcome, value: Any = None, used: int = 0, report: dict[str, float] | None = None
    ) -> None:
        """Report the one end of the attempt; later calls change nothing.

        `value`: the answer where `outcome` is SERVED. `used`: 1 + percent of the plan's rate that the volume
        got at all instances, 0 where not reported. `report`: the backend's load report by metric.
        """


class Backend(Protocol):
    """Carries attempts to backends over one protocol."""

    def start(self, attempt: AttemptHandle) -> None:
        """Begin the attempt; its handle may be finished before this returns."""

    def stop(self, attempt: AttemptHandle) -> None:
        """Take the attempt off: on return the backend no longer owes it anything.

        Called at most once, while the attempt is in flight; the caller finishes the handle.
        """


class Subscriptions(Protocol):
    """Discovery's side that can be asked to follow the endpoint list."""

    def subscribe(self) -> None:
        """Begin to follow the list anew; its failure is reported once, to `endpoint_update_failed`."""


class Timer(Protocol):
    """A call that is due later."""

    def cancel(self) -> None:
        """Prevent the call; without effect once it was made."""


class Timers(Protocol):
    """The event loop's clock."""

    @property
    def now(self) -> int:
        """The monotonic clock, in microseconds."""

    def call_at(self, due: int, call: Callable[[], None]) -> Timer:
        """Make the call from the event loop once `due` has come."""


class AttemptSummary(NamedTuple):
    """How one attempt went, for observers."""

    node: str
    outcome: str  # value of an `Outcome`, or "out" where it was still in flight at the answer
    sent_us: int
    ended_us: int  # 0 where it was still in flight


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
        """Note a request that has its final answer; must return at once, and must not raise."""
