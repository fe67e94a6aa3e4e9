"""The decision module's interface: settings, events (what it is told) and actions (what it asks for).

Typed messages in and out of a pure state machine; nothing here decides anything. Names that end in `_us` are
integer microseconds; moments are on the instance's monotonic clock. Units measure the work of a request.

Enum values are fixed: counters and histories show them.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Final


class Effect(Enum):
    """What repeating a request of a class does."""

    SAFE = "safe"
    """A repeat does no harm."""

    KEYED = "keyed"
    """Requests carry an idempotency key: backends in a scope drop a repeat for a while."""

    UNSAFE = "unsafe"
    """A repeat may have an effect of its own: only what is known never to have run is sent again."""


class DeduplicationScope(Enum):
    """Which backends drop a repeat of a request with an idempotency key."""

    ALL = "all"
    """All backends."""

    ZONE = "zone"
    """Backends in the zone of the first one."""

    CELL = "cell"
    """Backends that serve the same cell."""


class Outcome(Enum):
    """How one attempt ended. FULL, UNREACHABLE and NEVER_DISPATCHED prove that it never ran."""

    SERVED = "served"
    """The backend has served the request."""

    ERROR = "error"
    """The backend has answered with an error."""

    FULL = "full"
    """The backend has rejected the request: it has no capacity."""

    TIMEOUT = "timeout"
    """No answer came in time; the backend may still be at work."""

    UNREACHABLE = "unreachable"
    """No connection could be made, or none that took the whole request."""

    RESET = "reset"
    """The connection broke before the answer was complete; the backend may still be at work."""

    CANCELLED = "cancelled"
    """The attempt was cancelled; the backend may still be at work."""

    NEVER_DISPATCHED = "moot"
    """The attempt ended before anything was sent."""


NEVER_RAN = (Outcome.FULL, Outcome.UNREACHABLE, Outcome.NEVER_DISPATCHED)
"""Outcomes which prove that the attempt had no effect."""


class EndpointState(Enum):
    """The state of a backend process in the endpoint list."""

    UP = "up"
    """It takes requests."""

    DRAINING = "draining"
    """It finishes what it has and takes no new requests."""

    GONE = "gone"
    """It has terminated; listed only in changes."""


@dataclass(slots=True, frozen=True)
class ClassSpec:
    """A traffic class: what a request of it is worth, by when, and what a repeat of it does."""

    name: str
    priority_weight: float  # per unit served within the latency objective
    late_value_fraction: float  # part of the priority weight that a later answer still earns
    latency_objective_us: int
    deadline_us: int  # the client's time unless it says otherwise
    effect: Effect
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL  # with Effect.KEYED
    deduplication_window_us: int = 0  # how long backends remember a request; with Effect.KEYED
    in_order: bool = False  # requests with the same key go one after the other


@dataclass(slots=True, frozen=True)
class PlanSpec:
    """What a volume may use. Rates are units a second, for each volume, over all instances."""

    name: str
    weight: float  # in the fair queues
    usual_rate: float
    reserve_rate: float
    limit_rate: float = 0.0  # 0: no limit
    limit_burst: float = 0.0  # units at once; 0: no limit
    price: float = 1.0  # factor on the class's priority weight


@dataclass(slots=True, frozen=True)
class Settings:
    """All that the platform and the operator set for one instance."""

    instances: int  # of the load balancer
    instance_id: int  # this one's number, from 0
    tick_us: int  # resolution of the clock
    classes: dict[str, ClassSpec]
    plans: dict[str, PlanSpec]
    poll_endpoints: bool  # the endpoint list is asked for; otherwise it is pushed
    max_attempts: int  # for each request
    parallel_attempts: bool  # two attempts of a request may be in flight at once
    may_cancel: bool
    may_check_health: bool
    honors_retry_after: bool  # clients do
    max_retry_after_us: int
    warmup_initial_fraction: float  # of the usual load that a backend bears when it starts; grows to 1
    warmup_us: int  # until a backend that has started counts as warm
    warmup_units: float  # that a warming backend always bears from all instances in an overload window
    overload_multiple: float  # of the usual load in an overload window, beyond which a backend fails
    overload_window_us: int
    ordered_key_rest_us: int  # before the next request of a key, after an attempt that may still run
    retry_budget_ratio: float  # attempts beyond the first that an arrival earns
    retry_budget_floor: float  # free ones in each window, for all instances
    retry_budget_window_us: int  # 0: no budget
    over_quota_value_fraction: float  # part of the priority weight of what goes beyond a volume's reserve
    idle_value_fraction: float
    max_units: float  # of one request
    cells: int = 0  # how many there are; 0: unknown
    may_message_peers: bool = False  # instances may send each other short messages
    process_quota: float = 1.0  # this process's fraction of the instance's quotas; below 1 during an upgrade


UNKNOWN_CELL: Final = -1
"""Cell of a backend whose entry in the endpoint list does not name one."""


@dataclass(slots=True, frozen=True)
class Endpoint:
    """A backend process in the endpoint list."""

    backend: str  # its name
    cell: int  # which part of the data it serves
    zone: str
    state: EndpointState
    started_us: int = 0  # 0: long ago
    size: float = 1.0  # relative capacity
    admin_disabled: bool = False  # an operator has disabled it: it stays away until enabled


ENDPOINT_POLLS = "list-calls"
"""Budget of all instances, by its name in `QuotaUpdate.budget_quotas`: polls of the endpoint list."""

RETRIES = "resends"
"""Budget of all instances: the free part of the attempts beyond a request's first."""


def warmup_budget(backend: str) -> str:
    """Return the name of a budget of all instances: units that a backend bears while it warms up."""
    return f"cold:{backend}"


def concurrency_budget(backend: str) -> str:
    """Return the name of a budget of all instances: attempts in flight at a backend. Its share is a count."""
    return f"places:{backend}"


# Events


@dataclass(slots=True, frozen=True)
class NewSettings:
    """The settings have changed; requests that have arrived go on as they were taken."""

    settings: Settings


@dataclass(slots=True, frozen=True)
class EndpointListUpdate:
    """Replace the endpoint list, or apply changes to it."""

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
    """Report that a poll of the endpoint list has failed; the list in force stays valid."""

    kind: FailureKind = FailureKind.ERROR
    missed_updates_for_us: int = 0  # how long before the failure changes may have been missed


@dataclass(slots=True, frozen=True)
class Arrival:
    """A client's request has arrived."""

    request: str  # the instance's name for it, in later events and in actions
    request_class: str  # name of its class
    plan: str  # name of its volume's plan
    volume: str
    key: str  # what it is about; "": nothing that has an order
    units: float
    cell: int | None  # None: a new object, which may be placed in any cell
    deadline_us: int  # when the client stops waiting
    serving_instances: int  # how many instances the volume's requests come through
    is_retry: bool = False  # by the client
    is_write: bool = False


@dataclass(slots=True, frozen=True)
class StreamStarted:
    """The client has got the first bytes of an attempt's answer: no other attempt can replace it."""

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
    answered: bool  # the client has its answer, by this attempt or before
    usage_percent: int | None = None  # what the volume got at all backends, in percent of its plan's rate
    load_report: dict[str, float] = field(default_factory=dict)  # the backend's load report


@dataclass(slots=True, frozen=True)
class ClientLeft:
    """The client waits for no answer any more."""

    request: str


@dataclass(slots=True, frozen=True)
class TimerFired:
    """The time of a WakeAfter action has come."""

    token: str


@dataclass(slots=True, frozen=True)
class HealthCheckResult:
    """A health check requested by a HealthCheck action has ended."""

    backend: str
    outcome: Outcome
    duration_us: int
    load_report: dict[str, float] = field(default_factory=dict)  # the backend's load report


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A message from another instance, as it came: nothing of it is checked."""

    sender: int
    payload: bytes


@dataclass(slots=True, frozen=True)
class QuotaUpdate:
    """Replace this instance's quotas of what all instances share."""

    volume_quotas: dict[str, float]
    """By volume, the fraction of its plan's limit and reserve; a volume not named keeps its quota."""

    budget_quotas: dict[str, float] | None = None
    """By budget, the quota as a multiple of an even one; a budget not named has 1. None: unchanged."""


@dataclass(slots=True, frozen=True)
class PeerSuspicions:
    """The backends that other instances suspect and this one has no newer answer from.

    All of them: one that was named and is not any more is as good as its own answers.
    """

    suspected_until: dict[str, int]  # by backend, until which moment the suspicion counts


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
    deadline_us: int | None = None  # when the attempt is given up; None: at the client's deadline


@dataclass(slots=True, frozen=True)
class Reject:
    """Give the final answer: rejected, and a retry does no harm."""

    request: str
    retry_after_us: int | None = None  # None: the client may retry at once


@dataclass(slots=True, frozen=True)
class Fail:
    """Give the final answer: failed, and nothing is promised about what ran."""

    request: str


@dataclass(slots=True, frozen=True)
class Cancel:
    """Cancel an attempt that is in flight; its result comes all the same."""

    request: str
    attempt: int  # from 0, in the order of the request's Send actions


@dataclass(slots=True, frozen=True)
class HealthCheck:
    """Check a backend's health."""

    backend: str


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Call for the endpoint list, or watch it from now on."""


@dataclass(slots=True, frozen=True)
class WakeAfter:
    """Send a TimerFired event with the token after that span; several timers may be set at once."""

    span_us: int
    token: str


@dataclass(slots=True, frozen=True)
class Log:
    """Write a line to the log."""

    text: str


@dataclass(slots=True, frozen=True)
class SendPeerMessage:
    """Send a short message to another instance, or to all; it may be late or lost."""

    payload: bytes
    recipient: int | None = None  # number of the instance; None: all others


Action = Send | Reject | Fail | Cancel | HealthCheck | Subscribe | WakeAfter | Log | SendPeerMessage
