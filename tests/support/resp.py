"""Constants and buffers for the RESP tests."""

from __future__ import annotations

from garnetlanding.limits import Limits
from garnetlanding.resp import codec
from garnetlanding.runtime.buffers import BufferPool

LIMITS = Limits()
PING = codec.encode_command([b"PING"])


def pool(size: int = 16) -> BufferPool:
    return BufferPool(size, 4, 1 << 16)
