"""A head that lies: its words, on their way to the others, say that every brick is dead, that all is well, or
that it wants all of every limit. No I/O.
"""

from __future__ import annotations

from dataclasses import replace

from garnetlanding.peers import codec, gossip_message
from garnetlanding.peers.limits import PeerLimits


def lie(data: bytes, bricks: list[str], how: str) -> bytes:
    """The same message with other words; one of another kind, or that cannot be read, goes on as it is."""
    limits = PeerLimits()
    try:
        e = codec.decode_envelope(data, limits.datagram_bytes)
        if how == "greedy":
            return _greedy(e) if e.kind == codec.MessageKind.LEASES else data
        if e.kind != codec.MessageKind.GOSSIP:
            return data
        told = gossip_message.read(e)
    except codec.MessageError:
        return data
    if how == "well":
        bricks = []
    evidence = tuple(
        gossip_message.Evidence(
            gossip_message.EvidenceKind.UNREACHABLE,
            gossip_message.tag(name),
            gossip_message.MAX_UPTIME,
            gossip_message.MAX_COUNT,
            0,
        )
        for name in bricks
    )
    most, _ = gossip_message.fit(evidence, (), limits.datagram_bytes)
    forged = gossip_message.GossipMessage(told.digest, evidence[:most])
    return codec.encode_envelope(
        gossip_message.to_envelope(forged, e.incarnation, e.number, e.acked_incarnation, e.acked_number)
    )


def _greedy(e: codec.Envelope) -> bytes:
    """Raises MessageError."""
    told = codec.read_leases(e)
    asks = {volume: ask._replace(share=1.0) for volume, ask in told.asks.items()}
    return codec.encode_leases(replace(told, asks=asks, grants={}))
