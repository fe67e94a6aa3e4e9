"""What only 9P2000.L clients say. Errors are numbers; locks are the head's own (`locks.py`)."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from garnetlanding.ninep import codec, codec_linux, errors
from garnetlanding.ninep.client_dialect import NewFile
from garnetlanding.ninep.codec import Message
from garnetlanding.ninep.errors import Problem
from garnetlanding.ninep.fids import Fid, Pending, RequestRejectedError
from garnetlanding.ninep.locks import END, Owner, Range, span
from garnetlanding.ninep.model import Changes, Entry, Time, getattr_reply, pack_entry
from garnetlanding.ninep.operations import (
    Change,
    Create,
    Link,
    MakeDirectory,
    MakeNode,
    Open,
    ReadDirectory,
    ReadLink,
    Rename,
    Stat,
    StatFs,
    Symlink,
    Sync,
    Unlink,
    Work,
)
from garnetlanding.ninep.session import OpenMode

if TYPE_CHECKING:
    from garnetlanding.ninep.front import ClientMachine

PERM = 0o7777
READLINK_FRAME = codec.HEADER + 2


class LinuxSpeaker:
    version, table = codec_linux.VERSION, codec_linux.LINUX

    def __init__(self, machine: ClientMachine) -> None:
        self._m = machine

    def error(self, problem: Problem, msize: int) -> Message:
        return codec_linux.Rlerror(problem.number)

    def handle(self, tag: int, message: Message) -> None:
        match message:
            case codec_linux.Tgetattr(fid, _):
                at = self._m.fid(fid)
                self._m.ask(tag, Pending(fid, Stat(at.identity, at.path, at.qid)), at, getattr_reply)
            case codec_linux.Tlopen(fid, flags):
                self._open(tag, fid, flags)
            case codec_linux.Tlcreate():
                self._create(tag, message)
            case codec_linux.Tsetattr():
                self._setattr(tag, message)
            case codec_linux.Treaddir(fid, offset, count):
                self._readdir(tag, fid, offset, count)
            case codec_linux.Tfsync(fid, datasync):
                at, open_mode = self._m.opened(fid)
                work: Work = Sync(at.identity, at.path, at.qid, open_mode, bool(datasync))
                if not at.export.writable:
                    return self._m.say(tag, codec_linux.Rfsync())  # there is nothing to keep
                self._m.ask(tag, Pending(fid, work), at, lambda _: codec_linux.Rfsync())
            case codec_linux.Tlock() | codec_linux.Tgetlock():
                self._lock(tag, message)
            case codec_linux.Tstatfs(fid):
                at = self._m.fid(fid)
                self._m.ask(
                    tag,
                    Pending(fid, StatFs(at.identity, at.path, at.qid)),
                    at,
                    lambda s: codec_linux.Rstatfs(
                        s.type, s.bsize, s.blocks, s.bfree, s.bavail, s.files, s.ffree, s.fsid, s.namelen
                    ),
                )
            case codec_linux.Txattrwalk(fid) | codec_linux.Txattrcreate(fid):
                self._m.fid(fid)
                raise RequestRejectedError(errors.EOPNOTSUPP)
            case codec_linux.Treadlink(fid):
                at = self._m.fid(fid)
                self._m.ask(tag, Pending(fid, ReadLink(at.identity, at.path, at.qid)), at, self._link_told)
            case _:
                self._name(tag, message)

    def _name(self, tag: int, message: Message) -> None:
        """What makes, moves or takes away names."""
        match message:
            case codec_linux.Tmkdir(dfid, name, mode, gid):
                at = self._m.directory(dfid, name)
                self._make(
                    tag,
                    dfid,
                    at,
                    MakeDirectory(at.identity, at.path, at.qid, name, NewFile(mode & PERM, gid=gid)),
                    codec_linux.Rmkdir,
                )
            case codec_linux.Tmknod(dfid, name, mode, major, minor, gid):
                at = self._m.directory(dfid, name)
                self._make(
                    tag,
                    dfid,
                    at,
                    MakeNode(at.identity, at.path, at.qid, name, NewFile(mode, gid=gid), major, minor),
                    codec_linux.Rmknod,
                )
            case codec_linux.Tsymlink(dfid, name, target, gid):
                at = self._m.directory(dfid, name)
                self._make(
                    tag,
                    dfid,
                    at,
                    Symlink(at.identity, at.path, at.qid, name, target, gid),
                    codec_linux.Rsymlink,
                )
            case codec_linux.Tlink(dfid, fid, name):
                at, to = self._m.directory(dfid, name), self._m.fid(fid)
                self._same(at, to)
                if to.is_dir:
                    raise RequestRejectedError(errors.EPERM)
                self._m.ask(
                    tag,
                    Pending(dfid, Link(at.identity, at.path, at.qid, name, to.path, to.qid)),
                    at,
                    lambda _: codec_linux.Rlink(),
                )
            case codec_linux.Tunlinkat(dfid, name, flags):
                at = self._m.directory(dfid, name)
                if flags & ~codec_linux.AT_REMOVEDIR:
                    raise RequestRejectedError(errors.EINVAL)
                self._m.ask(
                    tag,
                    Pending(dfid, Unlink(at.identity, at.path, at.qid, name, bool(flags))),
                    at,
                    lambda _: codec_linux.Runlinkat(),
                )
            case codec_linux.Trename(fid, dfid, name):
                at, to = self._m.fid(fid), self._m.directory(dfid, name)
                self._rename(tag, fid, at, at.path, to, name, at, codec_linux.Rrename())
            case codec_linux.Trenameat(olddfid, oldname, newdfid, newname):
                old, to = self._m.directory(olddfid, oldname), self._m.directory(newdfid, newname)
                self._rename(
                    tag, olddfid, old, (*old.path, oldname), to, newname, None, codec_linux.Rrenameat()
                )
            case _:
                raise RequestRejectedError(errors.EOPNOTSUPP)

    def _make(self, tag: int, dfid: int, at: Fid, work: Work, reply: Any) -> None:
        self._m.ask(tag, Pending(dfid, work), at, lambda qid: reply(qid))

    @staticmethod
    def _same(a: Fid, b: Fid) -> None:
        if a.export is not b.export or a.identity != b.identity:
            raise RequestRejectedError(errors.EXDEV)

    def _rename(
        self,
        tag: int,
        fid: int,
        at: Fid,
        old: tuple[str, ...],
        to: Fid,
        name: str,
        file: Fid | None,
        reply: Message,
    ) -> None:
        self._same(at, to)
        new = (*to.path, name)
        if not old:
            raise RequestRejectedError(errors.EBUSY, "cannot rename the root")
        if new[: len(old)] == old and new != old:
            raise RequestRejectedError(errors.EINVAL, "a directory cannot move below itself")

        def told(_: Any) -> Message:
            self._m.front.moved(at.export.name, old, new)
            return reply

        work = Rename(at.identity, old, file.qid if file else None, new)
        self._m.ask(tag, Pending(fid, work), at, told)

    # Open files

    def _how(self, at: Fid, flags: int) -> OpenMode:
        access = flags & codec_linux.L_ACCESS
        if access == codec_linux.L_ACCESS:
            raise RequestRejectedError(errors.EINVAL)
        open_mode = OpenMode(
            access, bool(flags & codec_linux.L_APPEND), flags & (codec_linux.L_DSYNC | codec_linux.L_SYNC)
        )
        if not at.export.writable and (open_mode.writes or flags & codec_linux.L_TRUNC):
            raise RequestRejectedError(errors.EROFS)
        return open_mode

    def _open(self, tag: int, fid: int, flags: int) -> None:
        at = self._m.unopened(fid)
        open_mode = self._how(at, flags)
        truncate = bool(flags & codec_linux.L_TRUNC)
        if at.is_dir and (open_mode.writes or truncate):
            raise RequestRejectedError(errors.EISDIR)
        if flags & codec_linux.L_DIRECTORY and not at.is_dir:
            raise RequestRejectedError(errors.ENOTDIR)
        self._m.ask(
            tag,
            Pending(fid, Open(at.identity, at.path, at.qid, open_mode, truncate), alone=True),
            at,
            lambda file: codec_linux.Rlopen(file.qid, self._m.take_open(fid, at, file, open_mode)),
        )

    def _create(self, tag: int, message: codec_linux.Tlcreate) -> None:
        self._m.unopened(message.fid)
        at = self._m.directory(message.fid, message.name)
        open_mode = self._how(at, message.flags)
        path = (*at.path, message.name)
        new = NewFile(
            message.mode & PERM,
            gid=message.gid,
            exclusive=bool(message.flags & codec_linux.L_EXCL),
            truncate=bool(message.flags & codec_linux.L_TRUNC),
        )

        def told(file: Any) -> Message:
            at.path, at.qid = path, file.qid
            return codec_linux.Rlcreate(file.qid, self._m.take_open(message.fid, at, file, open_mode))

        work = Create(at.identity, at.path, at.qid, message.name, new, open_mode)
        self._m.ask(tag, Pending(message.fid, work, alone=True), at, told)

    def _setattr(self, tag: int, message: codec_linux.Tsetattr) -> None:
        at = self._m.fid(message.fid)
        valid = message.valid
        if not at.export.writable:
            raise RequestRejectedError(errors.EROFS)
        if valid & codec_linux.SET_SIZE:
            if at.is_dir:
                raise RequestRejectedError(errors.EISDIR)
            self._m.good_offset(message.size, 0)
        now = self._m.front.wall_time()

        def time(what: int, given: int, s: int, ns: int) -> Time | None:
            """Without a value it is the time now; the client leaves that to the server."""
            if not valid & what:
                return None
            return Time(s, ns) if valid & given else now

        changes = Changes(
            perm=message.mode & PERM if valid & codec_linux.SET_MODE else None,
            uid=str(message.uid) if valid & codec_linux.SET_UID else None,
            gid=str(message.gid) if valid & codec_linux.SET_GID else None,
            length=message.size if valid & codec_linux.SET_SIZE else None,
            atime=time(codec_linux.SET_ATIME, codec_linux.SET_ATIME_TO, message.atime_s, message.atime_ns),
            mtime=time(codec_linux.SET_MTIME, codec_linux.SET_MTIME_TO, message.mtime_s, message.mtime_ns),
        )
        if changes.is_empty:
            # The time of the last change of attributes is the server's own to set.
            return self._m.say(tag, codec_linux.Rsetattr())
        self._m.ask(
            tag,
            Pending(message.fid, Change(at.identity, at.path, at.qid, changes)),
            at,
            lambda _: codec_linux.Rsetattr(),
        )

    # Directories and links

    def read_directory(self, tag: int, fid: int, at: Fid, offset: int, count: int) -> None:
        raise RequestRejectedError(errors.EISDIR)

    def _readdir(self, tag: int, fid: int, offset: int, count: int) -> None:
        at, open_mode = self._m.opened(fid)
        if not at.is_dir:
            raise RequestRejectedError(errors.ENOTDIR)
        count = min(count, self._m.msize - codec.READ_OVERHEAD)
        work = ReadDirectory(at.identity, at.path, at.qid, open_mode, offset, count)
        self._m.ask(tag, Pending(fid, work), at, lambda entries: self._fill(entries, count), count)

    @staticmethod
    def _fill(entries: list[Entry], count: int) -> Message:
        out: list[bytes] = []
        room = count
        for entry in entries:
            packed = pack_entry(entry)
            room -= len(packed)
            if room < 0:
                break
            out.append(packed)
        if entries and not out:
            raise RequestRejectedError(errors.EINVAL)  # not even one fits
        return codec_linux.Rreaddir(b"".join(out))

    def _link_told(self, target: str) -> Message:
        if len(target.encode()) + READLINK_FRAME > self._m.msize:
            raise RequestRejectedError(errors.ENAMETOOLONG)
        return codec_linux.Rreadlink(target)

    # Locks

    def _lock(self, tag: int, message: codec_linux.Tlock | codec_linux.Tgetlock) -> None:
        at, open_mode = self._m.opened(message.fid)
        if at.is_dir:
            raise RequestRejectedError(errors.EISDIR)
        if len(message.client_id.encode()) > self._m.limits.ninep_lock_owner_bytes:
            raise RequestRejectedError(errors.EINVAL)
        self._m.good_offset(message.start, 0)
        start, end = span(message.start, message.length)
        owner = Owner(self._m.id, message.proc_id, message.client_id)
        locks, wanted = (
            self._m.front.locks,
            Range(owner, message.fid, message.type == codec_linux.LOCK_WRITE, start, end),
        )
        if isinstance(message, codec_linux.Tgetlock):
            if message.type not in (codec_linux.LOCK_READ, codec_linux.LOCK_WRITE):
                raise RequestRejectedError(errors.EINVAL)
            return self._m.say(tag, self._blocker(message, locks.conflict(at.file, wanted)))
        if message.type == codec_linux.LOCK_NONE:
            locks.release(at.file, owner, start, end)
            return self._m.say(tag, codec_linux.Rlock(codec_linux.LOCK_DONE))
        if message.type not in (codec_linux.LOCK_READ, codec_linux.LOCK_WRITE):
            raise RequestRejectedError(errors.EINVAL)
        if not (open_mode.writes if wanted.write else open_mode.reads):
            raise RequestRejectedError(errors.EBADF)
        try:
            taken = locks.take(at.file, wanted)
        except OverflowError:
            raise RequestRejectedError(errors.ENOLCK) from None
        # A client that would wait asks again; it is told the same (Documentation/filesystems/9p).
        self._m.say(tag, codec_linux.Rlock(codec_linux.LOCK_DONE if taken else codec_linux.LOCK_BLOCKED))

    @staticmethod
    def _blocker(asked: codec_linux.Tgetlock, held: Range | None) -> Message:
        if held is None:
            return codec_linux.Rgetlock(
                codec_linux.LOCK_NONE, asked.start, asked.length, asked.proc_id, asked.client_id
            )
        return codec_linux.Rgetlock(
            codec_linux.LOCK_WRITE if held.write else codec_linux.LOCK_READ,
            held.start,
            0 if held.end == END else held.end - held.start,
            held.owner.proc_id,
            held.owner.client_id,
        )
