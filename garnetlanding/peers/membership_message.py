"""The form of words about heads (kind 3 of the datagrams in codec.py). Big-endian:

    digest of the sender's table 8 bytes
    each record: head's number 2 bytes | life 6 | gone 1 | length of the address 1 | the address | port 2

The first record is the sender's own: a head that nobody knows yet introduces itself by it. The envelope's
first count is that of the records, the second 1 if the sender has joined.
"""

from __future__ import annotations

import ipaddress
import struct
from collections.abc import Sequence
from dataclasses import dataclass

from garnetlanding.peers.codec import HEAD, SUM, Envelope, MessageError, MessageKind
from garnetlanding.peers.disabled_backends import DIGEST
from garnetlanding.peers.membership import Record
from garnetlanding.runtime.stream import parse_address

RECORD, PORT = struct.Struct(">H6sBB"), struct.Struct(">H")
LONGEST_ADDRESS = 16


@dataclass(frozen=True, slots=True)
class MembershipMessage:
    digest: bytes
    records: tuple[Record, ...]
    joined: bool


def pages(records: Sequence[Record], size: int, most: int) -> list[list[Record]]:
    """What is to be told, in up to `most` datagrams of that size: each begins with the first record."""
    mine, found = records[0], [[records[0]]]
    room = whole = size - HEAD.size - SUM.size - DIGEST - _size(mine)
    for record in records[1:]:
        if _size(record) > room:
            if len(found) == most:
                break
            found.append([mine])
            room = whole
        found[-1].append(record)
        room -= _size(record)
    return found


def _size(record: Record) -> int:
    return RECORD.size + (LONGEST_ADDRESS if record.address.startswith("[") else 4) + PORT.size


def to_envelope(told: MembershipMessage, life: int, number: int, re_life: int, re_number: int) -> Envelope:
    parts = [told.digest]
    for record in told.records:
        host, port = parse_address(record.address)
        packed = ipaddress.ip_address(host).packed
        parts.append(
            RECORD.pack(record.head, record.life.to_bytes(6, "big"), record.gone, len(packed))
            + packed
            + PORT.pack(port)
        )
    return Envelope(
        MessageKind.MEMBERSHIP,
        life,
        number,
        re_life,
        re_number,
        (len(told.records), told.joined),
        b"".join(parts),
    )


def read(e: Envelope) -> MembershipMessage:
    """Raises MessageError."""
    if e.kind != MessageKind.MEMBERSHIP:
        raise MessageError("other kind")
    at, records = DIGEST, []
    for _ in range(e.counts[0]):
        if len(e.body) < at + RECORD.size:
            raise MessageError("torn")
        head, life, gone, length = RECORD.unpack_from(e.body, at)
        at += RECORD.size
        packed, end = e.body[at : at + length], at + length + PORT.size
        if length not in (4, LONGEST_ADDRESS) or len(e.body) < end or gone > 1:
            raise MessageError("no record")
        host = str(ipaddress.ip_address(packed))
        port = PORT.unpack_from(e.body, at + length)[0]
        records.append(
            Record(
                head,
                int.from_bytes(life, "big"),
                bool(gone),
                f"[{host}]:{port}" if length > 4 else f"{host}:{port}",
            )
        )
        at = end
    if at != len(e.body) or not records or e.counts[1] > 1:
        raise MessageError("torn")
    return MembershipMessage(e.body[:DIGEST], tuple(records), bool(e.counts[1]))
