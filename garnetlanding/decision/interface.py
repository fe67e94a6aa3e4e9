"""The decision module's interface: settings, events (its input) and actions (its output).

The module is a pure state machine with typed messages; nothing in this file decides anything. Fields whose
names end in `_us` are integer microseconds; points in time are on the instance's monotonic clock. Units
measure the work that a request causes.

Enum values are fixed: metrics and histories contain them.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Final


class Effect(Enum):
    """What the repetition of a request does, by its class."""

    SAFE = "safe"
    """A repetition is harmless."""

    KEYED = "keyed"
    """Requests carry an idempotency key: within a scope and for some time, backends drop repetitions."""

    UNSAFE = "unsafe"
    """A repetition may take effect again: a request is retried only if it is known never to have run."""


class DeduplicationScope(Enum):
    """Which backends drop a repetition of a request with an idempotency key."""

    ALL = "all"
    """All backends."""

    ZONE = "zone"
    """Backends in the zone of the first one."""

    CELL = "cell"
    """Backends that serve the same cell."""


class Outcome(Enum):
    """How an attempt ended. FULL, UNREACHABLE and NEVER_DISPATCHED prove that it never ran."""

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
    """The connection broke before the response was complete; the backend may still be executing."""

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
    """It completes the requests it has and accepts no new ones."""

    GONE = "gone"
    """It has terminated; appears only in changes of the list."""


@dataclass(slots=True, frozen=True)
class ClassSpec:
    """A traffic class: the value of its requests, their latency objective, and the effect of a repetition."""

    name: str
    priority_weight: float  # per unit served within the latency objective
    late_value_fraction: float  # of the priority weight, for a response after the latency objective
    latency_objective_us: int
    deadline_us: int  # default time that a client waits
    effect: Effect
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL  # with Effect.KEYED
    deduplication_window_us: int = 0  # how long backends remember a request; with Effect.KEYED
    in_order: bool = False  # requests with the same key are executed one after another


@dataclass(slots=True, frozen=True)
class PlanSpec:
    """The plan of a tenant. Rates are units per second, for each volume, over all instances."""

    name: str
    weight: float  # in the fair queues
    usual_rate: float
    reserve_rate: float
    limit_rate: float = 0.0  # 0: no limit
    limit_burst: float = 0.0  # units at once; 0: no limit
    price: float = 1.0  # factor on the class's priority weight


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of one instance, from the platform and the operator."""

    instances: int  # number of instances of the load balancer
    instance_id: int  # number of this instance, from 0
    tick_us: int  # resolution of the clock
    classes: dict[str, ClassSpec]
    plans: dict[str, PlanSpec]
    poll_endpoints: bool  # the endpoint list has to be polled; otherwise it is pushed
    max_attempts: int  # per request
    parallel_attempts: bool  # two attempts of a request may be in flight at once
    may_cancel: bool
    may_check_health: bool
    honors_retry_after: bool  # clients wait as long as a rejection tells them
    max_retry_after_us: int
    warmup_initial_fraction: float  # of the usual load, which a backend can serve at its start; grows to 1
    warmup_us: int  # from a backend's start until it counts as warm
    warmup_units: float  # that a warming backend can always serve in an overload window, for all instances
    overload_multiple: float  # of the usual load in an overload window, beyond which a backend fails
    overload_window_us: int
    ordered_key_rest_us: int  # pause of a key after an attempt that may still be executing
    retry_budget_ratio: float  # retries that one arrival earns
    retry_budget_floor: float  # free retries in each window, for all instances
    retry_budget_window_us: int  # 0: no budget
    over_quota_value_fraction: float  # of the priority weight, for requests beyond a volume's reserve
    idle_value_fraction: float
    max_units: float  # of one request
    cells: int = 0  # number of cells; 0: unknown
    may_message_peers: bool = False  # instances may send each other short messages
    process_quota: float = 1.0  # this process's fraction of the instance's quotas; below 1 during an upgrade


UNKNOWN_CELL: Final = -1
"""Cell of a backend whose entry in the endpoint list does not name one."""


@dataclass(slots=True, frozen=True)
class Endpoint:
    """A backend process in the endpoint list."""

    backend: str  # its name
    cell: int  # the part of the data that it serves
    zone: str
    state: EndpointState
    started_us: int = 0  # 0: long ago
    size: float = 1.0  # relative capacity
    admin_disabled: bool = False  # disabled by an operator until it is enabled again


ENDPOINT_POLLS = "list-calls"
"""Name of the budget for polls of the endpoint list, which all instances share."""

RETRIES = "resends"
"""Name of the budget for free retries, which all instances share."""


def warmup_budget(backend: str) -> str:
    """Return the name of the budget, shared by all instances, of units sent to a backend that warms up."""
    return f"cold:{backend}"


def concurrency_budget(backend: str) -> str:
    """Return the name of the budget, shared by all instances, of attempts in flight at a backend.

    Unlike that of other budgets, its quota is a number of attempts and not a multiple of an even quota.
    """
    return f"places:{backend}"


# Events


@dataclass(slots=True, frozen=True)
class NewSettings:
    """The settings have changed. Requests that arrived before keep the settings of their arrival."""

    settings: Settings


@dataclass(slots=True, frozen=True)
class EndpointListUpdate:
    """The endpoint list, or changes of it, have been received."""

    entries: tuple[Endpoint, ...] = ()
    complete: bool = False  # the entries are the whole list; otherwise changes of it
    at_start: bool = False  # the first update of this instance, from its cached endpoint list


class FailureKind(Enum):
    """Why the endpoint list could not be updated."""

    ERROR = "error"
    """A poll failed, or the watch broke off."""

    OVERLOADED = "overloaded"
    """A poll was rejected after it had waited in a queue: discovery gets more polls than it can answer."""


@dataclass(slots=True, frozen=True)
class EndpointListFailure:
    """A poll or the watch of the endpoint list has failed; the last list received stays in force."""

    kind: FailureKind = FailureKind.ERROR
    missed_updates_for_us: int = 0  # how long before the failure changes may have been missed


@dataclass(slots=True, frozen=True)
class Arrival:
    """A client's request has arrived."""

    request: str  # its identifier in later events and in actions
    request_class: str  # name of its class
    plan: str  # name of its volume's plan
    volume: str
    key: str  # the object it concerns; "": none that needs an order
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
    """The client no longer waits for the answer."""

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
    """The quotas of this instance, of what all instances share, have changed."""

    volume_quotas: dict[str, float]
    """By volume, the fraction of its plan's limit and reserve; a volume not named keeps its quota."""

    budget_quotas: dict[str, float] | None = None
    """By budget, the quota as a multiple of an even one; a budget not named has 1. None: unchanged."""


@dataclass(slots=True, frozen=True)
class PeerSuspicions:
    """The set of backends that other instances suspect has changed; a backend not named is not suspected.

    Backends from which this instance has a more recent response are left out.
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
    """Answer the request finally as rejected: a retry by the client is harmless."""

    request: str
    retry_after_us: int | None = None  # None: the client may retry at once


@dataclass(slots=True, frozen=True)
class Fail:
    """Answer the request finally as failed: it may have taken effect."""

    request: str


@dataclass(slots=True, frozen=True)
class Cancel:
    """Cancel an attempt that is in flight; its Result event follows all the same."""

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
    """Set a timer that delivers a TimerFired event with the token; several may be pending at once."""

    span_us: int
    token: str


@dataclass(slots=True, frozen=True)
class Log:
    """Write a line to the log."""

    text: str


@dataclass(slots=True, frozen=True)
class SendPeerMessage:
    """Send a short message to another instance, or to all; it may be delayed or lost."""

    payload: bytes
    recipient: int | None = None  # number of the instance; None: all others


Action = Send | Reject | Fail | Cancel | HealthCheck | Subscribe | WakeAfter | Log | SendPeerMessage
