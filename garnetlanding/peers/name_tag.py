"""The short form in which datagrams carry the names of volumes, budgets and backends."""

from __future__ import annotations

import zlib


def name_tag(name: str) -> int:
    """Return the CRC-32 of a name, by which peers identify it.

    Two names with one tag are treated as one. Among a hundred names, that happens in one of 900,000 fleets.
    """
    return zlib.crc32(name.encode())
