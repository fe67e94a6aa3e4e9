"""Staggers what all instances do on one signal, by their numbers alone: they need not exchange messages."""

from __future__ import annotations

import zlib

CRC32_RANGE = 1 << 32


def stagger_offset(instance: int, instances: int, signal: str = "") -> float:
    """Return the slot of one of so many instances, as a part in [0, 1) of the span that all share.

    Slots are evenly spaced. The signal's name rotates their order, so that no instance is always the last. An
    instance that is wrong about their number has another slot and delays nobody.
    """
    instances = max(1, instances)
    slot = instance % instances / instances
    rotation = zlib.crc32(signal.encode()) / CRC32_RANGE
    return (slot + rotation) % 1.0
