"""The datagram format of the peer link, version 1: the envelope of every message, and the lease message.

All numbers are big-endian::

    version 1 byte | kind 1 | incarnation 6 | number 4 |
        acknowledged incarnation 6 | acknowledged number 4 | count 1 | count 1
    body, in the form of the kind
    CRC-32 of everything before it 4 bytes

The body of leases (`MessageKind.LEASES`; the counts are those of the asks and of the grants)::

    each ask:   volume 4 bytes (CRC-32 of its name) | wanted share of the plan's rate, in 1/250, 1 | hosts 1
    each grant: volume 4 bytes | share of the grantor's own even share, in 1/250, 1

Budgets (`MessageKind.BUDGETS`) have the form of leases and are numbered separately: their names are those of
budgets, and their shares those of everything that the fleet may spend. The body of gossip about backends is
described in gossip_message.py, that of membership in membership_message.py. An instance for which one of them
is switched off counts such messages and drops them, and still accepts leases.

`incarnation` is greater after each start of an instance, `number` after each message of one incarnation to
one receiver. The acknowledged incarnation and number are those of the last message received from the receiver
of this one: a lease runs from the moment at which that message was sent.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

from garnetlanding.peers.errors import PeersError

VERSION = 1
HEADER = struct.Struct(">BB6sI6sIBB")
ASK = struct.Struct(">IBB")
GRANT = struct.Struct(">IB")
CHECKSUM = struct.Struct(">I")
SHARE_STEPS = 250  # a share is sent as a whole number of these steps
MAX_ENTRIES = 255  # asks, or grants, of one message: each count is one byte
ROUNDING_SLACK = 1e-9  # a share that is a whole number of steps but for float error keeps that number


class MessageKind(IntEnum):
    """The second byte of a datagram."""

    LEASES = 1
    GOSSIP = 2  # observations of backends, and administratively disabled ones
    MEMBERSHIP = 3
    BUDGETS = 4


class MessageError(PeersError, ValueError):
    """A datagram that cannot be read.

    The text is one of a few causes, so that dropped messages can be counted by it. `offset` is the position
    in the datagram at which reading stopped, in bytes, where it is known.
    """

    def __init__(self, cause: str, offset: int | None = None) -> None:
        super().__init__(cause)
        self.cause = cause
        self.offset = offset


class QuotaRequest(NamedTuple):
    """What an instance wants of one volume's limit."""

    share: float  # of the plan's rate, 0 to 1
    hosts: int  # instances that the volume's requests come through


class LeasePage(NamedTuple):
    """The asks and grants of one message, by the tag of their volume.

    A grant is the share of the sender's own even share that it leaves to the receiver.
    """

    asks: dict[int, QuotaRequest]
    grants: dict[int, float]


@dataclass(frozen=True, slots=True)
class Envelope:
    """A datagram whose checksum holds; its body is not decoded yet."""

    kind: int  # a `MessageKind`, or one that this version does not know
    incarnation: int
    number: int
    acked_incarnation: int
    acked_number: int
    counts: tuple[int, int]
    body: bytes


@dataclass(frozen=True, slots=True)
class LeaseMessage:
    """A decoded message of leases or of budgets: the fields of the envelope, and those of a `LeasePage`."""

    incarnation: int
    number: int
    acked_incarnation: int = 0
    acked_number: int = 0
    asks: dict[int, QuotaRequest] = field(default_factory=dict)
    grants: dict[int, float] = field(default_factory=dict)


def tag(name: str) -> int:
    """Return the short form of a volume's or a backend's name that datagrams carry.

    Two names of one tag would be treated as one: with a hundred names, that happens once in 900,000 fleets.
    """
    return zlib.crc32(name.encode())


def paginate(asks: dict[int, QuotaRequest], grants: dict[int, float], size: int) -> Iterator[LeasePage]:
    """Divide asks, then grants, into as many pages as it takes for each to fit a datagram of `size` bytes."""
    capacity = size - HEADER.size - CHECKSUM.size
    page = LeasePage({}, {})
    used = 0
    for volume, ask in asks.items():
        if used + ASK.size > capacity or len(page.asks) >= MAX_ENTRIES:
            yield page
            page = LeasePage({}, {})
            used = 0
        page.asks[volume] = ask
        used += ASK.size
    for volume, share in grants.items():
        if used + GRANT.size > capacity or len(page.grants) >= MAX_ENTRIES:
            yield page
            page = LeasePage({}, {})
            used = 0
        page.grants[volume] = share
        used += GRANT.size
    if used:
        yield page


def encode_envelope(envelope: Envelope) -> bytes:
    """Return the datagram of an envelope, checksum included."""
    header = HEADER.pack(
        VERSION,
        envelope.kind,
        envelope.incarnation.to_bytes(6, "big"),
        envelope.number,
        envelope.acked_incarnation.to_bytes(6, "big"),
        envelope.acked_number,
        *envelope.counts,
    )
    return header + envelope.body + CHECKSUM.pack(zlib.crc32(header + envelope.body))


def decode_envelope(data: bytes, max_bytes: int) -> Envelope:
    """Check and split a datagram.

    Raises MessageError where it is longer than `max_bytes`, cut, damaged, or of another version.
    """
    if len(data) > max_bytes:
        raise MessageError("too long", max_bytes)
    if len(data) < HEADER.size + CHECKSUM.size:
        raise MessageError("torn", len(data))
    version, kind, incarnation, number, acked_incarnation, acked_number, *counts = HEADER.unpack_from(data)
    if version != VERSION:
        raise MessageError("other version", 0)
    end = len(data) - CHECKSUM.size
    if CHECKSUM.unpack_from(data, end)[0] != zlib.crc32(data[:end]):
        raise MessageError("torn", end)
    return Envelope(
        kind,
        int.from_bytes(incarnation, "big"),
        number,
        int.from_bytes(acked_incarnation, "big"),
        acked_number,
        (counts[0], counts[1]),
        data[HEADER.size : end],
    )


def encode_leases(message: LeaseMessage, kind: MessageKind = MessageKind.LEASES) -> bytes:
    """Return the datagram of a message of leases or of budgets.

    Asks are rounded up and grants down, so that no more is granted than was meant.
    """
    parts = [
        ASK.pack(volume, min(SHARE_STEPS, -int(-ask.share * SHARE_STEPS // 1)), ask.hosts)
        for volume, ask in message.asks.items()
    ]
    parts += [
        GRANT.pack(volume, int(share * SHARE_STEPS + ROUNDING_SLACK))
        for volume, share in message.grants.items()
    ]
    return encode_envelope(
        Envelope(
            kind,
            message.incarnation,
            message.number,
            message.acked_incarnation,
            message.acked_number,
            (len(message.asks), len(message.grants)),
            b"".join(parts),
        )
    )


def decode_leases(data: bytes, max_bytes: int) -> LeaseMessage:
    """Decode a datagram of leases or of budgets. Raises MessageError."""
    return read_leases(decode_envelope(data, max_bytes))


def read_leases(envelope: Envelope) -> LeaseMessage:
    """Decode the body of leases or of budgets. Raises MessageError."""
    if envelope.kind not in (MessageKind.LEASES, MessageKind.BUDGETS):
        raise MessageError("other kind", 1)
    ask_count, grant_count = envelope.counts
    body = envelope.body
    grants_at = ask_count * ASK.size
    if len(body) != grants_at + grant_count * GRANT.size:
        raise MessageError("torn", HEADER.size + len(body))
    asks: dict[int, QuotaRequest] = {}
    for offset in range(0, grants_at, ASK.size):
        volume, steps, hosts = ASK.unpack_from(body, offset)
        if steps > SHARE_STEPS or not hosts:
            raise MessageError("no share", HEADER.size + offset)
        asks[volume] = QuotaRequest(steps / SHARE_STEPS, hosts)
    grants: dict[int, float] = {}
    for offset in range(grants_at, len(body), GRANT.size):
        volume, steps = GRANT.unpack_from(body, offset)
        if steps > SHARE_STEPS:
            raise MessageError("no share", HEADER.size + offset)
        grants[volume] = steps / SHARE_STEPS
    return LeaseMessage(
        envelope.incarnation,
        envelope.number,
        envelope.acked_incarnation,
        envelope.acked_number,
        asks,
        grants,
    )
