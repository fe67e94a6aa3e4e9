"""Payloads of audit records: the only module that defines their stored keys and values.

A record is a JSON object (docs/design/audit.md). Every record has `kind` and `wall`, the writer's wall
clock in milliseconds; the other keys of each kind are set by the functions below. The keys are a stored
format and do not change with the names in the code.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, NamedTuple

Payload = dict[str, Any]

SETTINGS = "settings"
"""Component whose versions are `EPOCH.REVISION#DIGEST`."""
FENCE_REASON = "out"
"""Component whose version is the reason why the instance is fenced; empty while it is not fenced."""
FENCED_BY_OPERATOR = "shut out"
"""Version of `FENCE_REASON` if an operator fenced the instance; any other text: it may not be up to date."""


class RecordKind(StrEnum):
    """Kind of a record; values are stored."""

    START = "start"
    CHANGE = "change"
    CHECKPOINT = "checkpoint"
    REJECTED = "refused"
    END = "end"
    DROPPED = "dropped"


class Incarnation(NamedTuple):
    """One run of the program under an instance's name; a later run has a greater number."""

    instance: str
    number: int


class SegmentPosition(NamedTuple):
    """The position of a segment among all segments of its instance."""

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
    """State of the instance that its records contain in addition to the versions."""

    number: int
    """The instance's number in the fleet."""
    requests_accepted: int
    """Requests accepted since the process started."""
    requests_answered: int
    """Requests answered since the process started."""
    last_sent: int
    """Number of the last message sent to peers; 0 if none was sent."""
    last_received: MessageId | None
    """The last peer message processed."""


def encode_message_id(message: MessageId | None) -> list[int]:
    """Return the stored form: sender, incarnation and number, or an empty list."""
    if message is None:
        return []
    return [message.sender, message.incarnation, message.number]


def decode_message_id(stored: Sequence[int]) -> MessageId | None:
    """Return the message ID that a record contains, or `None` if it contains none."""
    if len(stored) != 3:
        return None
    return MessageId(*stored)


def start_record(now: int, previous: int, previous_tail_error: str, checkpoint_us: int) -> Payload:
    """Return the first record of an incarnation.

    `now` is monotonic time in microseconds. `previous` is the number of the incarnation before this one; 0
    means that no files of one were found. `previous_tail_error` describes the damage at the end of its files,
    or is empty.
    """
    return {
        "kind": RecordKind.START.value,
        "t": now,
        "follows": previous,
        "torn": previous_tail_error,
        "checkpoint_us": checkpoint_us,
    }


def dropped_record(last: SegmentPosition) -> Payload:
    """Return the record that old segments were deleted, up to and including `last`."""
    return {"kind": RecordKind.DROPPED.value, "up_to": [last.incarnation, last.segment]}


def state_record(kind: RecordKind, now: int, versions: Mapping[str, str], state: InstanceState) -> Payload:
    """Return the fields of every record of a running instance; `now` is monotonic time in microseconds."""
    return {
        "kind": kind.value,
        "t": now,
        "vector": versions,
        "taken": state.requests_accepted,
        "answered": state.requests_answered,
        "me": state.number,
        "said": state.last_sent,
    }


def observation_fields(changed: Sequence[str], last_received: MessageId | None) -> Payload:
    """Return the additional fields of change and checkpoint records."""
    return {"changed": list(changed), "heard": encode_message_id(last_received)}


def rejection_fields(component: str, reason: str) -> Payload:
    """Return the additional fields of the record of a rejected change."""
    return {"component": component, "why": reason}


class RecordView:
    """Typed access to a stored record.

    Keys are looked up when a property is read, because each kind has different keys. A missing key raises
    `KeyError`.
    """

    __slots__ = ("_payload",)

    def __init__(self, payload: Payload) -> None:
        self._payload = payload

    @property
    def kind(self) -> str:
        """A value of `RecordKind`, or the stored text of a kind that this version does not know."""
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
        """The version of each component."""
        return dict(self._payload["vector"])

    @property
    def changed(self) -> list[str]:
        """Components whose version differs from the previous record."""
        return list(self._payload["changed"])

    @property
    def state(self) -> InstanceState:
        """State of the instance in a change record. `requests_answered` is not decoded and is 0."""
        return InstanceState(
            number=self._payload["me"],
            requests_accepted=self._payload["taken"],
            requests_answered=0,
            last_sent=self._payload["said"],
            last_received=decode_message_id(self._payload["heard"]),
        )

    @property
    def requests_accepted(self) -> int:
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
        """Incarnation before the one that starts with this record; 0 if no files of one were found."""
        return int(self._payload["follows"])

    @property
    def checkpoint_us(self) -> int:
        """Interval between the checkpoints that follow, microseconds."""
        return int(self._payload["checkpoint_us"])

    @property
    def dropped_up_to(self) -> SegmentPosition:
        """The last segment deleted."""
        stored = self._payload["up_to"]
        return SegmentPosition(stored[0], stored[1])
