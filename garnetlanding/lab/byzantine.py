"""Forges an instance's messages on their way to its peers. No I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

from garnetlanding.lab.faults import ByzantineBehaviour
from garnetlanding.peers import gossip_message, lease_message
from garnetlanding.peers.envelope import Envelope, MessageKind, decode_envelope, encode_envelope
from garnetlanding.peers.errors import MessageError
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.name_tag import name_tag


def falsify(datagram: bytes, backends: Sequence[str], behaviour: ByzantineBehaviour) -> bytes:
    """Return the message with forged content.

    `backends` are the names of all backends. A message that the behaviour does not concern, or that cannot be
    decoded, is returned unchanged.
    """
    try:
        envelope = decode_envelope(datagram, PeerLimits().datagram_bytes)
        if behaviour is ByzantineBehaviour.CLAIMS_EVERY_QUOTA:
            return _claim_every_quota(envelope) if envelope.kind == MessageKind.LEASES else datagram
        if envelope.kind != MessageKind.GOSSIP:
            return datagram
        if behaviour is ByzantineBehaviour.ALL_BACKENDS_HEALTHY:
            return _report_unreachable(envelope, ())
        return _report_unreachable(envelope, backends)
    except MessageError:
        return datagram


def _claim_every_quota(envelope: Envelope) -> bytes:
    leases = lease_message.from_envelope(envelope)
    requests = {volume: request._replace(quota=1.0) for volume, request in leases.requests.items()}
    return lease_message.encode(replace(leases, requests=requests, grants={}))


def _report_unreachable(envelope: Envelope, backends: Sequence[str]) -> bytes:
    message = gossip_message.from_envelope(envelope)
    evidence = tuple(
        gossip_message.Evidence(
            gossip_message.EvidenceKind.UNREACHABLE,
            name_tag(name),
            gossip_message.MAX_UPTIME,
            gossip_message.MAX_COUNT,
            0,
        )
        for name in backends
    )
    fitting, _ = gossip_message.count_fitting(evidence, (), PeerLimits().datagram_bytes)
    forged = gossip_message.GossipMessage(message.digest, evidence[:fitting])
    return encode_envelope(
        gossip_message.to_envelope(
            forged,
            envelope.incarnation,
            envelope.number,
            envelope.acked_incarnation,
            envelope.acked_number,
        )
    )
