"""The reply that a client gets when its request has ended."""

from __future__ import annotations

import pytest

from garnetlanding.core.ports import Answer, Failed, Rejected, Served
from garnetlanding.limits import MS
from garnetlanding.ninep import codec, errors
from garnetlanding.ninep.errors import ErrorReply
from garnetlanding.ninep.fids import RequestRejectedError
from garnetlanding.ninep.operations import DeliveryState, Operation, Read, Remove
from garnetlanding.ninep.outcome import reply_for
from garnetlanding.ninep.session import Identity

USER = Identity("ann", 1000, "")
READ = Read(USER, ("a",))
DELIVERED = DeliveryState(maybe_delivered=True)
ONE_UNRESOLVED = DeliveryState(maybe_delivered=True, unresolved_attempts=1)
NO_ANSWER = ErrorReply(errors.EIO, "may have happened: remove was sent, and no answer came")


def remove(delivery: DeliveryState) -> Operation:
    return Remove(USER, ("a",), delivery=delivery)


@pytest.mark.parametrize(
    ("operation", "answer", "error_reply"),
    [
        pytest.param(READ, Rejected(), ErrorReply(errors.EAGAIN, "busy"), id="read rejected"),
        pytest.param(
            READ,
            Rejected(250 * MS + 1),
            ErrorReply(errors.EAGAIN, "busy; come again after 251 ms"),
            id="read rejected with a delay, rounded up",
        ),
        pytest.param(READ, Failed("no backend"), ErrorReply(errors.EIO, "no backend"), id="read failed"),
        pytest.param(
            remove(DeliveryState()), Rejected(), ErrorReply(errors.EAGAIN, "busy"), id="change never sent"
        ),
        pytest.param(remove(DELIVERED), Rejected(), NO_ANSWER, id="change rejected after it was sent"),
        pytest.param(
            remove(DELIVERED), Failed("no backend"), NO_ANSWER, id="change failed after it was sent"
        ),
        pytest.param(
            remove(DELIVERED),
            Served(ErrorReply(errors.ENOENT)),
            ErrorReply(errors.ENOENT),
            id="change answered with an error",
        ),
        pytest.param(
            remove(ONE_UNRESOLVED),
            Served(ErrorReply(errors.ENOENT)),
            ErrorReply(errors.EIO, "may have happened: remove; tried again: file does not exist"),
            id="change answered with an error after an attempt with an unknown outcome",
        ),
    ],
)
def test_reply_tells_whether_a_change_may_have_happened(
    operation: Operation, answer: Answer, error_reply: ErrorReply
) -> None:
    assert reply_for(operation, answer, codec.Rread) == error_reply


def test_served_result_becomes_the_reply_that_is_built_from_it() -> None:
    assert reply_for(READ, Served(b"data"), codec.Rread) == codec.Rread(b"data")


def test_result_that_cannot_be_given_to_the_client_becomes_an_error_reply() -> None:
    def reject(_: object) -> codec.Message:
        raise RequestRejectedError(errors.ERANGE, "stat does not fit msize")

    assert reply_for(READ, Served(b""), reject) == ErrorReply(errors.ERANGE, "stat does not fit msize")
