"""The decision module's interface: settings, events (what it is told) and actions (what it asks for).

Typed messages in and out of a pure state machine; nothing here decides anything. Names that end in `_us` are
integer microseconds; moments are on the instance's monotonic clock. Units measure the work of a request.

Enum values are fixed: counters and histories show them.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


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
    late_value_share: float  # part of the priority weight that a later answer still earns
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
    may_probe: bool
    honors_retry_after: bool  # clients do
    max_retry_after_us: int
    warmup_initial_share: float  # of the usual load that a backend bears when it starts; grows to 1
    warmup_us: int  # until a backend that has started counts as warm
    warmup_units: float  # that a warming backend always bears from all instances in an overload window
    overload_multiple: float  # of the usual load in an overload window, beyond which a backend fails
    overload_window_us: int
    ordered_key_rest_us: int  # before the next request of a key, after an attempt that may still run
    retry_budget_ratio: float  # attempts beyond the first that an arrival earns
    retry_budget_floor: float  # free ones in each window, for all instances
    retry_budget_window_us: int  # 0: no budget
    over_quota_value_share: float  # part of the priority weight of what goes beyond a volume's reserve
    idle_value_share: float
    max_units: float  # of one request
    cells: int = 0  # how many there are; 0: unknown
    may_message_peers: bool = False  # instances may send each other short messages
    process_share: float = 1.0  # of the instance's quotas: less while another process of it is at work too


@dataclass(slots=True, frozen=True)
class Endpoint:
    """A backend process in the endpoint list."""

    node: str  # name of the backend
    cell: int  # which part of the data it serves
    zone: str
    state: EndpointState
    started_us: int = 0  # 0: long ago
    size: float = 1.0  # relative capacity
    admin_disabled: bool = False  # an operator has disabled it: it stays away until enabled


LIST_CALLS = "list-calls"
"""Budget of all instances, by its name in `QuotaShares.budget_shares`: calls for the endpoint list."""

RESENDS = "resends"
"""Budget of all instances: the free part of the attempts beyond a request's first."""


def warmup_budget(node: str) -> str:
    """Return the name of a budget of all instances: units that a backend bears while it warms up."""
    return f"cold:{node}"


def concurrency_budget(node: str) -> str:
    """Return the name of a budget of all instances: attempts in flight at a backend. Its share is a count."""
    return f"places:{node}"


# Events


@dataclass(slots=True, frozen=True)
class NewSettings:
    """The settings have changed; requests that have arrived go on as they were taken."""

    settings: Settings


@dataclass(slots=True, frozen=True)
class EndpointListUpdate:
    """The endpoint list or changes of it have come, or a call for it has failed: the old list stands."""

    entries: tuple[Endpoint, ...] = ()
    whole: bool = False  # the entries are the list; otherwise changes of it
    failed: bool = False  # a call or the watch broke
    queued: bool = False  # failed: rejected after it had waited; discovery gets more calls than it can answer
    unheard_us: int = 0  # failed: for how long before it changes may have been missed
    at_start: bool = False  # the first of this instance: the list that it had cached


@dataclass(slots=True, frozen=True)
class Arrival:
    """A client's request has arrived."""

    request: str  # the instance's name for it, in later events and in actions
    cls: str  # name of its class
    plan: str  # name of its volume's plan
    volume: str
    key: str  # what it is about; "": nothing that has an order
    units: float
    cell: int  # -1: a new object, free to go anywhere
    until_us: int  # the client's deadline
    volume_hosts: int  # how many instances the volume's requests come through
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
    node: str
    outcome: Outcome
    took_us: int
    answered: bool  # the client has its answer, by this attempt or before
    usage: int = 0  # 1 + percent of the plan's rate that the volume got at all backends; 0: unknown
    report: dict[str, float] = field(default_factory=dict)  # the backend's load report


@dataclass(slots=True, frozen=True)
class ClientLeft:
    """The client waits for no answer any more."""

    request: str


@dataclass(slots=True, frozen=True)
class TimerFired:
    """The time of a WakeAfter action has come."""

    token: str


@dataclass(slots=True, frozen=True)
class ProbeResult:
    """A health check asked for by a Probe action has ended."""

    node: str
    outcome: Outcome
    took_us: int
    report: dict[str, float] = field(default_factory=dict)  # the backend's load report


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A message from another instance, as it came: nothing of it is checked."""

    sender: int
    payload: bytes


@dataclass(slots=True, frozen=True)
class QuotaShares:
    """The instance's shares of what instances divide, from now on."""

    quota_shares: dict[str, float]
    """By volume, the part of its plan's limit and reserve; a volume not named keeps the one it has."""

    budget_shares: dict[str, float] | None = None
    """By name, the share of each budget of all instances as a multiple of the even one. All of them: one that
    is not named is 1. None: as they were."""


@dataclass(slots=True, frozen=True)
class PeerSuspicions:
    """The backends that other instances suspect and this one has no newer answer from.

    All of them: one that was named and is not any more is as good as its own answers.
    """

    suspected_until: dict[str, int]  # by backend, until which moment the suspicion counts


Event = (
    NewSettings
    | EndpointListUpdate
    | Arrival
    | StreamStarted
    | Result
    | ClientLeft
    | TimerFired
    | ProbeResult
    | PeerMessage
    | QuotaShares
    | PeerSuspicions
)


# Actions


@dataclass(slots=True, frozen=True)
class Send:
    """Start an attempt of the request at a backend."""

    request: str
    node: str
    until_us: int = 0  # give the attempt up then; 0: at the client's deadline


@dataclass(slots=True, frozen=True)
class Reject:
    """Give the final answer: rejected, and a retry does no harm."""

    request: str
    retry_after_us: int = 0  # 0: the client may retry at once


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
class Probe:
    """Check a backend's health."""

    node: str


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
    to: int = -1  # number of the instance; -1: all others


Action = Send | Reject | Fail | Cancel | Probe | Subscribe | WakeAfter | Log | SendPeerMessage
