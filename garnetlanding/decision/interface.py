"""What the decision module is told and what it may ask for: settings, events, actions.

Times are integer microseconds on the host's monotonic clock. Nothing here decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """What repeating a request of a class does."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class DeduplicationScope(Enum):
    """Which nodes drop a repeat of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How one attempt ended. FULL, UNREACHABLE and NEVER_DISPATCHED prove that it never ran."""

    SERVED = "served"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"
    RESET = "reset"
    CANCELLED = "cancelled"
    NEVER_DISPATCHED = "moot"


class EndpointState(Enum):
    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(slots=True, frozen=True)
class ClassSpec:
    name: str
    priority_weight: float
    late_value_share: float  # share of the worth that an answer after the aim still earns
    latency_objective_us: int
    deadline_us: int
    effect: Effect
    group: DeduplicationScope = DeduplicationScope.ALL
    window_us: int = 0  # how long a group remembers a keyed request
    in_order: bool = False


@dataclass(slots=True, frozen=True)
class PlanSpec:
    name: str
    weight: float
    usual_rate: float  # units a second, per volume, over all hosts
    reserve_rate: float
    limit_rate: float = 0.0  # 0: no limit
    limit_burst: float = 0.0
    price: float = 1.0


@dataclass(slots=True, frozen=True)
class Settings:
    instances: int
    instance_id: int
    tick_us: int
    classes: dict[str, ClassSpec]
    plans: dict[str, PlanSpec]
    poll_endpoints: bool
    max_attempts: int
    parallel_attempts: bool
    may_cancel: bool
    may_probe: bool
    honors_retry_after: bool
    max_retry_after_us: int
    warmup_initial_share: float
    warmup_us: int
    warmup_units: float  # units a cold node always bears from all hosts within fall_us
    overload_multiple: float
    overload_window_us: int
    ordered_key_rest_us: int
    retry_budget_ratio: float  # further attempts earned by a request taken; 0 with span 0: no budget
    retry_budget_floor: float
    retry_budget_window_us: int  # 0: no budget
    over_quota_value_share: float
    idle_value_share: float
    max_units: float
    cells: int = 0  # how many there are; 0: not told
    may_message_peers: bool = False  # hosts may send each other short messages
    process_share: float = 1.0  # of what is this host's: less while another process of it is at work too


@dataclass(slots=True, frozen=True)
class Endpoint:
    node: str
    cell: int
    zone: str
    state: EndpointState
    started_us: int = 0  # 0: long ago
    size: float = 1.0
    admin_disabled: bool = False  # an operator has taken it out: it stays away until put back


# Budgets that all hosts have in common, by name: `QuotaShares.shares`

LIST_CALLS, RESENDS = "list-calls", "resends"


def warmup_budget(node: str) -> str:
    """The units that a node which has just started bears from all hosts."""
    return f"cold:{node}"


def concurrency_budget(node: str) -> str:
    """Attempts at that node at once: told as their number."""
    return f"places:{node}"


# Events


@dataclass(slots=True, frozen=True)
class NewSettings:
    """The operator's settings have changed; what was taken before goes on as it was taken."""

    settings: Settings


@dataclass(slots=True, frozen=True)
class EndpointListUpdate:
    """The list or its changes; failed: a call or the subscription broke, the old list stands. queued: the
    call was turned down after it had waited its turn: discovery has more calls than it can answer.
    unheard_us: for so long before the failure discovery may have had something that could not be heard."""

    entries: tuple[Endpoint, ...] = ()
    whole: bool = False
    failed: bool = False
    queued: bool = False
    unheard_us: int = 0
    at_start: bool = False


@dataclass(slots=True, frozen=True)
class Arrival:
    request: str
    cls: str
    plan: str
    volume: str
    key: str
    units: float
    cell: int  # -1: a new object, free to go anywhere
    until_us: int  # the client gives up then
    volume_hosts: int
    is_retry: bool = False
    is_write: bool = False


@dataclass(slots=True, frozen=True)
class StreamStarted:
    request: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Result:
    request: str
    attempt: int
    node: str
    outcome: Outcome
    took_us: int
    over: bool  # the client has its answer, now or before
    used: int = 0  # 1 + percent of the plan's rate the volume got everywhere; 0: not told
    report: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class ClientLeft:
    request: str


@dataclass(slots=True, frozen=True)
class TimerFired:
    token: str


@dataclass(slots=True, frozen=True)
class ProbeResult:
    node: str
    outcome: Outcome
    took_us: int
    report: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class PeerMessage:
    sender: int
    payload: bytes


@dataclass(slots=True, frozen=True)
class QuotaShares:
    """What part of its plan's limit and reserve a volume has at this host, from now on; one not named has
    1 / its hosts. `shares`: of each budget of all hosts, this one's as a multiple of 1 / hosts; all of them,
    one not named is 1; None: as they were."""

    parts: dict[str, float]
    shares: dict[str, float] | None = None


@dataclass(slots=True, frozen=True)
class PeerSuspicions:
    """The nodes that other hosts have seen in trouble and this one has not heard since, each until when that
    may be believed. All of them: one that was named and is not any more is as good as its own answers."""

    suspected_until: dict[str, int]


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
    request: str
    node: str
    until_us: int = 0  # give the attempt up then; 0: when the client does


@dataclass(slots=True, frozen=True)
class Reject:
    """Final: a retry does no harm."""

    request: str
    retry_after_us: int = 0


@dataclass(slots=True, frozen=True)
class Fail:
    """Final: nothing is promised about what ran."""

    request: str


@dataclass(slots=True, frozen=True)
class Cancel:
    request: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Probe:
    node: str


@dataclass(slots=True, frozen=True)
class Subscribe:
    pass


@dataclass(slots=True, frozen=True)
class WakeAfter:
    span_us: int
    token: str


@dataclass(slots=True, frozen=True)
class Log:
    text: str


@dataclass(slots=True, frozen=True)
class SendPeerMessage:
    """A short message to one other host, or (-1) to all of them; it may be late or lost."""

    payload: bytes
    to: int = -1


Action = Send | Reject | Fail | Cancel | Probe | Subscribe | WakeAfter | Log | SendPeerMessage
