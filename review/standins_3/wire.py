"""RESP2 as clients and bricks speak it: encoders, and a reader of values."""

from __future__ import annotations

import asyncio
import itertools

_ids = itertools.count(1)


def new_id() -> str:
    """Return a request id that this process has not used."""
    return f"{next(_ids):016x}"


def command(*words: str | bytes) -> bytes:
    """Encode a command."""
    parts = [b"*%d\r\n" % len(words)]
    for word in words:
        data = word if isinstance(word, bytes) else word.encode()
        parts.append(b"$%d\r\n%b\r\n" % (len(data), data))
    return b"".join(parts)


def read_request(
    piece: str, request_id: str, shard: int, request_class: str = "segment-read", wait_ms: int = 1200
) -> bytes:
    """Encode a client's read, as PROTOCOL.md has it."""
    fields = f"c={request_class},t=standard,d={wait_ms},volume=00000000000000a1,units=1,shard={shard},hosts=1"
    return command("BLK.READ", piece, request_id, fields)


def bulk(value: bytes) -> bytes:
    """Encode a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def served(value: bytes) -> bytes:
    """Encode a brick's answer: the value, the figures on use, no load report."""
    return b"*3\r\n" + bulk(value) + bulk(b"used=50") + b"$-1\r\n"


async def read_value(reader: asyncio.StreamReader) -> object:
    """Read one value: bytes, None, a list, or the line of a simple string or an error as a str."""
    line = (await reader.readuntil(b"\r\n"))[:-2]
    kind, rest = line[:1], line[1:]
    if kind == b"$":
        return None if int(rest) < 0 else (await reader.readexactly(int(rest) + 2))[:-2]
    if kind == b"*":
        return [await read_value(reader) for _ in range(int(rest))]
    return line.decode()
