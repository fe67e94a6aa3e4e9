"""What a client is told of a request's end, by the core's answer and by what its attempts have done."""

from __future__ import annotations

from garnetlanding.core.ports import Answer, Failed, Rejected, Served
from garnetlanding.limits import MS
from garnetlanding.ninep import errors
from garnetlanding.ninep.codec import Message
from garnetlanding.ninep.errors import Problem
from garnetlanding.ninep.fids import RequestRejectedError
from garnetlanding.ninep.operations import Work
from garnetlanding.ninep.pending import ReplyBuilder


def reply_for(operation: Work, answer: Answer, build_reply: ReplyBuilder) -> Message | Problem:
    """Return the reply to a request, or the problem that its error reply tells.

    A change that a file server may have run is never answered so that the client would send it again.
    """
    is_change = operation.spec.change
    may_have_run = is_change and operation.trace.exposed
    match answer:
        case Served(Problem() as problem):
            return _server_error(operation, problem)
        case Served(value):
            return _built(build_reply, value)
        case Rejected(retry_after_us) if not may_have_run:
            return _busy(retry_after_us)
        case Failed(reason) if not is_change:
            return Problem(errors.EIO, reason)
    return Problem(errors.EIO, f"may have happened: {operation.op.value} was sent, and no answer came")


def _server_error(operation: Work, problem: Problem) -> Problem:
    if not (operation.spec.change and operation.trace.unsure):
        return problem
    # This attempt failed; of one before it the end is not known.
    return Problem(errors.EIO, f"may have happened: {operation.op.value}; tried again: {problem.text}")


def _built(build_reply: ReplyBuilder, value: object) -> Message | Problem:
    try:
        return build_reply(value)
    except RequestRejectedError as rejection:
        return rejection.problem


def _busy(retry_after_us: int | None) -> Problem:
    if not retry_after_us:
        return Problem(errors.EAGAIN, "busy")
    retry_after_ms = -(-retry_after_us // MS)  # rounded up: never sooner than asked for
    return Problem(errors.EAGAIN, f"busy; come again after {retry_after_ms} ms")
