"""RESP errors: their attributes and the messages sent to clients or logged."""

from __future__ import annotations

import pytest

from garnetlanding.resp import codec
from garnetlanding.resp.errors import (
    InvalidArgumentError,
    InvalidCommandError,
    InvalidFieldError,
    Problem,
    ProtocolError,
    SurplusReplyError,
    UnreadableFieldError,
    Violation,
)
from garnetlanding.resp.request import parse_request
from tests.support.resp import LIMITS, pool

FIELDS = b"c=read,t=gold,d=1000,volume=v,units=2,shard=0,hosts=1"


@pytest.mark.parametrize(
    ("data", "violation"),
    [
        (b"+" + b"x" * 600, Violation.LINE_TOO_LONG),
        (b"GET x\r\n", Violation.UNKNOWN_TYPE),
        (b":x\r\n", Violation.INVALID_NUMBER),
        (b"$-2\r\n", Violation.INVALID_LENGTH),
        (b"*99999\r\n", Violation.LENGTH_OVER_LIMIT),
        (b"*1\r\n" * 9, Violation.NESTING_OVER_LIMIT),
        (b"$1\r\nabc", Violation.UNTERMINATED_BULK_STRING),
    ],
)
def test_a_protocol_error_names_its_violation(data: bytes, violation: Violation) -> None:
    with pytest.raises(ProtocolError) as error:
        list(codec.Decoder(pool(), LIMITS).feed(data))
    assert error.value.violation is violation
    assert str(error.value) == violation.value


def test_anything_but_a_command_is_a_violation_for_a_server() -> None:
    with pytest.raises(ProtocolError) as error:
        list(codec.Decoder(pool(), LIMITS, commands_only=True).feed(b"+OK\r\n"))
    assert error.value.violation is Violation.NOT_A_COMMAND
    assert str(error.value) == "expected an array of bulk strings"


def parse_error(fields: bytes) -> InvalidCommandError:
    with pytest.raises(InvalidCommandError) as error:
        parse_request([b"BLK.READ", b"k", b"id", fields], LIMITS)
    return error.value


def test_an_invalid_field_is_named_with_its_problem() -> None:
    error = parse_error(FIELDS.replace(b"hosts=1", b"hosts=0"))
    assert isinstance(error, InvalidFieldError)
    assert (error.name, error.problem, str(error)) == (
        "hosts",
        Problem.OUT_OF_RANGE,
        "field hosts: out of range",
    )
    error = parse_error(FIELDS + b",c=read")
    assert isinstance(error, InvalidFieldError)
    assert (error.name, error.problem, str(error)) == ("c", Problem.DUPLICATE, "field c: there twice")


def test_an_unreadable_field_is_named_with_the_start_of_its_value() -> None:
    error = parse_error(FIELDS.replace(b"units=2", b"units=" + b"x" * 50))
    assert isinstance(error, UnreadableFieldError)
    assert (error.name, error.excerpt) == ("units", "x" * 20)
    assert str(error) == f"field units: cannot read {'x' * 20!r}"


def test_an_invalid_argument_is_named_with_its_problem() -> None:
    error = parse_error(b"\xff")
    assert isinstance(error, InvalidArgumentError)
    assert (error.argument, error.problem) == ("fields", Problem.TOO_LONG)
    assert str(error) == "fields: too long or not ASCII"


def test_a_surplus_reply_is_complete_or_not() -> None:
    assert str(SurplusReplyError(complete=True)) == "more than one answer"
    assert str(SurplusReplyError(complete=False)) == "more behind an answer"
