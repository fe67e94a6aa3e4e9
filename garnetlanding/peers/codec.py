"""The form of what heads tell each other, version 1. Big-endian:

    version 1 byte | kind 1 | life 6 | number 4 | answered life 6 | answered number 4 | count 1 | count 1
    what the kind has to tell
    CRC-32 of all before it 4 bytes

Leases (kind 1; the counts are those of asks and of grants):

    each ask:   volume 4 bytes (CRC-32 of its name) | wanted share of the plan's rate, in 1/250, 1 | hosts 1
    each grant: volume 4 bytes | share of the giver's own even part, in 1/250, 1

Budgets (kind 4) have the form of leases, and are numbered apart: the names are those of budgets, the shares
those of all that the fleet may spend. Words (kind 2) are in words.py, words about heads (kind 3) in roll.py.
A head that has one of them off counts and drops it, and still takes leases.

`life` is greater after each start of a head, `number` after each message of a life to one receiver. The
answered life and number are those of the last message heard from the receiver: a grant counts from when that
one was sent.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass, field

from garnetlanding.peers.errors import PeersError

VERSION, LEASES, WORDS, ROLL, BUDGETS = 1, 1, 2, 3, 4
HEAD = struct.Struct(">BB6sI6sIBB")
ASK, GRANT, SUM = struct.Struct(">IBB"), struct.Struct(">IB"), struct.Struct(">I")
WHOLE = 250
MOST = 255  # asks, or grants, of one message; hosts of one volume


class MessageError(PeersError, ValueError):
    """A datagram that cannot be read; the text is its cause, one of a few, to be counted by."""


@dataclass(frozen=True, slots=True)
class Envelope:
    """A datagram whose sum holds; its body is not read yet."""

    kind: int
    life: int
    number: int
    re_life: int
    re_number: int
    counts: tuple[int, int]
    body: bytes


@dataclass(frozen=True, slots=True)
class Message:
    """`asks`: by volume, the share of the plan's rate that is wanted, and the volume's hosts. `grants`: by
    volume, what share of its own even part the sender leaves to the receiver."""

    life: int
    number: int
    re_life: int = 0
    re_number: int = 0
    asks: dict[int, tuple[float, int]] = field(default_factory=dict)
    grants: dict[int, float] = field(default_factory=dict)


def tag(volume: str) -> int:
    """A volume's short name. Two of one tag would share a part: 1 in 900,000 for a hundred volumes."""
    return zlib.crc32(volume.encode())


def pages(
    asks: dict[int, tuple[float, int]],
    grants: dict[int, float],
    size: int,
) -> Iterator[tuple[dict[int, tuple[float, int]], dict[int, float]]]:
    """What is to be told, in as many datagrams of that size as it takes, in the order given."""
    room, page = 0, (dict[int, tuple[float, int]](), dict[int, float]())
    for entry, kind in [(a, ASK) for a in asks] + [(g, GRANT) for g in grants]:
        which = page[kind is GRANT]
        if room + kind.size > size - HEAD.size - SUM.size or len(which) >= MOST:
            yield page
            room, page = 0, ({}, {})
        if kind is ASK:
            page[0][entry] = asks[entry]
        else:
            page[1][entry] = grants[entry]
        room += kind.size
    if room:
        yield page


def seal(e: Envelope) -> bytes:
    head = HEAD.pack(
        VERSION,
        e.kind,
        e.life.to_bytes(6, "big"),
        e.number,
        e.re_life.to_bytes(6, "big"),
        e.re_number,
        *e.counts,
    )
    return head + e.body + SUM.pack(zlib.crc32(head + e.body))


def unseal(data: bytes, longest: int) -> Envelope:
    """Raises BadMessage."""
    if len(data) > longest:
        raise MessageError("too long")
    if len(data) < HEAD.size + SUM.size:
        raise MessageError("torn")
    version, kind, life, number, re_life, re_number, *counts = HEAD.unpack_from(data)
    if version != VERSION:
        raise MessageError("other version")
    end = len(data) - SUM.size
    if SUM.unpack_from(data, end)[0] != zlib.crc32(data[:end]):
        raise MessageError("torn")
    return Envelope(
        kind,
        int.from_bytes(life, "big"),
        number,
        int.from_bytes(re_life, "big"),
        re_number,
        (counts[0], counts[1]),
        data[HEAD.size : end],
    )


def encode(m: Message, kind: int = LEASES) -> bytes:
    """Wants are rounded up and grants down: what is given is never more than was meant."""
    parts = [
        ASK.pack(volume, min(WHOLE, -int(-share * WHOLE // 1)), hosts)
        for volume, (share, hosts) in m.asks.items()
    ]
    parts += [GRANT.pack(v, int(share * WHOLE + 1e-9)) for v, share in m.grants.items()]
    return seal(
        Envelope(
            kind, m.life, m.number, m.re_life, m.re_number, (len(m.asks), len(m.grants)), b"".join(parts)
        )
    )


def decode(data: bytes, longest: int) -> Message:
    """Raises BadMessage."""
    return leases(unseal(data, longest))


def leases(e: Envelope) -> Message:
    """What an envelope of leases or of budgets holds. Raises BadMessage."""
    asks, grants = e.counts
    first = asks * ASK.size
    if e.kind not in (LEASES, BUDGETS):
        raise MessageError("other kind")
    if len(e.body) != first + grants * GRANT.size:
        raise MessageError("torn")
    asked = [ASK.unpack_from(e.body, i * ASK.size) for i in range(asks)]
    given = [GRANT.unpack_from(e.body, first + i * GRANT.size) for i in range(grants)]
    if any(share > WHOLE or not hosts for _, share, hosts in asked) or any(s > WHOLE for _, s in given):
        raise MessageError("no share")
    return Message(
        e.life,
        e.number,
        e.re_life,
        e.re_number,
        {volume: (share / WHOLE, hosts) for volume, share, hosts in asked},
        {volume: share / WHOLE for volume, share in given},
    )
