"""The form of the audit's files, built and read as bytes (docs/design/audit.md): no file is touched here."""

from __future__ import annotations

import json
import struct
from collections.abc import Sequence
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

from crc32c import crc32c

from garnetlanding.audit.limits import LIMITS, AuditLimits

MAGIC = b"GLAUDIT1"
HEAD = struct.Struct(">II")  # length of what follows, and its CRC32C
HASH = 16  # bytes
FIRST = bytes(HASH)  # before a head's first record


class CorruptSegmentError(ValueError):
    """What cannot be read though it stands whole in the file; the text names file and offset. `before`: what
    stands before it."""

    before: Sequence[Segment] = ()


@dataclass(slots=True)
class Segment:
    """What one file holds. `torn_at`: where a record begins that was cut short at the end; -1: none was."""

    head: str
    life: int
    number: int
    before: bytes  # hash of the last record of the segment before
    records: list[dict[str, Any]] = field(default_factory=list)
    last: bytes = FIRST  # hash of the last record
    torn_at: int = -1


def chain(before: bytes, payload: bytes) -> bytes:
    return blake2b(before + payload, digest_size=HASH).digest()


def _framed(body: bytes) -> bytes:
    return HEAD.pack(len(body), crc32c(body)) + body


def begin(head: str, life: int, number: int, before: bytes) -> bytes:
    """A segment's first bytes."""
    told = {"head": head, "life": life, "segment": number, "before": before.hex()}
    return MAGIC + _framed(json.dumps(told, sort_keys=True).encode())


def record(before: bytes, payload: dict[str, Any]) -> tuple[bytes, bytes]:
    """A record's bytes, and its hash."""
    text = json.dumps(payload, sort_keys=True, separators=(",", ":")).encode()
    own = chain(before, text)
    return _framed(own + text), own


def read(name: str, data: bytes, last: bool, limits: AuditLimits = LIMITS) -> Segment:
    """`name`: of the file, for what is said of it. `last`: of its head; only there may a record be cut short.
    Raises Damage."""
    if not data.startswith(MAGIC):
        raise CorruptSegmentError(f"{name}: offset 0: not a segment of an audit")
    at = len(MAGIC)
    body, at = _body(name, data, at, limits)
    if body is None:
        raise CorruptSegmentError(f"{name}: offset {at}: the header is cut short")
    try:
        told = json.loads(body)
        found = Segment(
            str(told["head"]), int(told["life"]), int(told["segment"]), bytes.fromhex(told["before"])
        )
    except (ValueError, KeyError, TypeError):
        raise CorruptSegmentError(f"{name}: offset {len(MAGIC)}: the header makes no sense") from None
    found.last = found.before
    try:
        _records(name, data, at, last, limits, found)
    except CorruptSegmentError as problem:
        problem.before = (found,)
        raise
    return found


def _records(name: str, data: bytes, at: int, last: bool, limits: AuditLimits, found: Segment) -> None:
    while at < len(data):
        begins = at
        body, at = _body(name, data, at, limits)
        if body is None:
            if not last:
                raise CorruptSegmentError(f"{name}: offset {begins}: cut short, and another segment follows")
            found.torn_at = begins
            return
        own, text = body[:HASH], body[HASH:]
        if len(own) < HASH or chain(found.last, text) != own:
            raise CorruptSegmentError(f"{name}: offset {begins}: does not follow on the record before it")
        try:
            payload = json.loads(text)
        except ValueError:
            raise CorruptSegmentError(f"{name}: offset {begins}: no JSON") from None
        if not isinstance(payload, dict):
            raise CorruptSegmentError(f"{name}: offset {begins}: no record")
        found.records.append(payload)
        found.last = own


def _body(name: str, data: bytes, at: int, limits: AuditLimits) -> tuple[bytes | None, int]:
    """The bytes of the frame that begins there, and where the next one does; None where the file ends in
    it."""
    if len(data) < at + HEAD.size:
        return None, at
    length, total = HEAD.unpack_from(data, at)
    end = at + HEAD.size + length
    body = data[at + HEAD.size : end]
    if end <= len(data) and crc32c(body) == total:
        return body, end
    if length > limits.record_bytes:
        raise CorruptSegmentError(f"{name}: offset {at}: a length of {length}")
    if end <= len(data):
        raise CorruptSegmentError(f"{name}: offset {at}: the sum does not hold")
    # Its end is missing, or its length is wrong: then records that are whole stand behind it.
    if any(_whole(data, later) for later in range(at + 1, len(data) - HEAD.size)):
        raise CorruptSegmentError(f"{name}: offset {at}: does not read, and records stand behind it")
    return None, at


def _whole(data: bytes, at: int) -> bool:
    length, total = HEAD.unpack_from(data, at)
    end = at + HEAD.size + length
    return length > HASH and end <= len(data) and bool(crc32c(data[at + HEAD.size : end]) == total)
