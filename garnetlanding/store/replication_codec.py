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

A follower starts with one FollowRequest. The writer answers with its identity, then with a snapshot if its
log does not reach back to the follower's revision, then with each change as it is made, and with a heartbeat
at regular intervals. A follower that must prove that its copy is fresh sends queries; the writer replies to
each with its revision at that moment.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from garnetlanding.store.errors import ProtocolViolation, ReplicationProtocolError
from garnetlanding.store.store import Entry

NO_REVISION = -1
"""In a FollowRequest: the follower has no revision to resume from and needs a snapshot."""

JsonObject = dict[str, Any]
"""One decoded line."""


@dataclass(frozen=True, slots=True)
class FollowRequest:
    """The follower's copy is at this revision of this epoch, and requests all later changes."""

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
    """The writer is alive and has sent every change up to this revision."""

    revision: int


@dataclass(frozen=True, slots=True)
class QueryReply:
    """The reply to the query with this number: the writer's revision at that moment."""

    number: int
    revision: int


FollowerMessage = FollowRequest | RevisionQuery
WriterMessage = WriterIdentity | SnapshotTransfer | EntryTransfer | Heartbeat | QueryReply


def encode(message: FollowerMessage | WriterMessage) -> bytes:
    """Encode a message as one line, with its line end."""
    match message:
        case FollowRequest(epoch, revision):
            fields: JsonObject = {"follow": [epoch, revision]}
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


def decode_follow_request(fields: JsonObject) -> FollowRequest | None:
    """Decode a follower's first line; return None if it is not a follow request."""
    match fields:
        case {"follow": [int() as epoch, int() as revision]}:
            return FollowRequest(epoch, revision)
    return None


def decode_revision_query(fields: JsonObject) -> RevisionQuery | None:
    """Decode any line of a follower after its first; return None if it is not a revision query."""
    match fields:
        case {"ask": int() as number}:
            return RevisionQuery(number)
    return None


def decode_writer_message(fields: JsonObject) -> WriterMessage | None:
    """Decode a line of the writer; return None if it is not a message of the protocol."""
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


class JsonLineDecoder:
    """Splits a byte stream into lines and parses each as a JSON object."""

    def __init__(self, max_line_bytes: int) -> None:
        self._max_line_bytes = max_line_bytes
        self._partial_line = b""

    @property
    def has_partial_line(self) -> bool:
        """Whether the last line that has been fed is incomplete."""
        return bool(self._partial_line)

    def feed(self, data: bytes | memoryview) -> list[JsonObject]:
        """Add bytes and return the objects of the lines that are complete now.

        Raises ReplicationProtocolError for a line that is not a JSON object, and for an incomplete one that
        exceeds the limit.
        """
        *lines, self._partial_line = (self._partial_line + bytes(data)).split(b"\n")
        if len(self._partial_line) > self._max_line_bytes:
            raise ReplicationProtocolError(ProtocolViolation.LINE_TOO_LONG)
        try:
            parsed = [json.loads(line) for line in lines]
        except ValueError as problem:
            raise ReplicationProtocolError(ProtocolViolation.NOT_JSON) from problem
        if not all(isinstance(fields, dict) for fields in parsed):
            raise ReplicationProtocolError(ProtocolViolation.NOT_AN_OBJECT)
        return parsed
