"""What a process holds while the garbage collector is off: bytes with a mark, and objects by type."""

from __future__ import annotations

import gc
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

MARK = b"\xfe\xfdmarked\xfd\xfe"
"""Begins the data whose whereabouts a test follows."""


def marked_data(size: int) -> bytes:
    """Return new data of this size that begins with the mark."""
    return MARK + bytes(size - len(MARK))


@contextmanager
def collector_off() -> Iterator[None]:
    """Turn the collector off: whatever is only reachable by reference cycles stays."""
    gc.collect()
    gc.freeze()  # what exists already is not looked at
    gc.disable()
    try:
        yield
    finally:
        gc.enable()
        gc.unfreeze()


def held_marked_bytes() -> int:
    """Return the size of all byte strings with the mark that objects made since `collector_off` refer to."""
    found: dict[int, int] = {}
    for holder in gc.get_objects():
        for referent in gc.get_referents(holder):
            if isinstance(referent, bytes) and MARK in referent[:200]:
                found[id(referent)] = len(referent)
    return sum(found.values())


def held_objects(*types: type) -> Counter[str]:
    """Return how many objects of these types were made since `collector_off` and still exist, by type."""
    return Counter(type(held).__name__ for held in gc.get_objects() if isinstance(held, types))
