"""What only 9P2000 clients say: open, create, stat, wstat, directories as streams of stats."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

from garnetlanding.ninep import codec, errors
from garnetlanding.ninep.client_dialect import NewFile
from garnetlanding.ninep.codec import ORCLOSE, OREAD, OTRUNC, Message
from garnetlanding.ninep.errors import Problem
from garnetlanding.ninep.fids import Fid, Pending, RequestRejectedError
from garnetlanding.ninep.model import (
    DM_FLAGS,
    DMDIR,
    PERM,
    Attr,
    Entry,
    pack_stat,
    parse_stat,
    plain_qid,
    raw_changes,
)
from garnetlanding.ninep.operations import Change, Create, MakeDirectory, Open, ReadDirectory, Stat
from garnetlanding.ninep.session import OpenMode

if TYPE_CHECKING:
    from garnetlanding.ninep.front import ClientMachine

ACCESS = 0x03
STAT_FRAME = codec.HEADER + 2  # what an Rstat takes beside its stat
ERROR_FRAME = codec.HEADER + 2


class PlainSpeaker:
    version, table = codec.VERSION, codec.PLAIN

    def __init__(self, machine: ClientMachine) -> None:
        self._m = machine

    def handle(self, tag: int, message: Message) -> None:
        match message:
            case codec.Topen(fid, mode):
                self._open(tag, fid, mode)
            case codec.Tcreate():
                self._create(tag, message)
            case codec.Tstat(fid):
                at = self._m.fid(fid)
                self._m.ask(
                    tag,
                    Pending(fid, Stat(at.identity, at.path, at.qid)),
                    at,
                    lambda attr: self._stat_told(at, attr),
                )
            case codec.Twstat(fid, stat):
                self._wstat(tag, fid, stat)
            case _:
                raise RequestRejectedError(errors.EPROTO, "not a request")

    def error(self, problem: Problem, msize: int) -> Message:
        # An error text is cut rather than break the agreed size.
        return codec.Rerror(problem.text.encode()[: msize - ERROR_FRAME].decode(errors="ignore"))

    def _stat_told(self, at: Fid, attr: Attr) -> Message:
        stat = pack_stat(at.path[-1] if at.path else "/", attr)
        if len(stat) + STAT_FRAME > self._m.msize:
            raise RequestRejectedError(errors.ERANGE, "stat does not fit msize")
        return codec.Rstat(stat)

    def _mode(self, at: Fid, mode: int) -> OpenMode:
        if mode & ~(ACCESS | OTRUNC | ORCLOSE):
            raise RequestRejectedError(errors.EINVAL, f"unknown open mode {mode:#x}")
        open_mode = OpenMode(mode & ACCESS)
        if not at.export.writable and (open_mode.writes or mode & (OTRUNC | ORCLOSE)):
            raise RequestRejectedError(errors.EROFS)
        return open_mode

    def _open(self, tag: int, fid: int, mode: int) -> None:
        at = self._m.unopened(fid)
        open_mode = self._mode(at, mode)
        truncate = bool(mode & OTRUNC)
        if at.is_dir and (open_mode.writes or truncate):
            raise RequestRejectedError(errors.EISDIR)
        if mode & ORCLOSE and not at.path:
            raise RequestRejectedError(errors.EBUSY, "cannot remove the root")

        def told(file: Any) -> Message:
            iounit = self._m.take_open(fid, at, file, open_mode)
            at.remove_on_close = bool(mode & ORCLOSE)
            return codec.Ropen(plain_qid(file.qid), iounit)

        self._m.ask(
            tag, Pending(fid, Open(at.identity, at.path, at.qid, open_mode, truncate), alone=True), at, told
        )

    def _create(self, tag: int, message: codec.Tcreate) -> None:
        at = self._m.unopened(message.fid)
        open_mode = self._mode(at, message.mode & ~OTRUNC)  # a new file is empty anyhow
        if not at.export.writable:
            raise RequestRejectedError(errors.EROFS)
        self._m.directory(message.fid, message.name)
        if message.perm & ~(DMDIR | DM_FLAGS | PERM):
            raise RequestRejectedError(errors.EINVAL, f"unknown kind of file {message.perm:#x}")
        path = (*at.path, message.name)
        self._m.bounded(path)
        new = NewFile(message.perm & PERM, message.perm & DM_FLAGS)

        def told(file: Any) -> Message:
            at.path, at.qid = path, file.qid
            iounit = self._m.take_open(message.fid, at, file, open_mode)
            at.remove_on_close = bool(message.mode & ORCLOSE)
            return codec.Rcreate(plain_qid(file.qid), iounit)

        def told_dir(qid: Any) -> Message:
            at.path, at.qid, at.open_mode = path, qid, open_mode
            at.remove_on_close = bool(message.mode & ORCLOSE)
            return codec.Rcreate(plain_qid(qid), self._m.msize - codec.READ_OVERHEAD)

        if not message.perm & DMDIR:
            work = Create(at.identity, at.path, at.qid, message.name, new, open_mode)
            return self._m.ask(tag, Pending(message.fid, work, alone=True), at, told)
        if open_mode.access != OREAD:
            raise RequestRejectedError(errors.EISDIR)
        made = MakeDirectory(at.identity, at.path, at.qid, message.name, new)
        self._m.ask(tag, Pending(message.fid, made, alone=True), at, told_dir)

    def _wstat(self, tag: int, fid: int, stat: bytes) -> None:
        at = self._m.fid(fid)
        if not at.export.writable:
            raise RequestRejectedError(errors.EROFS)
        try:
            changes = raw_changes(parse_stat(stat))
        except ValueError as problem:
            raise RequestRejectedError(errors.EINVAL, f"bad stat: {problem}") from None
        if changes.flags is not None:
            if bool(changes.flags & DMDIR) != at.is_dir:
                raise RequestRejectedError(
                    errors.EINVAL, "wstat cannot make a file a directory, or the reverse"
                )
            changes = replace(changes, flags=changes.flags & DM_FLAGS)
        if changes.length is not None:
            if at.is_dir and changes.length:
                raise RequestRejectedError(errors.EISDIR)
            self._m.good_offset(changes.length, 0)
            changes = replace(changes, length=None if at.is_dir else changes.length)
        if changes.name is not None:
            self._m.good_name(changes.name)
            if not at.path:
                raise RequestRejectedError(errors.EBUSY, "cannot rename the root")
            if changes.name == at.path[-1]:
                changes = replace(changes, name=None)
        old, name = at.path, changes.name

        def told(_: Any) -> Message:
            if name is not None:
                self._m.front.moved(at.export.name, old, (*old[:-1], name))
            return codec.Rwstat()

        self._m.ask(tag, Pending(fid, Change(at.identity, at.path, at.qid, changes)), at, told)

    def read_directory(self, tag: int, fid: int, at: Fid, offset: int, count: int) -> None:
        """A stream of stats, whole ones only, to be read from its start on (read(5))."""
        assert at.open_mode
        if offset not in (0, at.listing[0]):
            raise RequestRejectedError(errors.EINVAL, "bad offset in directory read")
        cookie = at.listing[1] if offset else 0

        def told(entries: Any) -> Message:
            data, to = self._fill(entries, cookie, count)
            at.listing = offset + len(data), to
            return codec.Rread(data)

        work = ReadDirectory(at.identity, at.path, at.qid, at.open_mode, cookie, count, attributes=True)
        self._m.ask(tag, Pending(fid, work), at, told, count)

    @staticmethod
    def _fill(entries: list[Entry], cookie: int, count: int) -> tuple[bytes, int]:
        """As many entries as fit, and where the next read goes on."""
        out: list[bytes] = []
        room = count
        for entry in entries:
            if entry.name not in (".", ".."):
                if entry.attr is None:
                    break
                stat = pack_stat(entry.name, entry.attr)
                if len(stat) > room:
                    if not out:
                        raise RequestRejectedError(errors.EINVAL, "count too small for a directory entry")
                    break
                out.append(stat)
                room -= len(stat)
            cookie = entry.cookie
        return b"".join(out), cookie
