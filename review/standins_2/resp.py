"""RESP2 as bytes: encoding of commands, and reading of values from a stream."""

from __future__ import annotations

import asyncio
from typing import Any


class Error(bytes):
    """An error answer, without its mark and line end."""


def bulk(value: bytes) -> bytes:
    """Encode a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def command(*words: bytes) -> bytes:
    """Encode a command: an array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(map(bulk, words))


def served(value: bytes) -> bytes:
    """Encode a brick's answer to a request that it has served."""
    return b"*3\r\n" + bulk(value) + b"$-1\r\n$-1\r\n"


async def read(reader: asyncio.StreamReader) -> Any:
    """Read one value. Raises IncompleteReadError at the end of the stream."""
    line = (await reader.readuntil(b"\r\n"))[:-2]
    kind, rest = line[:1], line[1:]
    if kind == b"*":
        return [await read(reader) for _ in range(max(0, int(rest)))]
    if kind == b"$":
        size = int(rest)
        return None if size < 0 else (await reader.readexactly(size + 2))[:-2]
    if kind == b"-":
        return Error(rest)
    return rest
