"""The faults that an experiment injects, and their names in experiment files and histories."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class FaultKind(Enum):
    """The kind of a fault; the value is its name in experiment files and histories.

    An error message lists the kinds in this order.
    """

    # Process faults: at the end, a killed or terminated instance is restarted and a stopped one is resumed.
    KILL = "kill"
    STOP = "stop"
    TERMINATE = "term"
    # Network faults: they affect the datagrams between two instances.
    PARTITION = "cut"
    LOSS = "loss"
    DELAY = "delay"
    DUPLICATE = "double"
    REORDER = "reorder"
    FLOOD = "flood"
    # Backend faults: it accepts requests without responding; refuses connections; refuses connections and
    # then comes back cold, with a new start time in the endpoint list.
    UNRESPONSIVE = "silent"
    DOWN = "down"
    RESTART = "restart"
    # Operator calls at one instance, at one time.
    DISABLE = "disable"
    ENABLE = "enable"
    DRAIN = "drain"
    RESUME = "resume"
    FENCE = "shut-out"
    UNFENCE = "let-in"
    # An instance sends forged peer messages.
    BYZANTINE = "lie"
    # A successor process starts; at the fault's end the predecessor is told to exit.
    UPGRADE = "upgrade"
    # SIGHUP: with an unchanged configuration; with another discovery address; with another priority weight.
    RELOAD = "reload"
    MOVE_DISCOVERY = "move"
    CHANGE_SETTINGS = "settings"
    # Stream faults: data is delayed, forwarded in small pieces or held back; connections are reset.
    LAG = "lag"
    TRICKLE = "trickle"
    FREEZE = "freeze"
    RESET = "reset"
    # An instance starts late; starts late with another one's number; exits for good.
    JOIN = "join"
    DUPLICATE_IDENTITY = "twin"
    LEAVE = "leave"
    # The wall clock of a running instance steps.
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
"""Kinds that have a start time and no end time."""
INSTANCE_FAULTS = PROCESS_FAULTS | INSTANTANEOUS | {FaultKind.BYZANTINE, FaultKind.UPGRADE}
"""Kinds that target a single instance."""


class LinkKind(Enum):
    """Which of an instance's connections a stream fault affects; the value is that of experiment files."""

    BACKEND = "brick"
    DISCOVERY = "discovery"
    CLIENT = "client"
    STORE = "store"


class ByzantineBehaviour(Enum):
    """What an instance's forged messages claim; the value is that of experiment files."""

    ALL_BACKENDS_UNREACHABLE = "dead"
    ALL_BACKENDS_HEALTHY = "well"
    CLAIMS_EVERY_QUOTA = "greedy"


class ProcessEnd(Enum):
    """The signal that ends the predecessor of an upgrade; the value is that of experiment files."""

    KILL = "kill"
    STOP = "stop"
    TERMINATE = "term"


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault, active from `start_us` until `end_us`, in microseconds after the clients started.

    `instance`, `backend`, `sender` and `receiver` are None if the fault applies to all of them, or to none.
    """

    kind: FaultKind
    start_us: int
    end_us: int
    instance: int | None = None
    backend: int | None = None
    peer: int | None = None  # the subject of an operator call at `instance`
    link: LinkKind | None = None  # of a stream fault
    predecessor_end: ProcessEnd = ProcessEnd.TERMINATE  # of an upgrade
    behaviour: ByzantineBehaviour = ByzantineBehaviour.ALL_BACKENDS_UNREACHABLE
    wall_offset_s: int = 0  # of a clock step, or of a restarted instance
    claimed_instance: int | None = None  # the number under which a duplicate identity starts
    at_successor: bool = False  # an operator call goes to the successor of an upgrade
    sender: int | None = None
    receiver: int | None = None
    probability: float = 1.0  # that a network fault affects a datagram
    weight: float = 1.0  # the plan's priority weight in changed settings
    span_us: int = 0  # the delay; of a duplicate, its delay after the first copy

    def is_active(self, now_us: int) -> bool:
        """Return whether the fault is active at that time."""
        return self.start_us <= now_us < self.end_us

    def applies_to(self, sender: int, receiver: int, now_us: int) -> bool:
        """Return whether the fault may affect a datagram on that link at that time."""
        return self.is_active(now_us) and self.sender in (None, sender) and self.receiver in (None, receiver)

    @property
    def recorded_subject(self) -> int:
        """The number of the affected backend or instance in histories: -1 for all, and for peer links."""
        subject = self.backend if self.kind in BACKEND_FAULTS else self.instance
        return -1 if subject is None else subject
