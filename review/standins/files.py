"""Stand-ins for 9P2000: a file server in the place of a brick, and a client with one message under way."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

from garnetlanding.limits import Limits
from garnetlanding.ninep import codec
from garnetlanding.runtime.buffers import BufferPool

from review.standins.bricks import Brick
from review.standins.record import Record

MSIZE = 8192
ROOT = codec.Qid(codec.QTDIR, 0, 0)


def _framer() -> codec.Framer:
    limits = Limits()
    return codec.Framer(BufferPool(limits.buffer_bytes, 4, 64), limits.ninep_msize)


async def _messages(reader: asyncio.StreamReader) -> AsyncIterator[tuple[int, codec.Message]]:
    framer = _framer()
    while data := await reader.read(1 << 16):
        for tag, message in framer.feed(data):
            if isinstance(message, codec.MalformedMessage):
                raise ConnectionError(message.reason)
            yield tag, message


class FileServer(Brick):
    """A sound file server: files in one directory, by name. It does what a message asks in one step."""

    def __init__(self, name: str, cell: int, record: Record, files: dict[str, bytes]) -> None:
        super().__init__(name, cell, record, 0)
        self.files = dict(files)
        self._numbers = {file: number for number, file in enumerate(files, 1)}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        fids: dict[int, str] = {}  # "" is the directory
        try:
            async for tag, message in _messages(reader):
                if await self.may_answer(message, writer):
                    writer.write(codec.encode(tag, self._answer_message(message, fids)))
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def may_answer(self, message: codec.Message, writer: asyncio.StreamWriter) -> bool:  # noqa: ARG002
        """Return whether to do and answer the message; a subclass may hang or end the connection."""
        return True

    def _qid(self, file: str) -> codec.Qid:
        return codec.Qid(0, 0, self._numbers[file]) if file else ROOT

    def _answer_message(self, message: codec.Message, fids: dict[int, str]) -> codec.Message:
        match message:
            case codec.Tversion(msize, version):
                known = version == codec.VERSION
                return codec.Rversion(min(msize, MSIZE), version if known else "unknown")
            case codec.Tattach(fid):
                fids[fid] = ""
                return codec.Rattach(ROOT)
            case codec.Twalk(fid, newfid, names):
                if len(names) > 1 or (names and (fids[fid] or names[0] not in self.files)):
                    return codec.Rerror("file not found")
                fids[newfid] = names[0] if names else fids[fid]
                return codec.Rwalk(tuple(self._qid(name) for name in names))
            case codec.Topen(fid):
                return codec.Ropen(self._qid(fids[fid]), 0)
            case codec.Tread(fid, offset, count):
                return codec.Rread(self.files[fids[fid]][offset : offset + count])
            case codec.Twrite(fid, offset, data):
                old = self.files[fids[fid]]
                self.files[fids[fid]] = old[:offset].ljust(offset, b"\0") + data + old[offset + len(data) :]
                self.record.line(f"file server {self.name} writes {data!r} to {fids[fid]} at {offset}")
                return codec.Rwrite(len(data))
            case codec.Tclunk(fid):
                fids.pop(fid)
                return codec.Rclunk()
        return codec.Rerror("not supported")


class FileClient:
    """A 9P2000 client that opens one file. It waits for each answer before the next message."""

    def __init__(self, name: str, record: Record) -> None:
        self.name = name
        self._record = record
        self._writer: asyncio.StreamWriter | None = None
        self._answers: AsyncIterator[tuple[int, codec.Message]] | None = None

    async def open(self, address: tuple[str, int], file: str) -> None:
        """Connect, attach to the export and open its file for reading and writing."""
        reader, self._writer = await asyncio.open_connection(*address)
        self._answers = _messages(reader)
        await self.ask(codec.Tversion(MSIZE, codec.VERSION))
        for message in (
            codec.Tattach(0, codec.NOFID, self.name, "drafts"),
            codec.Twalk(0, 1, (file,)),
            codec.Topen(1, codec.ORDWR),
        ):
            answer = await self.ask(message)
            if isinstance(answer, codec.Rerror):
                raise ConnectionError(answer.ename)

    def send(self, message: codec.Message) -> None:
        """Send a message."""
        assert self._writer
        self._record.line(f"{self.name} sends {message}")
        self._writer.write(codec.encode(codec.NOTAG if isinstance(message, codec.Tversion) else 1, message))

    async def ask(self, message: codec.Message) -> codec.Message:
        """Send a message and return its answer."""
        self.send(message)
        return await self.answer()

    async def answer(self) -> codec.Message:
        """Return the next answer."""
        assert self._answers
        _, answer = await anext(self._answers)
        self._record.line(f"{self.name} is answered {answer}")
        return answer

    def close(self) -> None:
        """Close the connection: the client goes away."""
        assert self._writer
        self._record.line(f"{self.name} closes its connection")
        self._writer.close()
