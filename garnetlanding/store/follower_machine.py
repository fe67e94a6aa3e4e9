"""The follower's end of the replication protocol: a state machine for one connection to the writer."""

from __future__ import annotations

from garnetlanding.limits import Limits
from garnetlanding.store.errors import LogGapError, ProtocolViolation, ReplicationProtocolError
from garnetlanding.store.replication_codec import (
    NO_REVISION,
    EntryTransfer,
    FollowRequest,
    Heartbeat,
    JsonLineDecoder,
    JsonObject,
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
    """Applies the writer's messages to a copy.

    Any exception that `feed` raises ends the connection: ReplicationProtocolError for bytes that violate the
    protocol, WriterRejectedError for a peer that is not the writer, LogGapError if the copy needs a snapshot.
    Messages before the faulty one have been applied.
    """

    def __init__(self, store: Store, limits: Limits, guard: StalenessGuard | None = None) -> None:
        self._store = store
        self._guard = guard
        self._lines = JsonLineDecoder(limits.store_line_bytes)
        self._writer_epoch: int | None = None  # of its identity on this connection

    def follow_request(self, *, with_snapshot: bool) -> bytes:
        """Return the first line to send; `with_snapshot` requests a snapshot whatever the copy's revision."""
        revision = NO_REVISION if with_snapshot else self._store.revision
        return encode(FollowRequest(self._store.epoch, revision))

    @staticmethod
    def revision_query(number: int) -> bytes:
        """Return the line that queries the writer's revision."""
        return encode(RevisionQuery(number))

    def feed(self, data: bytes | memoryview) -> None:
        """Process bytes from the writer and apply the messages that are complete."""
        for fields in self._lines.feed(data):
            self._handle(fields)

    def _handle(self, fields: JsonObject) -> None:
        message = decode_writer_message(fields)
        if isinstance(message, WriterIdentity):
            self._store.check_writer(message.name, message.epoch)
            self._writer_epoch = message.epoch
            return
        if self._writer_epoch is None:
            raise ReplicationProtocolError(ProtocolViolation.NO_WRITER_IDENTITY)
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
                raise ReplicationProtocolError(ProtocolViolation.UNKNOWN_MESSAGE)

    def _check_caught_up(self, epoch: int, revision: int) -> None:
        """Check that the copy has the writer's revision, as it must: TCP delivers earlier changes first."""
        store = self._store
        if (epoch, revision) != (store.epoch, store.revision):
            raise LogGapError.not_caught_up(epoch, revision, store.revision)
