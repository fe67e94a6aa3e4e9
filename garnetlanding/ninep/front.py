"""The 9P front: a state machine for one client connection. Read-only.

A fid is a logical path with its qid. It binds the client to no server: each walk, open, stat or read is
one item in the core, and whichever server the core picks finds the file by its path.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from garnetlanding.core.core import Core
from garnetlanding.core.ports import Answer, Ask, Backend, Failed, Refused, Served, Unfit
from garnetlanding.limits import MS, Limits
from garnetlanding.ninep import codec
from garnetlanding.ninep.codec import (
    NOFID,
    OEXEC,
    OREAD,
    READ_OVERHEAD,
    Message,
    Qid,
    Rattach,
    Rclunk,
    Rerror,
    Rflush,
    Ropen,
    Rread,
    Rstat,
    Rversion,
    Rwalk,
)
from garnetlanding.ninep.setup import Export
from garnetlanding.ninep.work import Attach, Open, Path, Read, Stat, Walk, Work
from garnetlanding.runtime.buffers import BufferPool

READ_ONLY = "read-only file system"
OPEN_MODE = 0x03  # the access bits of an open mode; what is above them asks for changes


@dataclass(slots=True)
class Fid:
    export: Export
    uname: str
    path: Path
    qid: Qid
    mode: int | None = None  # set once it is open


@dataclass(slots=True)
class Pending:
    """A T-message that waits for its item's answer."""

    fid: int
    newfid: int | None = None  # reserved for it; nobody else may take it meanwhile
    alone: bool = False  # changes its fid: no other message may use that meanwhile
    ticket: str = ""
    settled: bool = False


class Refusal(Exception):
    """What a message asks for cannot be done; the text is the Rerror's."""


def normal(path: Path, names: Path) -> Path:
    """Where a walk ends: `..` goes up, and stays at the root."""
    out = list(path)
    for name in names:
        if name != "..":
            out.append(name)
        elif out:
            out.pop()
    return tuple(out)


class ClientMachine:
    def __init__(self, core: Core, backend: Backend, exports: dict[str, Export], pool: BufferPool,
                 limits: Limits, write: Callable[[bytes], None]) -> None:
        self._core, self._backend, self._exports = core, backend, exports
        self._limits, self._write = limits, write
        self._framer = codec.Framer(pool, limits.ninep_msize)
        self._msize = 0  # 0: no version agreed yet
        self._fids: dict[int, Fid] = {}
        self._pending: dict[int, Pending] = {}
        self.ended = False
        self.taken = self.bad = self.asked = 0

    # For the driver

    @property
    def owed(self) -> int:
        return len(self._pending)

    @property
    def midway(self) -> bool:
        return self._framer.midway

    @property
    def session(self) -> bool:
        return bool(self._fids)

    def feed(self, data: bytes | memoryview) -> None:
        if self.ended:
            return
        try:
            for tag, message in self._framer.feed(data):
                self.taken += 1
                self._take(tag, message)
                if self.bad >= self._limits.bad_commands:
                    return self.close()
        except codec.FrameError:
            # No tag can be trusted to answer with; what is in flight has lost its client.
            self.close()

    def close(self) -> None:
        self.ended = True
        self._framer.close()
        self._reset()

    def _reset(self) -> None:
        """The session is over: its items have lost their client, its fids are gone."""
        for tag in list(self._pending):
            self._abandon(tag)
        self._fids.clear()

    def _abandon(self, tag: int) -> Pending:
        pending = self._pending.pop(tag)
        pending.settled = True
        self._core.left(pending.ticket)
        return pending

    # Messages

    def _take(self, tag: int, message: Message | codec.Malformed) -> None:
        if isinstance(message, codec.Tversion):
            self._reset()
            self._version(tag, message)
            return
        try:
            if not self._msize:
                raise Refusal("no version agreed")
            if isinstance(message, codec.Tflush):
                # Answered after what it flushes has been forgotten: no answer to that can follow.
                if message.oldtag in self._pending:
                    self._abandon(message.oldtag)
                self._say(tag, Rflush())
                return
            if tag in self._pending:
                raise Refusal("duplicate tag")
            self._handle(tag, message)
        except Refusal as refusal:
            self._say(tag, Rerror(str(refusal)))

    def _handle(self, tag: int, message: Message | codec.Malformed) -> None:
        match message:
            case codec.Malformed(why):
                self.bad += 1
                raise Refusal(why)
            case codec.Tattach():
                self._attach(tag, message)
            case codec.Twalk():
                self._walk(tag, message)
            case codec.Topen():
                self._open(tag, message)
            case codec.Tread():
                self._read(tag, message)
            case codec.Tstat(fid):
                at = self._fid(fid)
                self._ask(tag, Pending(fid), at, Stat(at.uname, at.export.aname, at.path), self._stat_told)
            case codec.Tclunk(fid):
                self._clunk(fid)
                self._say(tag, Rclunk())
            case codec.Tremove(fid):
                self._clunk(fid)  # a remove clunks its fid even when it fails
                raise Refusal(READ_ONLY)
            case codec.Tauth():
                raise Refusal("authentication not required")
            case codec.Tcreate(fid) | codec.Twrite(fid) | codec.Twstat(fid):
                self._fid(fid)
                raise Refusal(READ_ONLY)
            case _:
                raise Refusal("not a request")

    def _version(self, tag: int, message: codec.Tversion) -> None:
        self._msize = 0
        if message.msize < self._limits.ninep_least_msize:
            self._say(tag, Rerror("msize too small"))
            return
        known = message.version.split(".")[0] == codec.VERSION
        msize = min(message.msize, self._limits.ninep_msize)
        if known:
            self._msize = self._framer.most = msize
        self._write(codec.encode(tag, Rversion(msize, codec.VERSION if known else "unknown")))

    def _fid(self, fid: int) -> Fid:
        if fid not in self._fids:
            raise Refusal("unknown fid")
        if any(p.alone and p.fid == fid for p in self._pending.values()):
            raise Refusal("fid is being opened or walked")
        return self._fids[fid]

    def _free_fid(self, fid: int) -> None:
        reserved = [p.newfid for p in self._pending.values()]
        if fid in self._fids or fid in reserved or fid == NOFID:
            raise Refusal("fid already in use")
        if len(self._fids) + len(reserved) >= self._limits.ninep_fids:
            raise Refusal("too many fids")

    def _attach(self, tag: int, message: codec.Tattach) -> None:
        if message.afid != NOFID:
            raise Refusal("authentication not required")
        export = self._exports.get(message.aname)
        if not message.aname and len(self._exports) == 1:
            [export] = self._exports.values()  # what a client attaches that was told no name
        if export is None:
            raise Refusal("no such export")
        self._free_fid(message.fid)
        at = Fid(export, message.uname, (), Qid(codec.QTDIR, 0, 0))

        def told(reply: Message) -> Message:
            if isinstance(reply, Rattach):
                at.qid = reply.qid
                self._fids[message.fid] = at
            return reply

        self._ask(tag, Pending(NOFID, message.fid), at, Attach(at.uname, export.aname, ()), told)

    def _walk(self, tag: int, message: codec.Twalk) -> None:
        at = self._fid(message.fid)
        if at.mode is not None:
            raise Refusal("cannot walk an open fid")
        if message.newfid != message.fid:
            self._free_fid(message.newfid)
        for name in message.names:
            if not name or "/" in name or name == ".":
                raise Refusal("bad name in walk")
        path = normal(at.path, message.names)
        if (len(path) > self._limits.ninep_path_names
                or sum(map(len, path)) > self._limits.ninep_path_bytes):
            raise Refusal("path too long")
        if not message.names:
            self._fids[message.newfid] = Fid(at.export, at.uname, at.path, at.qid)
            self._say(tag, Rwalk(()))
            return

        def told(reply: Message) -> Message:
            # The new fid exists only when every name was found.
            if isinstance(reply, Rwalk) and len(reply.qids) == len(message.names):
                self._fids[message.newfid] = Fid(at.export, at.uname, path, reply.qids[-1])
            return reply

        newfid = message.newfid if message.newfid != message.fid else None
        self._ask(tag, Pending(message.fid, newfid, alone=newfid is None), at,
                  Walk(at.uname, at.export.aname, at.path, message.names), told)

    def _open(self, tag: int, message: codec.Topen) -> None:
        at = self._fid(message.fid)
        if at.mode is not None:
            raise Refusal("fid already open")
        if message.mode & ~OPEN_MODE or message.mode not in (OREAD, OEXEC):
            raise Refusal(READ_ONLY)

        def told(reply: Message) -> Message:
            if isinstance(reply, Ropen):
                at.qid, at.mode = reply.qid, message.mode
                most = self._msize - READ_OVERHEAD
                return Ropen(reply.qid, min(reply.iounit or most, most))
            return reply

        self._ask(tag, Pending(message.fid, alone=True), at,
                  Open(at.uname, at.export.aname, at.path, message.mode), told)

    def _read(self, tag: int, message: codec.Tread) -> None:
        at = self._fid(message.fid)
        if at.mode is None:
            raise Refusal("fid not open")
        count = min(message.count, self._msize - READ_OVERHEAD)
        if not count:
            self._say(tag, Rread(b""))
            return
        work = Read(at.uname, at.export.aname, at.path, at.qid, at.mode, message.offset, count)
        self._ask(tag, Pending(message.fid), at, work, lambda reply: reply,
                  -(-count // at.export.unit_bytes))

    def _stat_told(self, reply: Message) -> Message:
        if isinstance(reply, Rstat) and len(reply.stat) + 9 > self._msize:
            return Rerror("stat does not fit msize")
        return reply

    def _clunk(self, fid: int) -> None:
        """Forgets the fid. What is in flight on it is given up and answered first: one answer a tag."""
        if fid not in self._fids:
            raise Refusal("unknown fid")
        for tag in [t for t, p in self._pending.items() if p.fid == fid and p.newfid is None]:
            self._abandon(tag)
            self._say(tag, Rerror("fid clunked"))
        del self._fids[fid]

    # Items

    def _ask(self, tag: int, pending: Pending, at: Fid, work: Work, told: Callable[[Message], Message],
             units: int = 1) -> None:
        if len(self._pending) >= self._limits.ninep_tags:
            raise Refusal("too many requests in flight")
        export = at.export

        def answered(answer: Answer) -> None:
            if not pending.settled:
                pending.settled = True
                self._pending.pop(tag, None)
                self._say(tag, told(self._reply(answer)))

        self._pending[tag] = pending
        self.asked += 1
        try:
            pending.ticket = self._core.accept(
                Ask(export.cls, export.plan, export.volume, "/" + "/".join(work.path), float(units),
                    export.cell, export.deadline_us, export.hosts, work, size=getattr(work, "count", 0)),
                self._backend, answered)
        except Unfit as problem:  # the operator's export and the settings do not go together
            del self._pending[tag]
            raise Refusal(str(problem)) from None

    @staticmethod
    def _reply(answer: Answer) -> Message:
        match answer:
            case Served(value):
                assert isinstance(value, Message)
                return value
            case Refused(hold_off_us):
                wait = f"; come again after {-(-hold_off_us // MS)} ms" if hold_off_us else ""
                return Rerror("busy" + wait)
            case Failed(why):
                return Rerror(why)

    def _say(self, tag: int, message: Message) -> None:
        if isinstance(message, Rerror) and self._msize:
            # 9 bytes of frame and length; an error text is cut rather than break the agreed size.
            message = Rerror(message.ename.encode()[:self._msize - 9].decode(errors="ignore"))
        self._write(codec.encode(tag, message))
