"""Submits the requests of one client connection to the core and writes one reply for each tag.

Changes first wait for the changes that they must not overtake (`order.py`). Requests beyond the client's
share of the core's capacity are queued here, in order of arrival.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass

from garnetlanding.core.ports import Answer, Failed, InvalidRequestError, RequestSpec, Served
from garnetlanding.ninep import codec, errors
from garnetlanding.ninep.codec import Message
from garnetlanding.ninep.errors import ErrorReply
from garnetlanding.ninep.fids import Fid, RequestRejectedError
from garnetlanding.ninep.operation_table import request_class_for
from garnetlanding.ninep.operations import Operation, Read, ReadDirectory, Remove, Write
from garnetlanding.ninep.order import ExportPaths
from garnetlanding.ninep.outcome import reply_for
from garnetlanding.ninep.pending import PendingRequest
from garnetlanding.ninep.shared_state import SharedState
from garnetlanding.runtime.memory import MemoryAccount

log = logging.getLogger(__name__)

NO_TAG = -1
"""Placeholder tag of a request whose reply no client waits for."""


@dataclass(frozen=True, slots=True)
class ReplyWriter:
    """Writes to the client: `message` a reply, `error_reply` an error reply in the negotiated dialect."""

    message: Callable[[int, Message], None]
    error_reply: Callable[[int, ErrorReply], None]


def _discard_message(_tag: int, _message: Message) -> None:
    """Discard a reply."""


def _discard_error(_tag: int, _error: ErrorReply) -> None:
    """Discard an error reply."""


_CLOSED = ReplyWriter(_discard_message, _discard_error)
"""Discards the replies of a session that has ended, to which its requests must not refer."""


def held_bytes(operation: Operation) -> int:
    """Return the memory that an operation occupies until it is answered, in bytes."""
    if isinstance(operation, Write):
        return len(operation.data)
    if isinstance(operation, Read | ReadDirectory):
        return operation.count
    return 0


def _failure(pending: PendingRequest, reason: str) -> ErrorReply:
    """Return the error reply to a request that is ended before its reply; a change may have been made."""
    operation = pending.operation
    if operation and pending.must_complete:
        reply = reply_for(operation, Failed(reason), pending.build_reply)
        if isinstance(reply, ErrorReply):
            return reply
    return ErrorReply(errors.EIO, reason)


class RequestDispatcher:
    """The requests of one client that have no reply yet.

    Invariant: each tag gets at most one reply, and a flush is answered after the reply to the request that it
    flushes, if that request gets one.
    """

    def __init__(
        self, shared: SharedState, client: int, replies: ReplyWriter, account: MemoryAccount
    ) -> None:
        """Create a dispatcher; what its requests hold is charged to `account`."""
        self._account = account
        self._shared = shared
        self._client = client
        self._replies = replies
        self._limits = shared.limits
        self.pending: dict[int, PendingRequest] = {}
        """By tag."""
        self._flushed: dict[int, PendingRequest] = {}
        """Requests being flushed, by the tag of the flush."""
        self._queue: dict[PendingRequest, int] = {}
        """Requests not yet submitted to the core, with their tags, in order of arrival."""
        self._open_requests = 0
        self.submitted = 0
        """Number of requests accepted so far."""

    def uses_tag(self, tag: int) -> bool:
        """Return whether a message with this tag has no reply yet."""
        return tag in self.pending or tag in self._flushed

    # Cancelling

    def flush(self, tag: int, oldtag: int) -> None:
        """Process Tflush: cancel the message with tag `oldtag` and answer at once (flush(5)).

        A change that a server may have executed cannot be cancelled; its own reply is written first.
        """
        old = self.pending.get(oldtag) or self._flushed.get(oldtag)
        if old is None or (oldtag in self.pending and self.cancel(oldtag)):
            self._replies.message(tag, codec.Rflush())
            return
        if len(self._flushed) >= self._limits.ninep_tags:
            raise RequestRejectedError(errors.EAGAIN, "too many requests in flight")
        old.flush_tags.append(tag)
        self._flushed[tag] = old

    def cancel(self, tag: int) -> bool:
        """Cancel a request as if it had never been received; return False if it may have had an effect."""
        pending = self.pending[tag]
        if pending.must_complete:
            return False
        del self.pending[tag]
        pending.settled = True
        self._queue.pop(pending, None)
        self._release(pending)
        if pending.ticket:
            self._shared.core.client_disconnected(pending.ticket)
            self._request_ended()
        if pending.change_ticket:
            self._shared.finish_change(self._client, pending.change_ticket, outcome_unknown=False)
        return True

    def cancel_all(self) -> None:
        """End the session's requests.

        A change that a server may have executed ends with its attempt in flight, without a reply: later
        changes wait for it, but it is not attempted again. All other requests are cancelled.
        """
        # In reverse order, so that cancelling a request does not submit one queued behind it. Cancelling a
        # change may also complete a clunk that waits for it.
        for tag in reversed(list(self.pending)):
            if tag in self.pending and not self.cancel(tag):
                self._abandon(self.pending.pop(tag))
        self._flushed.clear()

    def fail_all(self, reason: str) -> None:
        """Answer all requests with an error, for a session that the instance ends; then end them."""
        for tag, pending in list(self.pending.items()):
            self._replies.error_reply(tag, _failure(pending, reason))
            for flush_tag in pending.flush_tags:
                self._replies.message(flush_tag, codec.Rflush())
        self.cancel_all()

    def fail_waiting(self, reason: str) -> None:
        """Answer the requests that have not been submitted to the core, and remove them.

        They wait for earlier changes or for the client's share of the core. A clunk that waits has been done.
        """
        # In reverse order, so that the end of one change does not start another one that is answered here.
        for tag, pending in reversed(list(self.pending.items())):
            if pending.ticket or tag not in self.pending:
                continue
            self._queue.pop(pending, None)
            is_clunk = pending.operation is None
            self._complete(
                tag, pending, pending.build_reply(None) if is_clunk else ErrorReply(errors.EIO, reason)
            )
            if pending.change_ticket:
                self._shared.finish_change(self._client, pending.change_ticket, outcome_unknown=False)

    def _abandon(self, pending: PendingRequest) -> None:
        """End a request that cannot be cancelled, for a client that has disconnected.

        The removal of a file that was opened with ORCLOSE goes on: it would follow from the disconnect too.
        """
        pending.settled = True
        self._release(pending)
        if pending.operation is None or pending.target.remove_on_close:
            return
        if pending.ticket:
            self._shared.core.finish_without_client(pending.ticket)
        else:
            # Nothing of it has begun, and nothing may begin now.
            self._queue.pop(pending, None)
            self._shared.finish_change(self._client, pending.change_ticket, outcome_unknown=False)

    def close(self) -> None:
        """Discard further replies, after `cancel_all`: the session has ended with its connection."""
        self._replies = _CLOSED

    # Memory

    def _charge(self, pending: PendingRequest) -> None:
        """Charge a request to the client. Raises RequestRejectedError if the client must not hold it."""
        operation = pending.operation
        needed_bytes = self._limits.ninep_pending_bytes + (held_bytes(operation) if operation else 0)
        if not self._account.charge(needed_bytes):
            raise RequestRejectedError(errors.ENOMEM, "out of memory")
        pending.charged_bytes = needed_bytes

    def _release(self, pending: PendingRequest) -> None:
        self._account.release(pending.charged_bytes)
        pending.charged_bytes = 0

    # Submitting

    def submit(self, tag: int, pending: PendingRequest) -> None:
        """Accept a request.

        Raises RequestRejectedError if the client has too many, or for a change in a read-only export.
        """
        if len(self.pending) >= self._limits.ninep_tags:
            raise RequestRejectedError(errors.EAGAIN, "too many requests in flight")
        if pending.is_change and not pending.target.export.writable:
            raise RequestRejectedError(errors.EROFS)
        self._charge(pending)
        self.pending[tag] = pending
        self.submitted += 1
        if pending.is_change:
            self._enqueue_change(tag, pending)
        else:
            pending.deadline = self._shared.timers.now + pending.target.export.deadline_us
            self._admit(tag, pending)

    def remove_unanswered(self, fid: Fid) -> None:
        """Remove the file of a fid that was opened with ORCLOSE, for a client that has disconnected.

        The file stays if too many such removals are in progress.
        """
        if self._shared.unanswered_removals >= self._limits.ninep_unanswered_removals:
            log.warning("file not removed on close", extra={"kv": {"path": "/" + "/".join(fid.path)}})
            return
        self._shared.unanswered_removals += 1
        operation = Remove(fid.identity, fid.path, fid.qid)
        pending = PendingRequest(fid, operation, lambda _: codec.Rclunk(), settled=True)
        self._enqueue_change(NO_TAG, pending)

    def wait_for_changes(self, tag: int, fid: Fid, reply: Message) -> None:
        """Reply once the queued and in-flight changes of the fid's file have ended."""
        pending = PendingRequest(fid, None, lambda _: reply, must_run=True)
        self._charge(pending)
        self.pending[tag] = pending

        def start() -> None:
            self._shared.finish_change(self._client, pending.change_ticket, outcome_unknown=False)
            self._complete(tag, pending, reply)

        self._enqueue(pending, ((fid.export.name, fid.path),), start)

    def _enqueue_change(self, tag: int, pending: PendingRequest) -> None:
        """Queue a change behind those that it must not overtake; the wait counts towards its deadline."""
        operation = pending.operation
        assert operation
        fid = pending.target
        export = fid.export
        path = fid.path
        pending.deadline = self._shared.timers.now + (export.change_deadline_us or export.deadline_us)

        def start() -> None:
            if fid.path != path:
                # An earlier change has renamed the file.
                pending.operation = operation.with_renamed_path(path, fid.path)
            self._admit(tag, pending)

        self._enqueue(pending, tuple((export.name, changed) for changed in operation.affected_paths), start)

    def _enqueue(
        self,
        pending: PendingRequest,
        paths: ExportPaths,
        start: Callable[[], None],
    ) -> None:
        enqueued = self._shared.enqueue_change(self._client, pending.target, paths, start)
        pending.change_ticket = enqueued.ticket
        if enqueued.may_start:
            start()

    def _admit(self, tag: int, pending: PendingRequest) -> None:
        """Submit a request once the client's share allows it; the wait counts towards its deadline."""
        self._shared.admission.record_request(self._client, self._shared.timers.now)
        self._queue[pending] = tag
        self._submit_queued()

    def _submit_queued(self) -> None:
        limit = self._shared.admission.limit_for(self._client, self._shared.timers.now)
        while self._queue and self._open_requests < limit:
            pending = next(iter(self._queue))
            tag = self._queue.pop(pending)
            self._open_requests += 1
            self._submit(tag, pending)

    def _request_ended(self) -> None:
        self._open_requests -= 1
        self._submit_queued()

    def _submit(self, tag: int, pending: PendingRequest) -> None:
        operation = pending.operation
        assert operation

        def on_answer(answer: Answer) -> None:
            if tag == NO_TAG:
                self._shared.unanswered_removals -= 1
            self._complete(tag, pending, reply_for(operation, answer, pending.build_reply))
            self._request_ended()
            if pending.change_ticket:
                self._shared.finish_change(
                    self._client,
                    pending.change_ticket,
                    outcome_unknown=operation.delivery.unresolved_attempts > 0,
                )

        core = self._shared.core
        self._release(pending)  # the core charges it from now on
        try:
            pending.ticket = core.submit(
                self._request_spec(pending, operation), self._shared.backend, on_answer, self._account
            )
        except InvalidRequestError as error:  # the configured export does not match the settings
            on_answer(Served(ErrorReply(errors.EINVAL, str(error))))

    def _request_spec(self, pending: PendingRequest, operation: Operation) -> RequestSpec:
        export = pending.target.export
        classes = self._shared.core.settings.classes
        units = max(1, -(-pending.data_bytes // export.unit_bytes))
        return RequestSpec(
            request_class=request_class_for(
                operation.kind,
                export.request_class,
                export.change_request_class or export.request_class,
                classes,
            ),
            plan=export.plan,
            volume=export.volume,
            key="/" + "/".join(operation.path),
            units=float(units),
            cell=export.cell,
            # A request whose deadline passed while it was queued is still submitted: the decision module
            # rejects it.
            timeout_us=max(1, pending.deadline - self._shared.timers.now),
            serving_instances=export.serving_instances,
            operation=operation,
            is_write=operation.spec.changes_tree,
            held_bytes=held_bytes(operation),
            allow_hedging=False,  # an operation's delivery covers one attempt at a time
        )

    # Replies

    def _complete(self, tag: int, pending: PendingRequest, reply: Message | ErrorReply) -> None:
        """Write the reply to a tag, followed by the replies to the flushes that wait for it."""
        if pending.settled:
            return
        pending.settled = True
        self._release(pending)
        del self.pending[tag]
        if isinstance(reply, ErrorReply):
            self._replies.error_reply(tag, reply)
        else:
            self._replies.message(tag, reply)
        for flush_tag in pending.flush_tags:
            del self._flushed[flush_tag]
            self._replies.message(flush_tag, codec.Rflush())
