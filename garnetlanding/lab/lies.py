"""A head that lies: its words, on their way to the others, say that every brick is dead. No I/O."""

from __future__ import annotations

from garnetlanding.peers import codec, words
from garnetlanding.peers.limits import PeerLimits


def lie(data: bytes, bricks: list[str]) -> bytes:
    """The same message with other words; one of another kind, or that cannot be read, goes on as it is."""
    limits = PeerLimits()
    try:
        e = codec.unseal(data, limits.datagram_bytes)
        if e.kind != codec.WORDS:
            return data
        told = words.read(e)
    except codec.BadMessage:
        return data
    evidence = tuple(words.Evidence(words.Kind.DEAD, words.tag(name), words.LONG_AGO, words.MOST_COUNT, 0)
                     for name in bricks)
    most, _ = words.fit(evidence, (), limits.datagram_bytes)
    forged = words.Words(told.digest, evidence[:most])
    return codec.seal(words.envelope(forged, e.life, e.number, e.re_life, e.re_number))
