"""A client's command as the platform's protocol words it, and the same command as a brick gets it."""

from __future__ import annotations

import re
from dataclasses import dataclass

from garnetlanding.core.ports import RequestSpec
from garnetlanding.limits import MS, Limits
from garnetlanding.resp import codec

WHOLE = re.compile(r"-?[0-9]{1,12}")
NUMBER = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
NAME = re.compile(rb"[!-~]+")


class BadRequest(ValueError):
    """A command that cannot be taken; the text says why."""


@dataclass(frozen=True, slots=True)
class Command:
    """Passed on to the brick unchanged but for `d`."""

    words: tuple[bytes, ...]

    def for_brick(self, left_us: int) -> bytes:
        left_ms = max(1, left_us // MS)
        pairs = [b"d=%d" % left_ms if p.startswith(b"d=") else p for p in self.words[3].split(b",")]
        return codec.command([*self.words[:3], b",".join(pairs), *self.words[4:]])


def _whole(pairs: dict[str, str], name: str, least: int) -> int:
    text = pairs.get(name, "")
    if not WHOLE.fullmatch(text):
        raise BadRequest(f"field {name}: cannot read {text[:20]!r}")
    value = int(text)
    if value < least:
        raise BadRequest(f"field {name}: out of range")
    return value


def _number(pairs: dict[str, str], name: str) -> float:
    text = pairs.get(name, "")
    if not NUMBER.fullmatch(text):
        raise BadRequest(f"field {name}: cannot read {text[:20]!r}")
    value = float(text)
    if not value:
        raise BadRequest(f"field {name}: out of range")
    return value


def _name(word: bytes, what: str, limits: Limits) -> str:
    if not NAME.fullmatch(word) or len(word) > limits.name_bytes:
        raise BadRequest(f"{what}: missing or not a name")
    return word.decode("ascii")


def _fields(word: bytes, limits: Limits) -> dict[str, str]:
    if len(word) > limits.line_bytes or not word.isascii():
        raise BadRequest("fields: too long or not ASCII")
    pairs: dict[str, str] = {}
    for pair in word.decode("ascii").split(","):
        name, _, value = pair.partition("=")
        if name in pairs:
            raise BadRequest(f"field {name[:20]}: there twice")  # a brick might take the other one
        pairs[name] = value
    return pairs


def read_request(words: list[bytes], limits: Limits) -> RequestSpec:
    is_write = words[0].upper() == b"BLK.WRITE"
    if len(words) != (5 if is_write else 4):
        raise BadRequest("wrong number of arguments")
    key, _ = _name(words[1], "piece", limits), _name(words[2], "id", limits)
    pairs = _fields(words[3], limits)
    for name in ("c", "t"):
        if not pairs.get(name):
            raise BadRequest(f"field {name}: missing")
    return RequestSpec(
        cls=pairs["c"],
        plan=pairs["t"],
        volume=_name(pairs.get("volume", "").encode(), "field volume", limits),
        key=key,
        units=_number(pairs, "units"),
        cell=_whole(pairs, "shard", -1),
        timeout_us=min(_whole(pairs, "d", 0) * MS, limits.client_wait_us),
        volume_hosts=_whole(pairs, "hosts", 1),
        work=Command(tuple(words)),
        is_retry=pairs.get("r") == "1",
        is_write=is_write,
        held_bytes=sum(map(len, words)),
    )
