"""The follower's end of the replication protocol: a state machine for one connection to the writer."""

from __future__ import annotations

from typing import Any

from garnetlanding.limits import Limits
from garnetlanding.store.errors import LogGapError, ReplicaError
from garnetlanding.store.replication_codec import (
    REVISION_OF_NONE,
    EntryTransfer,
    FollowRequest,
    Heartbeat,
    LineDecoder,
    QueryReply,
    RevisionQuery,
    SnapshotTransfer,
    WriterIdentity,
    decode_writer_message,
    encode,
)
from garnetlanding.store.staleness_guard import StalenessGuard
from garnetlanding.store.store import Snapshot, Store


class FollowerMachine:
    """Applies the writer's stream to a copy.

    Any exception that `feed` raises makes the connection useless: ReplicaError for bytes that break the
    protocol, StaleEpochError for a peer that is not the writer, LogGapError where the copy needs a snapshot.
    What was applied before stays applied.
    """

    def __init__(self, store: Store, limits: Limits, guard: StalenessGuard | None = None) -> None:
        self._store = store
        self._guard = guard
        self._lines = LineDecoder(limits.store_line_bytes)
        self._writer_epoch: int | None = None  # once it has identified itself on this connection

    def follow_request(self, with_snapshot: bool) -> bytes:
        """Return the line that opens the conversation; `with_snapshot` wants one whatever the copy holds."""
        revision = REVISION_OF_NONE if with_snapshot else self._store.revision
        return encode(FollowRequest(self._store.epoch, revision))

    @staticmethod
    def revision_query(number: int) -> bytes:
        """Return the line that asks for the writer's revision."""
        return encode(RevisionQuery(number))

    def feed(self, data: bytes | memoryview) -> None:
        """Take bytes of the writer's and apply the messages that are complete."""
        for fields in self._lines.feed(data):
            self._handle(fields)

    def _handle(self, fields: dict[str, Any]) -> None:
        message = decode_writer_message(fields)
        if isinstance(message, WriterIdentity):
            self._store.accept_writer(message.name, message.epoch)
            self._writer_epoch = message.epoch
            return
        if self._writer_epoch is None:
            raise ReplicaError("the writer has not named itself")
        match message:
            case SnapshotTransfer(revision, values):
                self._store.restore(Snapshot(self._writer_epoch, revision, values))
            case EntryTransfer(entry):
                self._store.apply(self._writer_epoch, entry)
            case Heartbeat(revision):
                self._check_caught_up(self._writer_epoch, revision)
            case QueryReply(number, revision) if self._guard:
                self._check_caught_up(self._writer_epoch, revision)
                self._guard.reply_received(number)
            case _:
                raise ReplicaError("unknown message")

    def _check_caught_up(self, epoch: int, revision: int) -> None:
        """Check that the copy is where the writer is. TCP keeps order, so all changes before have come."""
        store = self._store
        if (epoch, revision) != (store.epoch, store.revision):
            raise LogGapError(f"the writer is at {revision}, this store at {store.revision}", epoch, revision)
