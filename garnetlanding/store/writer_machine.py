"""The writer's end of the replication protocol: a state machine for one follower's connection."""

from __future__ import annotations

import logging
from collections.abc import Callable

from garnetlanding.limits import Limits
from garnetlanding.runtime.protocols import discard_bytes
from garnetlanding.runtime.scheduler import Scheduler, Timer
from garnetlanding.store.errors import ProtocolViolation, ReplicationProtocolError
from garnetlanding.store.replication_codec import (
    EntryTransfer,
    FollowRequest,
    Heartbeat,
    JsonLineDecoder,
    JsonObject,
    QueryReply,
    SnapshotTransfer,
    WriterIdentity,
    decode_follow_request,
    decode_revision_query,
    encode,
)
from garnetlanding.store.store import Entry, Store

log = logging.getLogger(__name__)


class WriterMachine:
    """Sends one follower its missing changes, then each new change, and heartbeats.

    Implements the listener's ClientProtocol. `write` sends bytes on the connection. A line that violates the
    protocol closes the connection; the reason is logged, not sent to the follower.
    """

    has_buffered_input = False  # input is processed as it is fed

    def __init__(
        self, store: Store, scheduler: Scheduler, limits: Limits, write: Callable[[bytes], None]
    ) -> None:
        self._store = store
        self._scheduler = scheduler
        self._limits = limits
        self._write = write
        self._lines = JsonLineDecoder(limits.store_line_bytes)
        self._heartbeat_timer: Timer | None = None
        self._following = False
        self.is_closing = False
        self.messages_received = 0
        self.invalid_messages = 0
        self.requests_received = 0
        self.has_session_state = True
        self.pending_responses = 0

    @property
    def has_partial_message(self) -> bool:
        """Whether part of a line has been received."""
        return self._lines.has_partial_line

    def feed(self, data: bytes | memoryview) -> None:
        """Process bytes from the follower and write the responses."""
        try:
            for fields in self._lines.feed(data):
                self.messages_received += 1
                self._handle(fields)
        except ReplicationProtocolError as problem:
            log.warning("follower rejected", extra={"kv": {"why": problem}})
            self.is_closing = True

    def fail_waiting(self, reason: str) -> None:
        """Do nothing: nothing waits."""

    def fail_pending(self, reason: str) -> None:  # noqa: ARG002 - the follower connects again
        """Stop sending; nothing is pending."""
        self.close()

    def close(self) -> None:
        """Stop sending: the connection is closed."""
        self.is_closing = True
        if self._heartbeat_timer:
            self._heartbeat_timer.cancel()
        if self._send_entry in self._store.observers:
            self._store.observers.remove(self._send_entry)
        self._write = discard_bytes

    def _handle(self, fields: JsonObject) -> None:
        if not self._following:
            request = decode_follow_request(fields)
            if request is None:
                raise ReplicationProtocolError(ProtocolViolation.NO_FOLLOW_REQUEST)
            self._start_following(request)
            return
        query = decode_revision_query(fields)
        if query is None:
            raise ReplicationProtocolError(ProtocolViolation.NO_FOLLOW_REQUEST)
        self._write(encode(QueryReply(query.number, self._store.revision)))

    def _start_following(self, request: FollowRequest) -> None:
        store = self._store
        self._following = True
        self._write(encode(WriterIdentity(store.writer, store.epoch)))
        # Revisions of different epochs cannot be compared.
        missing = store.entries_since(request.revision) if request.epoch == store.epoch else None
        if missing is None:
            self._write(encode(SnapshotTransfer(store.revision, store.snapshot().values)))
        for entry in missing or ():
            self._send_entry(entry)
        store.observers.append(self._send_entry)
        self._send_heartbeat()

    def _send_entry(self, entry: Entry | None) -> None:
        if entry:
            self._write(encode(EntryTransfer(entry)))

    def _send_heartbeat(self) -> None:
        self._write(encode(Heartbeat(self._store.revision)))
        self._heartbeat_timer = self._scheduler.call_at(
            self._scheduler.now + self._limits.store_heartbeat_us, self._send_heartbeat
        )
