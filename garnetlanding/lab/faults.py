"""The faults that an experiment injects: their kinds, as experiment files and histories name them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class FaultKind(Enum):
    """What happens; the value is the word of experiment files and of histories.

    The order is that in which an error message lists them.
    """

    # Of an instance's process. Until its end: started again, resumed, started again.
    KILL = "kill"
    STOP = "stop"
    TERMINATE = "term"
    # Of the datagrams between two instances.
    PARTITION = "cut"
    LOSS = "loss"
    DELAY = "delay"
    DUPLICATE = "double"
    REORDER = "reorder"
    FLOOD = "flood"
    # Of a backend: takes requests and answers none; refuses connections; the same, and comes back cold, as
    # the endpoint list then says.
    UNRESPONSIVE = "silent"
    DOWN = "down"
    RESTART = "restart"
    # An operator's call at one instance, at one time.
    DISABLE = "disable"
    ENABLE = "enable"
    DRAIN = "drain"
    RESUME = "resume"
    FENCE = "shut-out"
    UNFENCE = "let-in"
    # An instance sends false peer messages.
    BYZANTINE = "lie"
    # A successor process starts; at the fault's end the predecessor is told to end.
    UPGRADE = "upgrade"
    # SIGHUP: alone; with another discovery in the configuration; with another weight in it.
    RELOAD = "reload"
    MOVE_DISCOVERY = "move"
    CHANGE_SETTINGS = "settings"
    # Of connections: late, in small pieces, held up, torn down.
    LAG = "lag"
    TRICKLE = "trickle"
    FREEZE = "freeze"
    RESET = "reset"
    # An instance starts only then; starts under another's number; ends for good.
    JOIN = "join"
    DUPLICATE_IDENTITY = "twin"
    LEAVE = "leave"
    # A running instance's wall clock steps.
    CLOCK_STEP = "clock"


PROCESS_FAULTS = frozenset({FaultKind.KILL, FaultKind.STOP, FaultKind.TERMINATE})
NETWORK_FAULTS = frozenset(
    {
        FaultKind.PARTITION,
        FaultKind.LOSS,
        FaultKind.DELAY,
        FaultKind.DUPLICATE,
        FaultKind.REORDER,
        FaultKind.FLOOD,
    }
)
BACKEND_FAULTS = frozenset({FaultKind.UNRESPONSIVE, FaultKind.DOWN, FaultKind.RESTART})
PEER_CALLS = frozenset({FaultKind.FENCE, FaultKind.UNFENCE})
BACKEND_CALLS = frozenset({FaultKind.DISABLE, FaultKind.ENABLE})
OPERATOR_CALLS = PEER_CALLS | BACKEND_CALLS | {FaultKind.DRAIN, FaultKind.RESUME}
RELOADS = frozenset({FaultKind.RELOAD, FaultKind.MOVE_DISCOVERY, FaultKind.CHANGE_SETTINGS})
STREAM_FAULTS = frozenset({FaultKind.LAG, FaultKind.TRICKLE, FaultKind.FREEZE, FaultKind.RESET})
LATE_STARTS = frozenset({FaultKind.JOIN, FaultKind.DUPLICATE_IDENTITY})
MEMBERSHIP_CHANGES = LATE_STARTS | {FaultKind.LEAVE}
INSTANTANEOUS = OPERATOR_CALLS | RELOADS | MEMBERSHIP_CHANGES | {FaultKind.CLOCK_STEP}
"""Kinds that have a start and no end."""
INSTANCE_FAULTS = PROCESS_FAULTS | INSTANTANEOUS | {FaultKind.BYZANTINE, FaultKind.UPGRADE}
"""Kinds that concern one instance."""


class LinkKind(Enum):
    """Which of an instance's connections a stream fault strikes; the value is the file's word."""

    BACKEND = "brick"
    DISCOVERY = "discovery"
    CLIENT = "client"
    STORE = "store"


class ByzantineBehaviour(Enum):
    """What an instance's false messages claim; the value is the file's word."""

    ALL_BACKENDS_UNREACHABLE = "dead"
    ALL_BACKENDS_HEALTHY = "well"
    CLAIMS_EVERY_QUOTA = "greedy"


class ProcessEnd(Enum):
    """How the predecessor of an upgrade is told to end; the value is the file's word."""

    KILL = "kill"
    STOP = "stop"
    TERMINATE = "term"


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault, from `start_us` up to `end_us`, in microseconds after the clients begin.

    `instance`, `backend`, `sender` and `receiver` are None where the fault concerns all of them, or none.
    """

    kind: FaultKind
    start_us: int
    end_us: int
    instance: int | None = None
    backend: int | None = None
    peer: int | None = None  # that an operator's call at `instance` is about
    link: LinkKind | None = None  # of a stream fault
    predecessor_end: ProcessEnd = ProcessEnd.TERMINATE  # of an upgrade
    behaviour: ByzantineBehaviour = ByzantineBehaviour.ALL_BACKENDS_UNREACHABLE
    wall_offset_s: int = 0  # of a clock step, or of an instance that is started again
    claimed_instance: int | None = None  # the number under which a duplicate identity starts
    at_successor: bool = False  # an operator's call goes to the second process of an upgrade
    sender: int | None = None
    receiver: int | None = None
    probability: float = 1.0  # that a network fault strikes a datagram
    weight: float = 1.0  # of the plan, in changed settings
    span_us: int = 0  # a delay; of a duplicate, how long after the first copy it comes

    def is_active(self, now_us: int) -> bool:
        """Return whether that time lies within the fault's."""
        return self.start_us <= now_us < self.end_us

    def applies_to(self, sender: int, receiver: int, now_us: int) -> bool:
        """Return whether a datagram on that link may be struck at that time."""
        return self.is_active(now_us) and self.sender in (None, sender) and self.receiver in (None, receiver)

    @property
    def recorded_subject(self) -> int:
        """The number that histories name this fault's subject by: -1 for all, and for links between peers."""
        subject = self.backend if self.kind in BACKEND_FAULTS else self.instance
        return -1 if subject is None else subject
