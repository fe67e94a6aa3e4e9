"""Encoding of the body of gossip about backends (`MessageKind.GOSSIP` in envelope.py).

All numbers are big-endian::

    digest of the sender's table of administratively disabled backends 8 bytes
    each evidence: kind 1 byte | backend 4 (CRC-32 of its name) | uptime of the backend in 0.1 s 2 | count 1 |
        age of the evidence in ms 2
    each record: version 6 bytes | number of the instance that made the change 2 | disabled 1 |
        length of the name 1 | the backend's name

The first count of the envelope is the number of evidence entries, the second the number of records.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from garnetlanding.peers.disabled_backends import DIGEST_BYTES, DisableRecord
from garnetlanding.peers.envelope import CHECKSUM, HEADER, Envelope, MessageKind
from garnetlanding.peers.errors import MessageError, MessageFault

EVIDENCE = struct.Struct(">BIHBH")
RECORD_HEADER = struct.Struct(">6sHBB")
VERSION_BYTES = 6
MAX_UPTIME = 0xFFFF  # in units of 0.1 s; the uptime is at least that long, or unknown
MAX_COUNT = 0xFF
MAX_AGE_MS = 0xFFFF


class EvidenceKind(IntEnum):
    """A condition of a backend that an instance has observed; the values appear in datagrams."""

    UNREACHABLE = 1  # several consecutive connections refused
    UNRESPONSIVE = 2  # requests in flight without a response
    SLOW = 3
    OVERLOADED = 4  # several consecutive requests rejected
    RECOVERED = 5  # responded after being unreachable or unresponsive

    @property
    def label(self) -> str:
        """The name of the kind in the operator API and in the history."""
        return _LABELS[self]


_LABELS = {
    EvidenceKind.UNREACHABLE: "dead",
    EvidenceKind.UNRESPONSIVE: "silent",
    EvidenceKind.SLOW: "slow",
    EvidenceKind.OVERLOADED: "full",
    EvidenceKind.RECOVERED: "cold",
}


@dataclass(frozen=True, slots=True)
class Evidence:
    """An instance's observation of one backend."""

    kind: EvidenceKind
    backend_tag: int  # `name_tag` of its name
    uptime: int  # of its process, in units of 0.1 s; at most MAX_UPTIME
    count: int  # of the events observed
    age_ms: int  # of the last of these events, rounded up


@dataclass(frozen=True, slots=True)
class GossipMessage:
    """The content of one datagram: evidence, and records if the receiver's table differs."""

    digest: bytes  # of the sender's table of disabled backends
    evidence: tuple[Evidence, ...] = ()
    records: tuple[DisableRecord, ...] = ()


class FittingCounts(NamedTuple):
    """The numbers of evidence entries and of records that fit into one datagram."""

    evidence: int
    records: int


def count_fitting(evidence: Sequence[Evidence], records: Sequence[DisableRecord], size: int) -> FittingCounts:
    """Return how many leading entries of each sequence fit into a datagram of `size` bytes.

    Evidence takes precedence over records.
    """
    available = size - HEADER.size - CHECKSUM.size - DIGEST_BYTES
    evidence_count = min(len(evidence), available // EVIDENCE.size)
    available -= evidence_count * EVIDENCE.size
    record_count = 0
    for record in records:
        available -= RECORD_HEADER.size + len(record.backend.encode())
        if available < 0:
            break
        record_count += 1
    return FittingCounts(evidence_count, record_count)


def to_envelope(
    message: GossipMessage, incarnation: int, number: int, acked_incarnation: int, acked_number: int
) -> Envelope:
    """Encode a message into an envelope."""
    evidence = [_encode_evidence(entry) for entry in message.evidence]
    records = [_encode_record(record) for record in message.records]
    return Envelope(
        MessageKind.GOSSIP,
        incarnation,
        number,
        acked_incarnation,
        acked_number,
        (len(message.evidence), len(message.records)),
        b"".join([message.digest, *evidence, *records]),
    )


def _encode_evidence(evidence: Evidence) -> bytes:
    return EVIDENCE.pack(
        evidence.kind,
        evidence.backend_tag,
        evidence.uptime,
        min(evidence.count, MAX_COUNT),
        min(evidence.age_ms, MAX_AGE_MS),
    )


def _encode_record(record: DisableRecord) -> bytes:
    name = record.backend.encode()
    version = record.version.to_bytes(VERSION_BYTES, "big")
    return RECORD_HEADER.pack(version, record.instance, record.disabled, len(name)) + name


def from_envelope(envelope: Envelope) -> GossipMessage:
    """Decode the body of a gossip message. Raises MessageError."""
    evidence_count, record_count = envelope.counts
    body = envelope.body
    records_at = DIGEST_BYTES + evidence_count * EVIDENCE.size
    if len(body) < records_at:
        raise MessageError(MessageFault.TRUNCATED, HEADER.size + len(body))
    evidence = [_read_evidence(body, offset) for offset in range(DIGEST_BYTES, records_at, EVIDENCE.size)]
    records: list[DisableRecord] = []
    offset = records_at
    for _ in range(record_count):
        record, offset = _read_record(body, offset)
        records.append(record)
    if offset != len(body):
        raise MessageError(MessageFault.TRUNCATED, HEADER.size + offset)
    return GossipMessage(body[:DIGEST_BYTES], tuple(evidence), tuple(records))


def _read_evidence(body: bytes, offset: int) -> Evidence:
    kind, backend_tag, uptime, count, age_ms = EVIDENCE.unpack_from(body, offset)
    if not EvidenceKind.UNREACHABLE <= kind <= EvidenceKind.RECOVERED:
        raise MessageError(MessageFault.INVALID_EVIDENCE, HEADER.size + offset)
    return Evidence(EvidenceKind(kind), backend_tag, uptime, count, age_ms)


def _read_record(body: bytes, offset: int) -> tuple[DisableRecord, int]:
    """Decode the record at an offset; return it and the offset after it. Raises MessageError."""
    if len(body) < offset + RECORD_HEADER.size:
        raise MessageError(MessageFault.TRUNCATED, HEADER.size + offset)
    version, instance, disabled, length = RECORD_HEADER.unpack_from(body, offset)
    name_at = offset + RECORD_HEADER.size
    name = body[name_at : name_at + length]
    if len(name) != length or not name.isascii() or not name or disabled > 1:
        raise MessageError(MessageFault.INVALID_DISABLE_RECORD, HEADER.size + offset)
    record = DisableRecord(name.decode(), int.from_bytes(version, "big"), instance, disabled=bool(disabled))
    return record, name_at + length
