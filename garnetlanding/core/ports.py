"""What the core and its surroundings ask of each other. No bytes, no sockets."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from garnetlanding.decision import interface as api
from garnetlanding.decision.interface import Endpoint, Outcome


@dataclass(frozen=True, slots=True)
class RequestSpec:
    """One request as a front read it; `work` is for the backend alone."""

    cls: str
    plan: str
    volume: str
    key: str
    units: float
    cell: int  # -1: a new object
    timeout_us: int  # how long the client waits from now on
    volume_hosts: int
    work: Any
    is_retry: bool = False
    is_write: bool = False
    held_bytes: int = 0  # bytes held while it is open
    allow_hedging: bool = True  # a second attempt may be out beside the first, where the settings allow it


class InvalidRequestError(ValueError):
    """A request that can never be taken; the text says why."""


@dataclass(frozen=True, slots=True)
class Served:
    value: Any


@dataclass(frozen=True, slots=True)
class Rejected:
    """Trying again is harmless; after hold_off_us, if that is not 0."""

    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Failed:
    reason: str


Answer = Served | Rejected | Failed
ResponseCallback = Callable[[Answer], None]


@dataclass(frozen=True, slots=True)
class EndpointListing:
    """The server list or its changes; `addresses` tells where each server named listens."""

    entries: tuple[Endpoint, ...]
    addresses: dict[str, str]
    complete: bool
    at_start: bool = False


class DecisionModule(Protocol):
    """The decision module, or what stands around it."""

    @property
    def settings(self) -> api.Settings: ...

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]: ...


class AttemptHandle(Protocol):
    """One attempt, as a backend sees it."""

    @property
    def node(self) -> str: ...

    @property
    def work(self) -> Any: ...

    @property
    def until_us(self) -> int: ...

    def address(self) -> str | None:
        """Where the server listens; None: it may not be sent anything (any more)."""

    def request_written(self) -> None:
        """Its last byte is with the kernel; later calls change nothing."""

    def response_started(self) -> None:
        """The first byte of the server's answer has come; later calls change nothing."""

    def finish(
        self, outcome: Outcome, value: Any = None, used: int = 0, report: dict[str, float] | None = None
    ) -> None:
        """The one end of the attempt; later calls change nothing."""


class Backend(Protocol):
    """Carries attempts to servers over one protocol."""

    def start(self, attempt: AttemptHandle) -> None: ...

    def stop(self, attempt: AttemptHandle) -> None:
        """On return the attempt is off: the server no longer owes it anything."""


class Subscriptions(Protocol):
    """The directory's side that can be asked to follow the list."""

    def subscribe(self) -> None: ...


class Timer(Protocol):
    def cancel(self) -> None: ...


class Timers(Protocol):
    @property
    def now(self) -> int: ...

    def call_at(self, due: int, call: Callable[[], None]) -> Timer: ...


class Observer(Protocol):
    """Told of what has ended; must return at once."""

    def request_ended(
        self,
        ask: RequestSpec,
        answer: Answer,
        began_us: int,
        ended_us: int,
        attempts: list[tuple[str, str, int, int]],
    ) -> None: ...
