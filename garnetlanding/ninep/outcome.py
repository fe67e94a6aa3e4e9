"""The reply to a client's request, from the core's answer and the state of the request's attempts."""

from __future__ import annotations

from garnetlanding.core.ports import Answer, Failed, Rejected, Served
from garnetlanding.limits import MS
from garnetlanding.ninep import errors
from garnetlanding.ninep.codec import Message
from garnetlanding.ninep.errors import ErrorReply
from garnetlanding.ninep.fids import RequestRejectedError
from garnetlanding.ninep.operations import Operation
from garnetlanding.ninep.pending import ReplyBuilder


def reply_for(operation: Operation, answer: Answer, build_reply: ReplyBuilder) -> Message | ErrorReply:
    """Return the reply to a request, or the content of its error reply.

    A change that a file server may have run is never answered in a way that makes the client send it again.
    """
    is_change = operation.spec.changes_tree
    may_have_run = is_change and operation.delivery.maybe_delivered
    match answer:
        case Served(ErrorReply() as error_reply):
            return _server_error(operation, error_reply)
        case Served(value):
            return _build(build_reply, value)
        case Rejected(retry_after_us) if not may_have_run:
            return _busy_reply(retry_after_us)
        case Failed(reason) if not is_change:
            return ErrorReply(errors.EIO, reason)
    return ErrorReply(errors.EIO, f"may have happened: {operation.kind.value} was sent, and no answer came")


def _server_error(operation: Operation, error_reply: ErrorReply) -> ErrorReply:
    if not (operation.spec.changes_tree and operation.delivery.unresolved_attempts):
        return error_reply
    # This attempt failed, but the outcome of an earlier attempt is unknown.
    return ErrorReply(
        errors.EIO, f"may have happened: {operation.kind.value}; tried again: {error_reply.text}"
    )


def _build(build_reply: ReplyBuilder, value: object) -> Message | ErrorReply:
    try:
        return build_reply(value)
    except RequestRejectedError as rejection:
        return rejection.error_reply


def _busy_reply(retry_after_us: int | None) -> ErrorReply:
    if not retry_after_us:
        return ErrorReply(errors.EAGAIN, "busy")
    retry_after_ms = -(-retry_after_us // MS)  # rounded up: never earlier than the decision module allows
    return ErrorReply(errors.EAGAIN, f"busy; come again after {retry_after_ms} ms")
