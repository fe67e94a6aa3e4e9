"""Encoding of the body of membership messages (`MessageKind.MEMBERSHIP` in envelope.py).

All numbers are big-endian::

    digest of the sender's membership table 8 bytes
    each record: instance's number 2 bytes | incarnation 6 | terminated 1 | length of the address 1 |
        the address | port 2

The first record is the sender's own, so that receivers learn of an instance that is unknown to them. The
first count of the envelope is the number of records; the second is 1 if the sender has joined the group.
"""

from __future__ import annotations

import ipaddress
import struct
from collections.abc import Sequence
from dataclasses import dataclass

from garnetlanding.peers.disabled_backends import DIGEST_BYTES
from garnetlanding.peers.envelope import CHECKSUM, HEADER, Envelope, MessageKind
from garnetlanding.peers.errors import MessageError, MessageFault
from garnetlanding.peers.membership_table import InstanceRecord
from garnetlanding.runtime.stream import parse_address

RECORD_HEADER = struct.Struct(">H6sBB")
PORT = struct.Struct(">H")
INCARNATION_BYTES = 6
IPV4_BYTES = 4
IPV6_BYTES = 16


@dataclass(frozen=True, slots=True)
class MembershipMessage:
    """The content of one datagram: the sender's own record, then other records of its table."""

    digest: bytes
    records: tuple[InstanceRecord, ...]
    joined: bool


def paginate(records: Sequence[InstanceRecord], size: int, max_pages: int) -> list[list[InstanceRecord]]:
    """Divide records into up to `max_pages` pages for datagrams of `size` bytes.

    Each page begins with `records[0]`, the sender's own record. Records that do not fit are omitted.
    """
    own = records[0]
    pages = [[own]]
    capacity = size - HEADER.size - CHECKSUM.size - DIGEST_BYTES - _encoded_size(own)
    available = capacity
    for record in records[1:]:
        if _encoded_size(record) > available:
            if len(pages) == max_pages:
                break
            pages.append([own])
            available = capacity
        pages[-1].append(record)
        available -= _encoded_size(record)
    return pages


def _encoded_size(record: InstanceRecord) -> int:
    address_bytes = IPV6_BYTES if record.address.startswith("[") else IPV4_BYTES
    return RECORD_HEADER.size + address_bytes + PORT.size


def to_envelope(
    message: MembershipMessage, incarnation: int, number: int, acked_incarnation: int, acked_number: int
) -> Envelope:
    """Encode a message into an envelope."""
    records = [_encode_record(record) for record in message.records]
    return Envelope(
        MessageKind.MEMBERSHIP,
        incarnation,
        number,
        acked_incarnation,
        acked_number,
        (len(message.records), int(message.joined)),
        b"".join([message.digest, *records]),
    )


def _encode_record(record: InstanceRecord) -> bytes:
    host, port = parse_address(record.address)
    address = ipaddress.ip_address(host).packed
    incarnation = record.incarnation.to_bytes(INCARNATION_BYTES, "big")
    fixed_fields = RECORD_HEADER.pack(record.instance, incarnation, record.terminated, len(address))
    return fixed_fields + address + PORT.pack(port)


def from_envelope(envelope: Envelope) -> MembershipMessage:
    """Decode the body of a membership message. Raises MessageError."""
    if envelope.kind != MessageKind.MEMBERSHIP:
        raise MessageError(MessageFault.UNEXPECTED_KIND, 1)
    body = envelope.body
    record_count, joined = envelope.counts
    records: list[InstanceRecord] = []
    offset = DIGEST_BYTES
    for _ in range(record_count):
        record, offset = _read_record(body, offset)
        records.append(record)
    if offset != len(body) or not records or joined > 1:
        raise MessageError(MessageFault.TRUNCATED, HEADER.size + offset)
    return MembershipMessage(body[:DIGEST_BYTES], tuple(records), joined=bool(joined))


def _read_record(body: bytes, offset: int) -> tuple[InstanceRecord, int]:
    """Decode the record at an offset; return it and the offset after it. Raises MessageError."""
    if len(body) < offset + RECORD_HEADER.size:
        raise MessageError(MessageFault.TRUNCATED, HEADER.size + offset)
    instance, incarnation, terminated, length = RECORD_HEADER.unpack_from(body, offset)
    address_at = offset + RECORD_HEADER.size
    port_at = address_at + length
    end = port_at + PORT.size
    if length not in (IPV4_BYTES, IPV6_BYTES) or len(body) < end or terminated > 1:
        raise MessageError(MessageFault.INVALID_INSTANCE_RECORD, HEADER.size + offset)
    host = str(ipaddress.ip_address(body[address_at:port_at]))
    (port,) = PORT.unpack_from(body, port_at)
    address = f"[{host}]:{port}" if length == IPV6_BYTES else f"{host}:{port}"
    record = InstanceRecord(
        instance, int.from_bytes(incarnation, "big"), terminated=bool(terminated), address=address
    )
    return record, end
