"""What a client is told of a request's end."""

from __future__ import annotations

import pytest

from garnetlanding.core.ports import Answer, Failed, Rejected, Served
from garnetlanding.limits import MS
from garnetlanding.ninep import codec, errors
from garnetlanding.ninep.errors import Problem
from garnetlanding.ninep.fids import RequestRejectedError
from garnetlanding.ninep.operations import Read, Remove, Trace, Work
from garnetlanding.ninep.outcome import reply_for
from garnetlanding.ninep.session import Identity

USER = Identity("ann", 1000, "")
READ = Read(USER, ("a",))
SENT = Trace(exposed=True)
ONCE_UNKNOWN = Trace(exposed=True, unsure=1)
NO_ANSWER = Problem(errors.EIO, "may have happened: remove was sent, and no answer came")


def remove(trace: Trace) -> Work:
    return Remove(USER, ("a",), trace=trace)


@pytest.mark.parametrize(
    ("operation", "answer", "problem"),
    [
        pytest.param(READ, Rejected(), Problem(errors.EAGAIN, "busy"), id="read rejected"),
        pytest.param(
            READ,
            Rejected(250 * MS + 1),
            Problem(errors.EAGAIN, "busy; come again after 251 ms"),
            id="read rejected with a delay, rounded up",
        ),
        pytest.param(READ, Failed("no backend"), Problem(errors.EIO, "no backend"), id="read failed"),
        pytest.param(remove(Trace()), Rejected(), Problem(errors.EAGAIN, "busy"), id="change never sent"),
        pytest.param(remove(SENT), Rejected(), NO_ANSWER, id="change rejected after it was sent"),
        pytest.param(remove(SENT), Failed("no backend"), NO_ANSWER, id="change failed after it was sent"),
        pytest.param(
            remove(SENT),
            Served(Problem(errors.ENOENT)),
            Problem(errors.ENOENT),
            id="change answered with an error",
        ),
        pytest.param(
            remove(ONCE_UNKNOWN),
            Served(Problem(errors.ENOENT)),
            Problem(errors.EIO, "may have happened: remove; tried again: file does not exist"),
            id="change answered with an error after an attempt without an end",
        ),
    ],
)
def test_reply_tells_whether_a_change_may_have_happened(
    operation: Work, answer: Answer, problem: Problem
) -> None:
    assert reply_for(operation, answer, codec.Rread) == problem


def test_served_result_becomes_the_reply_that_is_built_from_it() -> None:
    assert reply_for(READ, Served(b"data"), codec.Rread) == codec.Rread(b"data")


def test_result_that_cannot_be_given_to_the_client_becomes_a_problem() -> None:
    def rejects(_: object) -> codec.Message:
        raise RequestRejectedError(errors.ERANGE, "stat does not fit msize")

    assert reply_for(READ, Served(b""), rejects) == Problem(errors.ERANGE, "stat does not fit msize")
