"""Encoding of the envelope of every datagram between instances, version 1.

All numbers are big-endian::

    version 1 byte | kind 1 | incarnation 6 | number 4 |
        acknowledged incarnation 6 | acknowledged number 4 | count 1 | count 1
    body, whose encoding depends on the kind
    CRC-32 of everything before it 4 bytes

The bodies are described in lease_message.py (`MessageKind.LEASES` and `BUDGETS`), gossip_message.py and
membership_message.py; the meaning of the two counts depends on the kind. An instance counts and drops
messages of a kind that it has disabled. Leases cannot be disabled.

`incarnation` increases with each start of an instance, `number` with each message of one incarnation to one
receiver. The acknowledged incarnation and number identify the last message that the sender has received from
the receiver. A lease runs from the time at which that acknowledged message was sent.
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass
from enum import IntEnum

from garnetlanding.peers.errors import MessageError, MessageFault

VERSION = 1
HEADER = struct.Struct(">BB6sI6sIBB")
CHECKSUM = struct.Struct(">I")
INCARNATION_BYTES = 6


class MessageKind(IntEnum):
    """The second byte of a datagram."""

    LEASES = 1
    GOSSIP = 2  # evidence about backends, and administratively disabled backends
    MEMBERSHIP = 3
    BUDGETS = 4


@dataclass(frozen=True, slots=True)
class Envelope:
    """A datagram with a valid checksum, whose body is not decoded yet."""

    kind: int  # a `MessageKind`, or a value that this version does not know
    incarnation: int
    number: int
    acked_incarnation: int
    acked_number: int
    counts: tuple[int, int]
    body: bytes


def encode_envelope(envelope: Envelope) -> bytes:
    """Encode an envelope into a datagram, including the checksum."""
    header = HEADER.pack(
        VERSION,
        envelope.kind,
        envelope.incarnation.to_bytes(INCARNATION_BYTES, "big"),
        envelope.number,
        envelope.acked_incarnation.to_bytes(INCARNATION_BYTES, "big"),
        envelope.acked_number,
        *envelope.counts,
    )
    return header + envelope.body + CHECKSUM.pack(zlib.crc32(header + envelope.body))


def decode_envelope(data: bytes, max_bytes: int) -> Envelope:
    """Validate a datagram and decode its header.

    Raises MessageError if it is longer than `max_bytes`, truncated, damaged, or of another version.
    """
    if len(data) > max_bytes:
        raise MessageError(MessageFault.TOO_LONG, max_bytes)
    if len(data) < HEADER.size + CHECKSUM.size:
        raise MessageError(MessageFault.TRUNCATED, len(data))
    version, kind, incarnation, number, acked_incarnation, acked_number, *counts = HEADER.unpack_from(data)
    if version != VERSION:
        raise MessageError(MessageFault.UNKNOWN_VERSION, 0)
    end = len(data) - CHECKSUM.size
    if CHECKSUM.unpack_from(data, end)[0] != zlib.crc32(data[:end]):
        raise MessageError(MessageFault.TRUNCATED, end)
    return Envelope(
        kind,
        int.from_bytes(incarnation, "big"),
        number,
        int.from_bytes(acked_incarnation, "big"),
        acked_number,
        (counts[0], counts[1]),
        data[HEADER.size : end],
    )
