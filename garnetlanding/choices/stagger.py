"""When each head does what all heads do on one signal: by numbers alone, for heads that may not talk."""

from __future__ import annotations

import zlib


def stagger_offset(number: int, heads: int, signal: str = "") -> float:
    """The place of head `number` of so many in `[0, 1)`: evenly spaced, in an order that the signal turns, so
    that no head is always the last. A head that is wrong about their number has another place and holds up
    nobody."""
    heads = max(1, heads)
    return (number % heads / heads + zlib.crc32(signal.encode()) / (1 << 32)) % 1.0
