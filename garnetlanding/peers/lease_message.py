"""The body of messages about leases (`MessageKind.LEASES` and `MessageKind.BUDGETS` of envelope.py).

All numbers are big-endian::

    each request: volume 4 bytes (`name_tag` of its name) | wanted quota of the plan's rate, in 1/250, 1 |
        hosts 1
    each grant: volume 4 bytes | fraction of the grantor's own even quota, in 1/250, 1

The counts of the envelope are those of the requests and of the grants. Messages about budgets have the same
form and are numbered separately: their names are those of budgets, and their quotas are fractions of what the
whole fleet may spend.
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
QUOTA_STEPS = 250  # quotas and fractions are sent as a whole number of these steps
MAX_ENTRIES = 255  # requests, or grants, of one message: each count is one byte
ROUNDING_SLACK = 1e-9  # added before rounding down, since float error may leave a value just below its step


class QuotaRequest(NamedTuple):
    """What an instance wants of one volume's limit."""

    quota: float  # of the plan's rate, 0 to 1
    hosts: int  # instances that the volume's requests come through


class LeasePage(NamedTuple):
    """The requests and grants of one message, by the tag of their volume.

    A grant is the fraction of the sender's own even quota that the receiver may use.
    """

    requests: dict[int, QuotaRequest]
    grants: dict[int, float]


@dataclass(frozen=True, slots=True)
class LeaseMessage:
    """A decoded message about leases or budgets: the fields of the envelope, and those of a `LeasePage`."""

    incarnation: int
    number: int
    acked_incarnation: int = 0
    acked_number: int = 0
    requests: dict[int, QuotaRequest] = field(default_factory=dict)
    grants: dict[int, float] = field(default_factory=dict)


def paginate(requests: dict[int, QuotaRequest], grants: dict[int, float], size: int) -> Iterator[LeasePage]:
    """Divide requests, then grants, into pages that each fit into a datagram of `size` bytes."""
    capacity = size - HEADER.size - CHECKSUM.size
    page = LeasePage({}, {})
    used = 0
    for volume, request in requests.items():
        if used + REQUEST.size > capacity or len(page.requests) >= MAX_ENTRIES:
            yield page
            page = LeasePage({}, {})
            used = 0
        page.requests[volume] = request
        used += REQUEST.size
    for volume, fraction in grants.items():
        if used + GRANT.size > capacity or len(page.grants) >= MAX_ENTRIES:
            yield page
            page = LeasePage({}, {})
            used = 0
        page.grants[volume] = fraction
        used += GRANT.size
    if used:
        yield page


def encode(message: LeaseMessage, kind: MessageKind = MessageKind.LEASES) -> bytes:
    """Return the datagram of a message."""
    return encode_envelope(to_envelope(message, kind))


def decode(data: bytes, max_bytes: int) -> LeaseMessage:
    """Decode a datagram of at most `max_bytes`. Raises MessageError."""
    return read(decode_envelope(data, max_bytes))


def to_envelope(message: LeaseMessage, kind: MessageKind) -> Envelope:
    """Return the envelope that carries a message.

    Requests are rounded up and grants down to a step, so that no more is granted than was meant.
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


def read(envelope: Envelope) -> LeaseMessage:
    """Decode the body of an envelope about leases or budgets. Raises MessageError."""
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
