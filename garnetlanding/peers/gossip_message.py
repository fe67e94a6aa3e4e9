"""The form of words about servers (kind 2 of the datagrams in codec.py). Big-endian:

    digest of the sender's table of bans 8 bytes
    each evidence: kind 1 byte | server 4 (CRC-32 of its name) | age of its life in 0.1 s 2 | count 1 |
        age of the evidence in ms 2
    each ban: version 6 bytes | head that said it 2 | out 1 | length of the name 1 | the server's name

The envelope's counts are those of evidence and of bans.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum

from garnetlanding.peers.codec import HEAD, SUM, WORDS, Envelope, MessageError
from garnetlanding.peers.disabled_backends import DIGEST, Record

EVIDENCE, BAN = struct.Struct(">BIHBH"), struct.Struct(">6sHBB")
LONG_AGO = 0xFFFF  # a life that began longer ago than can be told
MOST_COUNT, MOST_AGE = 0xFF, 0xFFFF


class Kind(IntEnum):
    """What a head has seen of a server."""

    DEAD = 1  # connects refused in a row
    SILENT = 2  # requests out, and nothing heard
    SLOW = 3
    FULL = 4  # turns away in a row
    COLD = 5  # answers again after it was dead or silent


@dataclass(frozen=True, slots=True)
class Evidence:
    kind: Kind
    server: int  # `tag` of its name
    life: int  # how long ago its process started, in 0.1 s; LONG_AGO
    count: int  # of the observations it rests on
    age_ms: int  # of the last of them, rounded up


@dataclass(frozen=True, slots=True)
class GossipMessage:
    digest: bytes
    evidence: tuple[Evidence, ...] = ()
    records: tuple[Record, ...] = ()


def tag(server: str) -> int:
    """A server's short name. Two of one tag are doubted together: 1 in a million for a hundred servers."""
    return zlib.crc32(server.encode())


def fit(evidence: Sequence[Evidence], records: Sequence[Record], size: int) -> tuple[int, int]:
    """How many of each, from the first on, one datagram of that size holds; evidence goes first."""
    room = size - HEAD.size - SUM.size - DIGEST
    seen = min(len(evidence), room // EVIDENCE.size)
    room -= seen * EVIDENCE.size
    told = 0
    for record in records:
        room -= BAN.size + len(record.server.encode())
        if room < 0:
            break
        told += 1
    return seen, told


def envelope(words: GossipMessage, life: int, number: int, re_life: int, re_number: int) -> Envelope:
    parts = [words.digest]
    parts += [
        EVIDENCE.pack(e.kind, e.server, e.life, min(e.count, MOST_COUNT), min(e.age_ms, MOST_AGE))
        for e in words.evidence
    ]
    for record in words.records:
        name = record.server.encode()
        parts.append(BAN.pack(record.version.to_bytes(6, "big"), record.by, record.out, len(name)) + name)
    return Envelope(
        WORDS, life, number, re_life, re_number, (len(words.evidence), len(words.records)), b"".join(parts)
    )


def read(e: Envelope) -> GossipMessage:
    """Raises BadMessage."""
    seen, told = e.counts
    at = DIGEST + seen * EVIDENCE.size
    if len(e.body) < at:
        raise MessageError("torn")
    evidence = []
    for i in range(seen):
        kind, server, life, count, age = EVIDENCE.unpack_from(e.body, DIGEST + i * EVIDENCE.size)
        if not Kind.DEAD <= kind <= Kind.COLD:
            raise MessageError("no such verdict")
        evidence.append(Evidence(Kind(kind), server, life, count, age))
    records = []
    for _ in range(told):
        if len(e.body) < at + BAN.size:
            raise MessageError("torn")
        version, by, out, length = BAN.unpack_from(e.body, at)
        name = e.body[at + BAN.size : at + BAN.size + length]
        at += BAN.size + length
        if len(name) != length or not name.isascii() or not name or out > 1:
            raise MessageError("no ban")
        records.append(Record(name.decode(), int.from_bytes(version, "big"), by, bool(out)))
    if at != len(e.body):
        raise MessageError("torn")
    return GossipMessage(e.body[:DIGEST], tuple(evidence), tuple(records))
