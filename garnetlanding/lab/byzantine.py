"""Falsifies an instance's messages on their way to its peers. No I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

from garnetlanding.lab.faults import ByzantineBehaviour
from garnetlanding.peers import codec, gossip_message
from garnetlanding.peers.limits import PeerLimits


def falsify(datagram: bytes, backends: Sequence[str], behaviour: ByzantineBehaviour) -> bytes:
    """Return the same message with false content.

    `backends` are the names of all of them. A message of another kind than the behaviour is about, or one
    that cannot be decoded, is returned as it is.
    """
    try:
        envelope = codec.decode_envelope(datagram, PeerLimits().datagram_bytes)
        if behaviour is ByzantineBehaviour.WANTS_EVERY_QUOTA:
            return _demand_everything(envelope) if envelope.kind == codec.MessageKind.LEASES else datagram
        if envelope.kind != codec.MessageKind.GOSSIP:
            return datagram
        if behaviour is ByzantineBehaviour.ALL_WELL:
            return _report_unreachable(envelope, ())
        return _report_unreachable(envelope, backends)
    except codec.MessageError:
        return datagram


def _demand_everything(envelope: codec.Envelope) -> bytes:
    leases = codec.read_leases(envelope)
    asks = {volume: ask._replace(share=1.0) for volume, ask in leases.asks.items()}
    return codec.encode_leases(replace(leases, asks=asks, grants={}))


def _report_unreachable(envelope: codec.Envelope, backends: Sequence[str]) -> bytes:
    message = gossip_message.read(envelope)
    evidence = tuple(
        gossip_message.Evidence(
            gossip_message.EvidenceKind.UNREACHABLE,
            codec.tag(name),
            gossip_message.MAX_UPTIME,
            gossip_message.MAX_COUNT,
            0,
        )
        for name in backends
    )
    fitting, _ = gossip_message.fit(evidence, (), PeerLimits().datagram_bytes)
    forged = gossip_message.GossipMessage(message.digest, evidence[:fitting])
    return codec.encode_envelope(
        gossip_message.to_envelope(
            forged,
            envelope.incarnation,
            envelope.number,
            envelope.acked_incarnation,
            envelope.acked_number,
        )
    )
