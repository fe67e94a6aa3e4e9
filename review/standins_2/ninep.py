"""9P2000 as bytes, a client, and a file server with one directory of files in memory."""

from __future__ import annotations

import asyncio
import contextlib
import struct
from typing import NamedTuple

from review.standins_2.record import Record

VERSION, ATTACH, ERROR, FLUSH, WALK, OPEN, READ, WRITE, CLUNK = 100, 104, 106, 108, 110, 112, 116, 118, 120
NO_TAG, NO_FID = 0xFFFF, 0xFFFFFFFF
MSIZE = 65536 + 24
DIRECTORY, PLAIN_FILE = 0x80, 0
NAMES = {
    VERSION: "version",
    ATTACH: "attach",
    ERROR: "error",
    FLUSH: "flush",
    WALK: "walk",
    OPEN: "open",
    READ: "read",
    WRITE: "write",
    CLUNK: "clunk",
}


class Message(NamedTuple):
    """A message: its kind (of an answer, one more than that of its request), tag and body."""

    kind: int
    tag: int
    body: bytes

    @property
    def name(self) -> str:
        """Name the message, as a request or as an answer."""
        return ("R" if self.kind % 2 else "T") + NAMES.get(self.kind & ~1, str(self.kind))


def encode(kind: int, tag: int, body: bytes = b"") -> bytes:
    """Encode a message."""
    return struct.pack("<IBH", 7 + len(body), kind, tag) + body


def text(value: str) -> bytes:
    """Encode a string."""
    data = value.encode()
    return struct.pack("<H", len(data)) + data


async def receive(reader: asyncio.StreamReader) -> Message:
    """Read one message. Raises IncompleteReadError at the end of the stream."""
    size, kind, tag = struct.unpack("<IBH", await reader.readexactly(7))
    return Message(kind, tag, await reader.readexactly(size - 7))


class FileServer:
    """A file server with one directory; a write takes `write_s` seconds."""

    def __init__(self, record: Record, files: dict[str, bytes], write_s: float = 0.0) -> None:
        self.record = record
        self.names = list(files)
        self.files = {name: bytearray(data) for name, data in files.items()}
        self.write_s = write_s
        self.address = ""

    async def start(self) -> None:
        """Listen at a free port."""
        server = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        fids: dict[int, str] = {}
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                message = await receive(reader)
                if message.kind == WRITE:
                    await asyncio.sleep(self.write_s)
                writer.write(self.serve(message, fids))
                await writer.drain()
        writer.close()

    def qid(self, name: str) -> bytes:
        """Return the qid of a file, or of the directory, whose name is empty."""
        if not name:
            return struct.pack("<BIQ", DIRECTORY, 0, 1)
        return struct.pack("<BIQ", PLAIN_FILE, 0, 2 + self.names.index(name))

    def serve(self, message: Message, fids: dict[int, str]) -> bytes:
        """Run a message, and return the answer."""
        kind, tag, body = message
        if kind == VERSION:
            return encode(VERSION + 1, tag, body[:4] + text("9P2000"))
        if kind == ATTACH:
            fids[struct.unpack_from("<I", body)[0]] = ""
            return encode(ATTACH + 1, tag, self.qid(""))
        if kind == WALK:
            return self._walk(tag, body, fids)
        fid = struct.unpack_from("<I", body)[0]
        name = fids.get(fid, "")
        if kind == OPEN:
            return encode(OPEN + 1, tag, self.qid(name) + struct.pack("<I", 0))
        if kind == READ:
            offset, count = struct.unpack_from("<QI", body, 4)
            data = bytes(self.files[name][offset : offset + count])
            return encode(READ + 1, tag, struct.pack("<I", len(data)) + data)
        if kind == WRITE:
            return self._write(tag, body, name)
        if kind == CLUNK:
            fids.pop(fid, None)
            return encode(CLUNK + 1, tag)
        return encode(ERROR + 1, tag, text("not implemented"))

    def _walk(self, tag: int, body: bytes, fids: dict[int, str]) -> bytes:
        fid, newfid, count = struct.unpack_from("<IIH", body)
        at, name, qids = 10, fids.get(fid, ""), b""
        for _ in range(count):
            size = struct.unpack_from("<H", body, at)[0]
            name = body[at + 2 : at + 2 + size].decode()
            at += 2 + size
            if name not in self.files:
                return encode(ERROR + 1, tag, text("file not found"))
            qids += self.qid(name)
        fids[newfid] = name
        return encode(WALK + 1, tag, struct.pack("<H", count) + qids)

    def _write(self, tag: int, body: bytes, name: str) -> bytes:
        offset, count = struct.unpack_from("<QI", body, 4)
        data = body[16 : 16 + count]
        self.files[name][offset : offset + count] = data
        self.record(f"file server writes {name} at {offset}: {data[:16]!r}")
        return encode(WRITE + 1, tag, struct.pack("<I", count))


class Client:
    """A client of one connection; `answers` has the answer to each tag, or None if the connection ended."""

    def __init__(self, record: Record, name: str) -> None:
        self.record = record
        self.name = name
        self.answers: dict[int, Message] = {}
        self.answered_at: dict[int, float] = {}
        self.ended_at: float | None = None
        self._came = asyncio.Event()

    async def connect(self, address: str) -> None:
        """Connect, agree on the version and attach as fid 0."""
        host, port = address.split(":")
        self._reader, self._writer = await asyncio.open_connection(host, int(port))
        self._task = asyncio.create_task(self._read())
        await self.call(VERSION, NO_TAG, struct.pack("<I", MSIZE) + text("9P2000"))
        await self.call(ATTACH, 1, struct.pack("<II", 0, NO_FID) + text("review") + text(""))

    async def open(self, fid: int, name: str, mode: int) -> None:
        """Walk to a file and open it."""
        await self.call(WALK, 1, struct.pack("<IIH", 0, fid, 1) + text(name))
        await self.call(OPEN, 1, struct.pack("<IB", fid, mode))

    def send(self, kind: int, tag: int, body: bytes) -> None:
        """Send a message without waiting for its answer."""
        self.answers.pop(tag, None)
        self.record(f"{self.name} sends T{NAMES[kind]} tag {tag}")
        self._writer.write(encode(kind, tag, body))

    def write(self, tag: int, fid: int, offset: int, data: bytes) -> None:
        """Send a write without waiting for its answer."""
        self.send(WRITE, tag, struct.pack("<IQI", fid, offset, len(data)) + data)

    async def call(self, kind: int, tag: int, body: bytes) -> Message:
        """Send a message and return its answer. Raises ConnectionError for an error or the end."""
        self.send(kind, tag, body)
        answer = await self.wait_for(tag)
        if answer is None or answer.kind != kind + 1:
            raise ConnectionError(f"T{NAMES[kind]} got {answer!r:.80}")
        return answer

    async def wait_for(self, tag: int) -> Message | None:
        """Return the answer to a tag, or None once the connection has ended."""
        while tag not in self.answers and self.ended_at is None:
            self._came.clear()
            await self._came.wait()
        return self.answers.get(tag)

    async def _read(self) -> None:
        try:
            while True:
                message = await receive(self._reader)
                self.answers[message.tag] = message
                self.answered_at[message.tag] = self.record.now
                detail = f" {message.body[2:]!r}" if message.kind == ERROR + 1 else ""
                self.record(f"{self.name} gets {message.name} tag {message.tag}{detail}")
                self._came.set()
        except (asyncio.IncompleteReadError, ConnectionError) as end:
            self.ended_at = self.record.now
            self.record(f"{self.name}: connection ended, {type(end).__name__}")
            self._came.set()

    def close(self) -> None:
        """Close the connection."""
        self._task.cancel()
        self._writer.close()
