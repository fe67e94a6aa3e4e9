"""Stagger actions that one event triggers at all instances, by instance number and without messages."""

from __future__ import annotations

import zlib

CRC32_RANGE = 1 << 32
"""CRC-32 checksums are below this."""


def stagger_offset(instance: int, instances: int, signal: str = "") -> float:
    """Return an instance's slot as a fraction, in [0, 1), of the time over which the actions are spread.

    Slots are evenly spaced. The signal's name rotates them, so that no instance is last for every signal. An
    instance with a wrong count of instances gets another slot, which delays no other instance.
    """
    instances = max(1, instances)
    slot = instance % instances / instances
    rotation = zlib.crc32(signal.encode()) / CRC32_RANGE
    return (slot + rotation) % 1.0
