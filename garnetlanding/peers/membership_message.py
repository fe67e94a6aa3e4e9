"""The body of messages about instances (`MessageKind.MEMBERSHIP` of the datagrams in codec.py).

All numbers are big-endian::

    digest of the sender's table 8 bytes
    each record: instance's number 2 bytes | incarnation 6 | terminated 1 | length of the address 1 |
        the address | port 2

The first record is the sender's own: an instance that nobody knows yet introduces itself by it. The first
count of the envelope is that of the records, the second is 1 if the sender has joined.
"""

from __future__ import annotations

import ipaddress
import struct
from collections.abc import Sequence
from dataclasses import dataclass

from garnetlanding.peers.codec import CHECKSUM, HEADER, Envelope, MessageError, MessageKind
from garnetlanding.peers.disabled_backends import DIGEST
from garnetlanding.peers.membership import InstanceRecord
from garnetlanding.runtime.stream import parse_address

RECORD = struct.Struct(">H6sBB")
PORT = struct.Struct(">H")
IPV4_BYTES = 4
IPV6_BYTES = 16


@dataclass(frozen=True, slots=True)
class MembershipMessage:
    """What one datagram carries: the sender's record, and some of the others of its table."""

    digest: bytes
    records: tuple[InstanceRecord, ...]
    joined: bool


def paginate(records: Sequence[InstanceRecord], size: int, max_pages: int) -> list[list[InstanceRecord]]:
    """Divide records into up to `max_pages` pages for datagrams of `size` bytes.

    Each page begins with the first record, the sender's own. What does not fit into that many is left out.
    """
    own = records[0]
    pages = [[own]]
    capacity = size - HEADER.size - CHECKSUM.size - DIGEST - _encoded_size(own)
    left = capacity
    for record in records[1:]:
        if _encoded_size(record) > left:
            if len(pages) == max_pages:
                break
            pages.append([own])
            left = capacity
        pages[-1].append(record)
        left -= _encoded_size(record)
    return pages


def _encoded_size(record: InstanceRecord) -> int:
    address_bytes = IPV6_BYTES if record.address.startswith("[") else IPV4_BYTES
    return RECORD.size + address_bytes + PORT.size


def to_envelope(
    message: MembershipMessage, incarnation: int, number: int, acked_incarnation: int, acked_number: int
) -> Envelope:
    """Return the envelope that carries a message."""
    parts = [message.digest]
    for record in message.records:
        host, port = parse_address(record.address)
        address = ipaddress.ip_address(host).packed
        fixed_part = RECORD.pack(
            record.instance, record.incarnation.to_bytes(6, "big"), record.terminated, len(address)
        )
        parts.append(fixed_part + address + PORT.pack(port))
    return Envelope(
        MessageKind.MEMBERSHIP,
        incarnation,
        number,
        acked_incarnation,
        acked_number,
        (len(message.records), int(message.joined)),
        b"".join(parts),
    )


def read(envelope: Envelope) -> MembershipMessage:
    """Decode the body of an envelope about instances. Raises MessageError."""
    if envelope.kind != MessageKind.MEMBERSHIP:
        raise MessageError("other kind", 1)
    body = envelope.body
    record_count, joined = envelope.counts
    records: list[InstanceRecord] = []
    offset = DIGEST
    for _ in range(record_count):
        record, offset = _read_record(body, offset)
        records.append(record)
    if offset != len(body) or not records or joined > 1:
        raise MessageError("torn", HEADER.size + offset)
    return MembershipMessage(body[:DIGEST], tuple(records), bool(joined))


def _read_record(body: bytes, offset: int) -> tuple[InstanceRecord, int]:
    """Return the record at an offset of the body, and the offset behind it."""
    if len(body) < offset + RECORD.size:
        raise MessageError("torn", HEADER.size + offset)
    instance, incarnation, terminated, length = RECORD.unpack_from(body, offset)
    address_at = offset + RECORD.size
    port_at = address_at + length
    end = port_at + PORT.size
    if length not in (IPV4_BYTES, IPV6_BYTES) or len(body) < end or terminated > 1:
        raise MessageError("no record", HEADER.size + offset)
    host = str(ipaddress.ip_address(body[address_at:port_at]))
    (port,) = PORT.unpack_from(body, port_at)
    address = f"[{host}]:{port}" if length == IPV6_BYTES else f"{host}:{port}"
    record = InstanceRecord(instance, int.from_bytes(incarnation, "big"), bool(terminated), address)
    return record, end
