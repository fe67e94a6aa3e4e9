"""The interface of the decision module: its settings, events (the input) and actions (the output).

The module is a pure state machine with typed messages; this file contains no logic. Fields whose names end in
`_us` are integer microseconds; points in time are on the instance's monotonic clock. Units measure the work
that a request causes.

Enum values must not change, because metrics and recorded histories contain them.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Final


class Effect(Enum):
    """Idempotency of the requests of a class: the effect of executing a request again."""

    SAFE = "safe"
    """A repetition is harmless."""

    KEYED = "keyed"
    """Requests carry an idempotency key: backends drop duplicates within a scope and a time window."""

    UNSAFE = "unsafe"
    """A repetition may take effect again, so a request is retried only if it has provably not run."""


class DeduplicationScope(Enum):
    """Which backends recognize a duplicate of a request with an idempotency key."""

    ALL = "all"
    """All backends."""

    ZONE = "zone"
    """Backends in the zone of the backend that got the first attempt."""

    CELL = "cell"
    """Backends that serve the same cell."""


class Outcome(Enum):
    """How an attempt ended. FULL, UNREACHABLE and NEVER_DISPATCHED prove that it was not executed."""

    SERVED = "served"
    """The backend served the request."""

    ERROR = "error"
    """The backend returned an error."""

    FULL = "full"
    """The backend rejected the request for lack of capacity."""

    TIMEOUT = "timeout"
    """No response arrived in time; the backend may still be executing the request."""

    UNREACHABLE = "unreachable"
    """No connection could be opened, or none that accepted the whole request."""

    RESET = "reset"
    """The connection broke during the response; the backend may still be executing the request."""

    CANCELLED = "cancelled"
    """The attempt was cancelled; the backend may still be executing the request."""

    NEVER_DISPATCHED = "moot"
    """The attempt ended before anything was sent."""


NEVER_RAN = (Outcome.FULL, Outcome.UNREACHABLE, Outcome.NEVER_DISPATCHED)
"""Outcomes which prove that the attempt had no effect."""


class EndpointState(Enum):
    """The state of a backend process in the endpoint list."""

    UP = "up"
    """It accepts requests."""

    DRAINING = "draining"
    """It completes the requests that it has accepted, and accepts no new ones."""

    GONE = "gone"
    """It has terminated. This state appears only in changes of the list."""


@dataclass(slots=True, frozen=True)
class ClassSpec:
    """A request class: the value of its requests, their latency objective and their idempotency."""

    name: str
    priority_weight: float  # per unit served within the latency objective
    late_value_fraction: float  # of the priority weight; the value of a response after the latency objective
    latency_objective_us: int
    deadline_us: int  # how long clients wait by default
    effect: Effect
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL  # with Effect.KEYED
    deduplication_window_us: int = 0  # how long backends recognize duplicates; with Effect.KEYED
    in_order: bool = False  # requests with the same key are executed one at a time, in order of arrival


@dataclass(slots=True, frozen=True)
class PlanSpec:
    """The plan of a tenant. Rates are in units per second, per volume, for all instances together."""

    name: str
    weight: float  # in the fair queues
    usual_rate: float
    reserve_rate: float
    limit_rate: float = 0.0  # 0: no limit
    limit_burst: float = 0.0  # units; 0: no limit
    priority_weight_factor: float = 1.0  # factor on the class's priority weight


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of one instance, from the platform and the operator."""

    instances: int  # number of instances of the load balancer
    instance_id: int  # number of this instance, from 0
    tick_us: int  # resolution of the clock
    classes: dict[str, ClassSpec]
    plans: dict[str, PlanSpec]
    poll_endpoints: bool  # whether the endpoint list is polled; otherwise it is pushed
    max_attempts: int  # per request
    parallel_attempts: bool  # whether attempts of a request may be in flight in parallel
    may_cancel: bool
    may_check_health: bool
    honors_retry_after: bool  # whether clients wait for the Retry-After of a rejection
    max_retry_after_us: int
    warmup_initial_fraction: float  # of the usual load, that a backend can serve at its start; grows to 1
    warmup_us: int  # from a backend's start until it counts as warm
    warmup_units: float  # that a warming backend can always serve per overload window, for all instances
    overload_multiple: float  # a backend fails above this multiple of the usual load in an overload window
    overload_window_us: int
    ordered_key_pause_us: int  # pause of a key after an attempt that the backend may still be executing
    retry_budget_ratio: float  # retries that one arrival earns
    retry_budget_floor: float  # retries per window that need no arrivals, for all instances together
    retry_budget_window_us: int  # 0: no budget
    over_quota_value_fraction: float  # of the priority weight, for requests that exceed the volume's reserve
    idle_value_fraction: float  # a setting of the platform that no decision uses
    max_units: float  # of the largest request
    cells: int = 0  # number of cells; 0: unknown
    may_message_peers: bool = False  # whether instances may send each other short messages
    process_quota: float = 1.0  # this process's fraction of the instance's quotas; below 1 during an upgrade


UNKNOWN_CELL: Final = -1
"""Cell of a backend whose entry in the endpoint list does not name a cell."""


@dataclass(slots=True, frozen=True)
class Endpoint:
    """A backend process in the endpoint list."""

    backend: str  # its name
    cell: int  # the part of the data that it serves
    zone: str
    state: EndpointState
    started_us: int = 0  # 0: long ago
    size: float = 1.0  # relative capacity
    admin_disabled: bool = False  # by an operator, until it is enabled again


POLL_BUDGET = "list-calls"
"""Name of the shared budget of polls of the endpoint list."""

RETRY_BUDGET = "resends"
"""Name of the shared budget of retries that need no arrivals (`Settings.retry_budget_floor`)."""


def warmup_budget_name(backend: str) -> str:
    """Return the name of the shared budget of units sent to a backend during its warm-up."""
    return f"cold:{backend}"


def concurrency_budget_name(backend: str) -> str:
    """Return the name of the shared budget of attempts in flight at a backend.

    Its quota is a number of attempts. The quotas of all other budgets are multiples of an equal quota.
    """
    return f"places:{backend}"


# Events


@dataclass(slots=True, frozen=True)
class NewSettings:
    """The settings have changed. Earlier requests keep the settings at the time of their arrival."""

    settings: Settings


@dataclass(slots=True, frozen=True)
class EndpointListUpdate:
    """The endpoint list or changes of it have been received."""

    entries: tuple[Endpoint, ...] = ()
    complete: bool = False  # whether the entries are the whole list; otherwise they are changes of it
    at_start: bool = False  # whether it is the first update of this instance, from its cached endpoint list


class FailureKind(Enum):
    """Why the endpoint list could not be updated."""

    ERROR = "error"
    """A poll failed, or the watch was interrupted."""

    OVERLOADED = "overloaded"
    """A poll was rejected after waiting in a queue: discovery gets more polls than it can answer."""


@dataclass(slots=True, frozen=True)
class EndpointListFailure:
    """A poll or the watch of the endpoint list has failed; the last list received remains valid."""

    kind: FailureKind = FailureKind.ERROR
    missed_updates_for_us: int = 0  # for how long before the failure updates may have been missed


@dataclass(slots=True, frozen=True)
class Arrival:
    """A client's request has arrived."""

    request: str  # identifier in later events and in actions
    request_class: str  # name of the class
    plan: str  # name of the volume's plan
    volume: str
    key: str  # object to which it refers, for requests in order; "": none
    units: float
    cell: int | None  # None: a new object, which may be placed in any cell
    deadline_us: int  # when the client stops waiting
    serving_instances: int  # number of instances that receive the volume's requests
    is_retry: bool = False  # by the client
    is_write: bool = False


@dataclass(slots=True, frozen=True)
class StreamStarted:
    """The client has received the first bytes of an attempt's response: no other attempt can replace it."""

    request: str
    attempt: int  # from 0, in the order of the request's Send actions


@dataclass(slots=True, frozen=True)
class Result:
    """An attempt has ended."""

    request: str
    attempt: int  # from 0, in the order of the request's Send actions
    backend: str
    outcome: Outcome
    duration_us: int
    answered: bool  # the client has its final answer, from this attempt or an earlier one
    usage_percent: int | None = None  # volume's rate at all backends, in percent of its plan's; None: unknown
    load_report: dict[str, float] = field(default_factory=dict)  # by metric


@dataclass(slots=True, frozen=True)
class ClientLeft:
    """The client has stopped waiting for the answer."""

    request: str


@dataclass(slots=True, frozen=True)
class TimerFired:
    """The timer set by a WakeAfter action has expired."""

    token: str


@dataclass(slots=True, frozen=True)
class HealthCheckResult:
    """A health check requested by a HealthCheck action has ended."""

    backend: str
    outcome: Outcome
    duration_us: int
    load_report: dict[str, float] = field(default_factory=dict)  # by metric


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A message from another instance has been received; its contents are unchecked."""

    sender: int
    payload: bytes


@dataclass(slots=True, frozen=True)
class QuotaUpdate:
    """The quotas of this instance, of shared limits and budgets, have changed."""

    volume_quotas: dict[str, float]
    """By volume, the fraction of its plan's limit and reserve. A volume that is not named keeps its quota."""

    budget_quotas: dict[str, float] | None = None
    """By budget, the quota as a multiple of an equal quota. A budget not named has 1. None: no change."""


@dataclass(slots=True, frozen=True)
class PeerSuspicions:
    """The suspicions of other instances have changed. A backend that is not named is not suspected.

    Backends from which this instance has a more recent response are omitted.
    """

    suspected_until: dict[str, int]  # by backend, when the suspicion expires


Event = (
    NewSettings
    | EndpointListUpdate
    | EndpointListFailure
    | Arrival
    | StreamStarted
    | Result
    | ClientLeft
    | TimerFired
    | HealthCheckResult
    | PeerMessage
    | QuotaUpdate
    | PeerSuspicions
)


# Actions


@dataclass(slots=True, frozen=True)
class Send:
    """Start an attempt of the request at a backend."""

    request: str
    backend: str
    deadline_us: int | None = None  # when the attempt is abandoned; None: at the client's deadline


@dataclass(slots=True, frozen=True)
class Reject:
    """Give the final answer that the request is rejected: a retry by the client is harmless."""

    request: str
    retry_after_us: int | None = None  # None: the client may retry at once


@dataclass(slots=True, frozen=True)
class Fail:
    """Give the final answer that the request has failed: it may have taken effect."""

    request: str


@dataclass(slots=True, frozen=True)
class Cancel:
    """Cancel an attempt that is in flight. Its Result event still follows."""

    request: str
    attempt: int  # from 0, in the order of the request's Send actions


@dataclass(slots=True, frozen=True)
class HealthCheck:
    """Check a backend's health."""

    backend: str


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Poll the endpoint list, or start to watch it."""


@dataclass(slots=True, frozen=True)
class WakeAfter:
    """Set a timer that delivers a TimerFired event with the token. Several timers may be pending."""

    span_us: int
    token: str


@dataclass(slots=True, frozen=True)
class Log:
    """Write a line to the log."""

    text: str


@dataclass(slots=True, frozen=True)
class SendPeerMessage:
    """Send a short message to another instance or to all others. It may be delayed or lost."""

    payload: bytes
    recipient: int | None = None  # number of an instance; None: all others


Action = Send | Reject | Fail | Cancel | HealthCheck | Subscribe | WakeAfter | Log | SendPeerMessage
