"""The payload of an audit record: the one place where its stored keys and values are named.

A record is a JSON object (docs/design/audit.md). Every record has `kind` and `wall`, the writer's wall
clock in milliseconds; the keys of the other kinds are those of the builders below. The keys are a stored
format: they never follow the names that the code uses for the same things.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, NamedTuple

Payload = dict[str, Any]

SETTINGS = "settings"
"""Component whose versions are `EPOCH.REVISION#DIGEST`."""
FENCED = "out"
"""Component whose version says why the instance is fenced, and is empty while it is not."""
FENCED_BY_OPERATOR = "shut out"
"""Version of `FENCED` where an operator fenced the instance; otherwise it could not show to be current."""


class RecordKind(StrEnum):
    """What a record says, with the word stored for it."""

    START = "start"
    CHANGE = "change"
    CHECKPOINT = "checkpoint"
    REJECTED = "refused"
    END = "end"
    DROPPED = "dropped"


class Incarnation(NamedTuple):
    """One run of the program under an instance's name. A later run has a greater number."""

    instance: str
    number: int


class SegmentPosition(NamedTuple):
    """The place of a segment among all those of its instance."""

    incarnation: int
    segment: int


@dataclass(frozen=True, slots=True)
class MessageId:
    """A message between instances: the sender's number, its incarnation, and the message's own number."""

    sender: int
    incarnation: int
    number: int


@dataclass(frozen=True, slots=True)
class InstanceState:
    """What each record says of its instance beside the versions."""

    number: int
    """The instance's number in the fleet."""
    requests_taken: int
    """Requests accepted since the process started."""
    requests_answered: int
    """Requests answered since the process started."""
    last_sent: int
    """Number of the last message sent to peers; 0 where none was sent."""
    last_received: MessageId | None
    """The last peer message processed."""


def encode_message_id(message: MessageId | None) -> list[int]:
    """Return the stored form: sender, incarnation and number, or an empty list."""
    if message is None:
        return []
    return [message.sender, message.incarnation, message.number]


def decode_message_id(stored: Sequence[int]) -> MessageId | None:
    """Return the message that a record names, if it names one."""
    if len(stored) != 3:
        return None
    return MessageId(*stored)


def start_record(now: int, previous: int, previous_end: str, checkpoint_us: int) -> Payload:
    """Return the first record of an incarnation.

    `now` is monotonic time in microseconds. `previous` is the number of the incarnation before this one (0:
    no files of one were found), and `previous_end` says what is wrong with the end of its files, if anything.
    """
    return {
        "kind": RecordKind.START.value,
        "t": now,
        "follows": previous,
        "torn": previous_end,
        "checkpoint_us": checkpoint_us,
    }


def dropped_record(last: SegmentPosition) -> Payload:
    """Return the record of old segments having been deleted, up to and including `last`."""
    return {"kind": RecordKind.DROPPED.value, "up_to": [last.incarnation, last.segment]}


def state_record(kind: RecordKind, now: int, versions: Mapping[str, str], state: InstanceState) -> Payload:
    """Return what every record of a running instance says; `now` is monotonic time in microseconds."""
    return {
        "kind": kind.value,
        "t": now,
        "vector": versions,
        "taken": state.requests_taken,
        "answered": state.requests_answered,
        "me": state.number,
        "said": state.last_sent,
    }


def observation_fields(changed: Sequence[str], last_received: MessageId | None) -> Payload:
    """Return what change and checkpoint records say beside their state."""
    return {"changed": list(changed), "heard": encode_message_id(last_received)}


def rejection_fields(component: str, reason: str) -> Payload:
    """Return what the record of a rejected change says beside its state."""
    return {"component": component, "why": reason}


class RecordView:
    """A stored record, read by the code's names.

    Keys are looked up when they are asked for: the kinds have different ones, and a reader asks only for
    those of the kind at hand. A missing key raises `KeyError`.
    """

    __slots__ = ("_payload",)

    def __init__(self, payload: Payload) -> None:
        self._payload = payload

    @property
    def kind(self) -> str:
        """One of `RecordKind`, or the word of a kind that this version does not know."""
        return str(self._payload["kind"])

    @property
    def wall_ms(self) -> int:
        """Wall clock of the writer, milliseconds since 1970."""
        return int(self._payload["wall"])

    @property
    def monotonic_us(self) -> int:
        """Monotonic clock of the writer's machine, microseconds."""
        return int(self._payload["t"])

    @property
    def versions(self) -> dict[str, str]:
        """The version in force of each component."""
        return dict(self._payload["vector"])

    @property
    def changed(self) -> list[str]:
        """Components whose version differs from the record before."""
        return list(self._payload["changed"])

    @property
    def state(self) -> InstanceState:
        """State of the instance at a change. `requests_answered` is not read back and is 0."""
        return InstanceState(
            number=self._payload["me"],
            requests_taken=self._payload["taken"],
            requests_answered=0,
            last_sent=self._payload["said"],
            last_received=decode_message_id(self._payload["heard"]),
        )

    @property
    def requests_taken(self) -> int:
        """Requests accepted since the process started."""
        return int(self._payload["taken"])

    @property
    def rejected_component(self) -> str:
        """Component of a rejected change."""
        return str(self._payload["component"])

    @property
    def rejection_reason(self) -> str:
        """Why a change was rejected."""
        return str(self._payload["why"])

    @property
    def previous_incarnation(self) -> int:
        """Incarnation before the one that starts here; 0: none had left files."""
        return int(self._payload["follows"])

    @property
    def checkpoint_us(self) -> int:
        """Interval between checkpoints from here on, microseconds."""
        return int(self._payload["checkpoint_us"])

    @property
    def dropped_up_to(self) -> SegmentPosition:
        """The last segment deleted."""
        stored = self._payload["up_to"]
        return SegmentPosition(stored[0], stored[1])
