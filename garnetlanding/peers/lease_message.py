"""Encodes and decodes the body of lease messages (`MessageKind.LEASES` and `BUDGETS` of envelope.py).

A body contains all requests, then all grants. Sizes are in bytes, and integers are big-endian::

    request: volume (`name_tag` of its name) 4 | wanted quota of the plan's rate, in steps of 1/250, 1 |
        hosts 1
    grant: volume 4 | fraction of the grantor's even quota, in steps of 1/250, 1

The envelope contains the number of requests and the number of grants. Messages about budgets have the same
format and are numbered separately; their names are those of budgets, and their quotas are fractions of what
the whole fleet may spend.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from garnetlanding.peers.envelope import (
    CHECKSUM,
    HEADER,
    Envelope,
    MessageKind,
    decode_envelope,
    encode_envelope,
)
from garnetlanding.peers.errors import MessageError, MessageFault

REQUEST = struct.Struct(">IBB")
GRANT = struct.Struct(">IB")
QUOTA_STEPS = 250  # quotas and fractions are encoded as a number of steps of 1/250
MAX_ENTRIES = 255  # requests, or grants, in one message: each count is one byte
ROUNDING_SLACK = 1e-9  # in steps; keeps a float error from rounding a whole step down to the one below


class QuotaRequest(NamedTuple):
    """A request for a quota of one volume's limit."""

    quota: float  # of the plan's rate, from 0 to 1
    hosts: int  # number of instances that receive the volume's requests


class LeasePage(NamedTuple):
    """The requests and grants of one message, by the `name_tag` of their volume.

    A grant is the fraction of the sender's even quota that the receiver may use.
    """

    requests: dict[int, QuotaRequest]
    grants: dict[int, float]


@dataclass(frozen=True, slots=True)
class LeaseMessage:
    """A message about leases of limits or budgets: fields of the envelope, and those of a `LeasePage`."""

    incarnation: int
    number: int
    acked_incarnation: int = 0
    acked_number: int = 0
    requests: dict[int, QuotaRequest] = field(default_factory=dict)
    grants: dict[int, float] = field(default_factory=dict)


def paginate(requests: dict[int, QuotaRequest], grants: dict[int, float], size: int) -> Iterator[LeasePage]:
    """Divide requests, and then grants, into pages that each fit into a datagram of `size` bytes."""
    capacity = size - HEADER.size - CHECKSUM.size
    page = LeasePage({}, {})
    for volume, request in requests.items():
        if len(page.requests) >= MAX_ENTRIES or _body_bytes(page) + REQUEST.size > capacity:
            yield page
            page = LeasePage({}, {})
        page.requests[volume] = request
    for volume, fraction in grants.items():
        if len(page.grants) >= MAX_ENTRIES or _body_bytes(page) + GRANT.size > capacity:
            yield page
            page = LeasePage({}, {})
        page.grants[volume] = fraction
    if page.requests or page.grants:
        yield page


def _body_bytes(page: LeasePage) -> int:
    return len(page.requests) * REQUEST.size + len(page.grants) * GRANT.size


def encode(message: LeaseMessage, kind: MessageKind = MessageKind.LEASES) -> bytes:
    """Return the datagram of a message."""
    return encode_envelope(to_envelope(message, kind))


def decode(data: bytes, max_bytes: int) -> LeaseMessage:
    """Decode a datagram of at most `max_bytes`. Raises MessageError."""
    return from_envelope(decode_envelope(data, max_bytes))


def to_envelope(message: LeaseMessage, kind: MessageKind) -> Envelope:
    """Return the envelope that carries a message.

    Requests are rounded up to a step, and grants down, so that a message never grants more than was recorded.
    """
    parts = [
        REQUEST.pack(volume, _steps_rounded_up(request.quota), request.hosts)
        for volume, request in message.requests.items()
    ]
    parts += [
        GRANT.pack(volume, int(fraction * QUOTA_STEPS + ROUNDING_SLACK))
        for volume, fraction in message.grants.items()
    ]
    return Envelope(
        kind,
        message.incarnation,
        message.number,
        message.acked_incarnation,
        message.acked_number,
        (len(message.requests), len(message.grants)),
        b"".join(parts),
    )


def _steps_rounded_up(quota: float) -> int:
    return min(QUOTA_STEPS, -int(-quota * QUOTA_STEPS // 1))


def from_envelope(envelope: Envelope) -> LeaseMessage:
    """Decode the body of an envelope of kind `LEASES` or `BUDGETS`. Raises MessageError."""
    if envelope.kind not in (MessageKind.LEASES, MessageKind.BUDGETS):
        raise MessageError(MessageFault.UNEXPECTED_KIND, 1)
    request_count, grant_count = envelope.counts
    body = envelope.body
    grants_at = request_count * REQUEST.size
    if len(body) != grants_at + grant_count * GRANT.size:
        raise MessageError(MessageFault.TRUNCATED, HEADER.size + len(body))
    return LeaseMessage(
        envelope.incarnation,
        envelope.number,
        envelope.acked_incarnation,
        envelope.acked_number,
        _read_requests(body[:grants_at]),
        _read_grants(body, grants_at),
    )


def _read_requests(data: bytes) -> dict[int, QuotaRequest]:
    requests: dict[int, QuotaRequest] = {}
    for offset in range(0, len(data), REQUEST.size):
        volume, steps, hosts = REQUEST.unpack_from(data, offset)
        if steps > QUOTA_STEPS or not hosts:
            raise MessageError(MessageFault.INVALID_QUOTA, HEADER.size + offset)
        requests[volume] = QuotaRequest(steps / QUOTA_STEPS, hosts)
    return requests


def _read_grants(body: bytes, grants_at: int) -> dict[int, float]:
    grants: dict[int, float] = {}
    for offset in range(grants_at, len(body), GRANT.size):
        volume, steps = GRANT.unpack_from(body, offset)
        if steps > QUOTA_STEPS:
            raise MessageError(MessageFault.INVALID_QUOTA, HEADER.size + offset)
        grants[volume] = steps / QUOTA_STEPS
    return grants
