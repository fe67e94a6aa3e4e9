"""The replication protocol's messages and their form on the wire: one JSON object a line, in UTF-8.

| sent by  | line                               | message          |
| -------- | ---------------------------------- | ---------------- |
| follower | `{"follow": [epoch, revision]}`    | FollowRequest    |
| follower | `{"ask": number}`                  | RevisionQuery    |
| writer   | `{"writer": [name, epoch]}`        | WriterIdentity   |
| writer   | `{"snapshot": [revision, values]}` | SnapshotTransfer |
| writer   | `{"entry": [revision, key, value]}`| EntryTransfer    |
| writer   | `{"at": revision}`                 | Heartbeat        |
| writer   | `{"re": [number, revision]}`       | QueryReply       |

A follower begins with one FollowRequest. The writer answers with its identity; then, where the follower
cannot resume from its revision, with a snapshot; then with every change as it is made, and with a heartbeat
at regular times. A follower that must prove that it is up to date sends queries, each of which is replied to
with the writer's revision at that moment.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from garnetlanding.store.errors import ReplicaError
from garnetlanding.store.store import Entry

REVISION_OF_NONE = -1  # in a FollowRequest: no revision is held, so that a snapshot has to be sent


@dataclass(frozen=True, slots=True)
class FollowRequest:
    """The follower holds this revision of this epoch and wants what comes after it."""

    epoch: int
    revision: int


@dataclass(frozen=True, slots=True)
class RevisionQuery:
    """The follower asks for the writer's revision; `number` identifies the reply."""

    number: int


@dataclass(frozen=True, slots=True)
class WriterIdentity:
    """The sender claims to be the writer of this name, in this epoch."""

    name: str
    epoch: int


@dataclass(frozen=True, slots=True)
class SnapshotTransfer:
    """All values at a revision of the writer's epoch."""

    revision: int
    values: dict[str, Any]


@dataclass(frozen=True, slots=True)
class EntryTransfer:
    """The next change."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The writer is alive and at this revision, which it has sent in full."""

    revision: int


@dataclass(frozen=True, slots=True)
class QueryReply:
    """The answer to one query: the writer's revision when it was read."""

    number: int
    revision: int


FollowerMessage = FollowRequest | RevisionQuery
WriterMessage = WriterIdentity | SnapshotTransfer | EntryTransfer | Heartbeat | QueryReply


def encode(message: FollowerMessage | WriterMessage) -> bytes:
    """Return a message's line, with its line end."""
    match message:
        case FollowRequest(epoch, revision):
            fields: dict[str, Any] = {"follow": [epoch, revision]}
        case RevisionQuery(number):
            fields = {"ask": number}
        case WriterIdentity(name, epoch):
            fields = {"writer": [name, epoch]}
        case SnapshotTransfer(revision, values):
            fields = {"snapshot": [revision, values]}
        case EntryTransfer(entry):
            fields = {"entry": [entry.revision, entry.key, entry.value]}
        case Heartbeat(revision):
            fields = {"at": revision}
        case QueryReply(number, revision):
            fields = {"re": [number, revision]}
    return json.dumps(fields).encode() + b"\n"


def decode_follow_request(fields: dict[str, Any]) -> FollowRequest | None:
    """Return the request of a follower's first line, or None where it is none."""
    match fields:
        case {"follow": [int() as epoch, int() as revision]}:
            return FollowRequest(epoch, revision)
    return None


def decode_revision_query(fields: dict[str, Any]) -> RevisionQuery | None:
    """Return the query of a follower's later line, or None where it is none."""
    match fields:
        case {"ask": int() as number}:
            return RevisionQuery(number)
    return None


def decode_writer_message(fields: dict[str, Any]) -> WriterMessage | None:
    """Return the message of a writer's line, or None where it is none of the protocol's."""
    match fields:
        case {"writer": [str() as name, int() as epoch]}:
            return WriterIdentity(name, epoch)
        case {"snapshot": [int() as revision, dict() as values]}:
            return SnapshotTransfer(revision, values)
        case {"entry": [int() as revision, str() as key, value]}:
            return EntryTransfer(Entry(revision, key, value))
        case {"at": int() as revision}:
            return Heartbeat(revision)
        case {"re": [int() as number, int() as revision]}:
            return QueryReply(number, revision)
    return None


class LineDecoder:
    """Splits a byte stream into lines and parses each as a JSON object."""

    def __init__(self, max_line_bytes: int) -> None:
        self._max_line_bytes = max_line_bytes
        self._partial = b""

    @property
    def has_partial_line(self) -> bool:
        """Whether the beginning of a line has been fed, and not its end."""
        return bool(self._partial)

    def feed(self, data: bytes | memoryview) -> list[dict[str, Any]]:
        """Return the objects of the lines that are complete now.

        Raises ReplicaError for a line that is no JSON object, and for an unfinished one past the bound.
        """
        *lines, self._partial = (self._partial + bytes(data)).split(b"\n")
        if len(self._partial) > self._max_line_bytes:
            raise ReplicaError("line too long")
        try:
            parsed = [json.loads(line) for line in lines]
        except ValueError as problem:
            raise ReplicaError("not JSON") from problem
        if not all(isinstance(fields, dict) for fields in parsed):
            raise ReplicaError("not an object")
        return parsed
