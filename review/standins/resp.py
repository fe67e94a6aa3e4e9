"""The few forms of RESP2 that clients, heads and bricks exchange, over asyncio streams."""

from __future__ import annotations

import asyncio


def command(*words: bytes) -> bytes:
    """Encode a command: an array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


def bulk(value: bytes | None) -> bytes:
    """Encode a bulk string, or a null one."""
    return b"$-1\r\n" if value is None else b"$%d\r\n%b\r\n" % (len(value), value)


async def read_command(reader: asyncio.StreamReader) -> list[bytes] | None:
    """Read one command; return None at the end of the stream."""
    try:
        line = await reader.readuntil(b"\r\n")
        words = []
        for _ in range(int(line[1:])):
            head = await reader.readuntil(b"\r\n")
            words.append((await reader.readexactly(int(head[1:]) + 2))[:-2])
        return words
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


async def read_answer(reader: asyncio.StreamReader) -> bytes:
    """Read one answer of a head: a bulk string as its value, any other line as it is.

    Raises IncompleteReadError or ConnectionError if the connection ends before the answer is whole.
    """
    line = await reader.readuntil(b"\r\n")
    if line[:1] != b"$":
        return line[:-2]
    return (await reader.readexactly(int(line[1:]) + 2))[:-2]


def fields(text: bytes) -> dict[bytes, bytes]:
    """Split a request's list of names and values."""
    return dict(pair.split(b"=", 1) for pair in text.split(b","))
