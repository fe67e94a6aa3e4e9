"""A client's request command: parsed for the request engine, and encoded for the backend that serves it.

A command is `BLK.READ key id fields` or `BLK.WRITE key id fields body`. `fields` is a list `name=value,...`:

======== =====================================================
c        class of the request
t        tenant's plan
volume   volume that it belongs to
units    what it costs, in units of the plan's rate
shard    shard of the object; -1 for a new object
d        how long the client waits from now on, in milliseconds
hosts    how many hosts use the volume
r        1 where the client has sent the request before
======== =====================================================

Other fields pass on to the backend as they are.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from garnetlanding.core.ports import RequestSpec
from garnetlanding.limits import MS, Limits
from garnetlanding.resp import codec
from garnetlanding.resp.errors import InvalidCommandError

_INTEGER = re.compile(r"-?[0-9]{1,12}")
_NUMBER = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
_NAME = re.compile(rb"[!-~]+")

_READ_ARGUMENTS = 4
_WRITE_ARGUMENTS = 5
_EXCERPT_CHARACTERS = 20
_REQUIRED_FIELDS = ("c", "t")


@dataclass(frozen=True, slots=True)
class Command:
    """What a backend is sent: the client's command, unchanged but for the time left (field `d`)."""

    arguments: tuple[bytes, ...]

    @property
    def request_id(self) -> bytes:
        """The client's id of the request."""
        return self.arguments[2]

    def encode(self, remaining_us: int) -> bytes:
        """Return the command's bytes for a client that waits `remaining_us` longer; `d` is at least 1 ms."""
        remaining_ms = max(1, remaining_us // MS)
        fields = [
            b"d=%d" % remaining_ms if field.startswith(b"d=") else field
            for field in self.arguments[3].split(b",")
        ]
        return codec.command([*self.arguments[:3], b",".join(fields), *self.arguments[4:]])


def read_request(arguments: list[bytes], limits: Limits) -> RequestSpec:
    """Parse a command. Raises `InvalidCommandError`, which names the argument or the field."""
    is_write = arguments[0].upper() == b"BLK.WRITE"
    if len(arguments) != (_WRITE_ARGUMENTS if is_write else _READ_ARGUMENTS):
        raise InvalidCommandError("wrong number of arguments")
    key = _read_name(arguments[1], "piece", limits)
    _read_name(arguments[2], "id", limits)
    fields = _read_fields(arguments[3], limits)
    for name in _REQUIRED_FIELDS:
        if not fields.get(name):
            raise InvalidCommandError(f"field {name}: missing")
    return RequestSpec(
        cls=fields["c"],
        plan=fields["t"],
        volume=_read_name(fields.get("volume", "").encode(), "field volume", limits),
        key=key,
        units=_read_number(fields, "units"),
        cell=_read_integer(fields, "shard", -1),
        timeout_us=min(_read_integer(fields, "d", 0) * MS, limits.client_wait_us),
        volume_hosts=_read_integer(fields, "hosts", 1),
        work=Command(tuple(arguments)),
        is_retry=fields.get("r") == "1",
        is_write=is_write,
        held_bytes=sum(map(len, arguments)),
    )


def _read_fields(argument: bytes, limits: Limits) -> dict[str, str]:
    if len(argument) > limits.line_bytes or not argument.isascii():
        raise InvalidCommandError("fields: too long or not ASCII")
    fields: dict[str, str] = {}
    for field in argument.decode("ascii").split(","):
        name, _, value = field.partition("=")
        if name in fields:
            # A backend might take the other one.
            raise InvalidCommandError(f"field {name[:_EXCERPT_CHARACTERS]}: there twice")
        fields[name] = value
    return fields


def _read_name(argument: bytes, what: str, limits: Limits) -> str:
    if not _NAME.fullmatch(argument) or len(argument) > limits.name_bytes:
        raise InvalidCommandError(f"{what}: missing or not a name")
    return argument.decode("ascii")


def _read_integer(fields: dict[str, str], name: str, least: int) -> int:
    text = fields.get(name, "")
    if not _INTEGER.fullmatch(text):
        raise InvalidCommandError(f"field {name}: cannot read {text[:_EXCERPT_CHARACTERS]!r}")
    value = int(text)
    if value < least:
        raise InvalidCommandError(f"field {name}: out of range")
    return value


def _read_number(fields: dict[str, str], name: str) -> float:
    text = fields.get(name, "")
    if not _NUMBER.fullmatch(text):
        raise InvalidCommandError(f"field {name}: cannot read {text[:_EXCERPT_CHARACTERS]!r}")
    value = float(text)
    if not value:
        raise InvalidCommandError(f"field {name}: out of range")
    return value
