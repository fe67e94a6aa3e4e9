"""Parses request commands of clients and encodes them for backends.

A command is `BLK.READ key id fields` or `BLK.WRITE key id fields body`. `fields` is a list `name=value,...`:

======== =====================================================
c        name of the request's class
t        name of the volume's plan
volume   volume of the request
units    cost of the request, in units of the plan's rate
shard    cell of the object; -1 for a new object
d        time until the client gives up, in ms
hosts    number of instances that serve the volume
r        1 if the request is a retry by the client
======== =====================================================

Other fields are forwarded to the backend as they are.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from garnetlanding.core.ports import RequestSpec
from garnetlanding.limits import MS, Limits
from garnetlanding.resp import codec
from garnetlanding.resp.errors import (
    ArgumentCountError,
    InvalidArgumentError,
    InvalidFieldError,
    Problem,
    UnreadableFieldError,
)

_INTEGER = re.compile(r"-?[0-9]{1,12}")
_NUMBER = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
_NAME = re.compile(rb"[!-~]+")

_READ_ARGUMENTS = 4
_WRITE_ARGUMENTS = 5
_EXCERPT_CHARACTERS = 20
_REQUIRED_FIELDS = ("c", "t")
_NEW_OBJECT_SHARD = -1


@dataclass(frozen=True, slots=True)
class Command:
    """A client's command to forward to a backend, with field `d` set to the remaining time."""

    arguments: tuple[bytes, ...]

    @property
    def request_id(self) -> bytes:
        """The request id chosen by the client."""
        return self.arguments[2]

    def encode(self, remaining_us: int) -> bytes:
        """Encode the command with the remaining time in field `d`, in whole milliseconds, at least 1."""
        remaining_ms = max(1, remaining_us // MS)
        fields = [
            b"d=%d" % remaining_ms if field.startswith(b"d=") else field
            for field in self.arguments[3].split(b",")
        ]
        return codec.encode_command([*self.arguments[:3], b",".join(fields), *self.arguments[4:]])


def parse_request(arguments: list[bytes], limits: Limits) -> RequestSpec:
    """Parse a command. Raises `InvalidCommandError` if an argument or a field is invalid."""
    is_write = arguments[0].upper() == b"BLK.WRITE"
    if len(arguments) != (_WRITE_ARGUMENTS if is_write else _READ_ARGUMENTS):
        raise ArgumentCountError
    key = _parse_name(arguments[1], "piece", limits)
    _parse_name(arguments[2], "id", limits)
    fields = _parse_fields(arguments[3], limits)
    for name in _REQUIRED_FIELDS:
        if not fields.get(name):
            raise InvalidFieldError(name, Problem.MISSING)
    return RequestSpec(
        request_class=fields["c"],
        plan=fields["t"],
        volume=_parse_name(fields.get("volume", "").encode(), "field volume", limits),
        key=key,
        units=_parse_number(fields, "units"),
        cell=_parse_cell(fields),
        timeout_us=min(_parse_integer(fields, "d", 0) * MS, limits.max_deadline_us),
        serving_instances=_parse_integer(fields, "hosts", 1),
        operation=Command(tuple(arguments)),
        is_retry=fields.get("r") == "1",
        is_write=is_write,
        held_bytes=sum(map(len, arguments)),
    )


def _parse_fields(argument: bytes, limits: Limits) -> dict[str, str]:
    if len(argument) > limits.line_bytes or not argument.isascii():
        raise InvalidArgumentError("fields", Problem.TOO_LONG)
    fields: dict[str, str] = {}
    for field in argument.decode("ascii").split(","):
        name, _, value = field.partition("=")
        if name in fields:
            # Rejected, because the backend might use the other value.
            raise InvalidFieldError(name[:_EXCERPT_CHARACTERS], Problem.DUPLICATE)
        fields[name] = value
    return fields


def _parse_name(argument: bytes, label: str, limits: Limits) -> str:
    """Parse a name; `label` identifies the argument in the error message."""
    if not _NAME.fullmatch(argument) or len(argument) > limits.name_bytes:
        raise InvalidArgumentError(label, Problem.MISSING_OR_INVALID)
    return argument.decode("ascii")


def _parse_integer(fields: dict[str, str], name: str, minimum: int) -> int:
    text = fields.get(name, "")
    if not _INTEGER.fullmatch(text):
        raise UnreadableFieldError(name, text[:_EXCERPT_CHARACTERS])
    value = int(text)
    if value < minimum:
        raise InvalidFieldError(name, Problem.OUT_OF_RANGE)
    return value


def _parse_cell(fields: dict[str, str]) -> int | None:
    shard = _parse_integer(fields, "shard", _NEW_OBJECT_SHARD)
    return None if shard == _NEW_OBJECT_SHARD else shard


def _parse_number(fields: dict[str, str], name: str) -> float:
    text = fields.get(name, "")
    if not _NUMBER.fullmatch(text):
        raise UnreadableFieldError(name, text[:_EXCERPT_CHARACTERS])
    value = float(text)
    if not value:
        raise InvalidFieldError(name, Problem.OUT_OF_RANGE)
    return value
