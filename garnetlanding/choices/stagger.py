"""Stagger actions that one event triggers at all instances, by instance number and without messages."""

from __future__ import annotations

import zlib

CRC32_RANGE = 1 << 32
"""CRC-32 checksums are less than this."""


def stagger_offset(instance: int, instances: int, signal: str = "") -> float:
    """Return when an instance acts, as a fraction in [0, 1) of the time over which the actions are spread.

    The offsets are evenly spaced. `signal`, the name of the event, rotates them, so that no instance is last
    for every event. An instance with a wrong `instances` gets another offset, and delays no other instance.
    """
    instances = max(1, instances)
    offset = instance % instances / instances
    rotation = zlib.crc32(signal.encode()) / CRC32_RANGE
    return (offset + rotation) % 1.0
