"""What the head says to a file server that speaks 9P2000.L."""

from __future__ import annotations

import stat as posix
from dataclasses import replace

from garnetlanding.ninep import codec, codec_linux, errors
from garnetlanding.ninep.client_dialect import NewFile, unsupported
from garnetlanding.ninep.codec import Message, Qid
from garnetlanding.ninep.errors import OperationFailedError, Problem
from garnetlanding.ninep.model import (
    DM_FLAGS,
    Attr,
    Changes,
    Entry,
    Path,
    Space,
    getattr_attr,
    read_entries,
    user_number,
)
from garnetlanding.ninep.session import (
    Identity,
    OpenFile,
    OpenMode,
    Session,
    Steps,
    expect,
    open_file,
    walk,
)
from garnetlanding.runtime.errors import BackendProtocolError


def lopen_flags(open_mode: OpenMode) -> int:
    # Who may execute a file may have it read: Linux servers know no OEXEC.
    access = codec.OREAD if open_mode.access == codec.OEXEC else open_mode.access
    return access | (codec_linux.L_APPEND if open_mode.append else 0) | open_mode.sync


class LinuxClientDialect:
    version, table = codec_linux.VERSION, codec_linux.LINUX

    def attach(self, fid: int, identity: Identity) -> Message:
        return codec_linux.Tlattach(fid, codec.NOFID, identity.uname, identity.aname, identity.n_uname)

    def open(self, session: Session, fid: int, open_mode: OpenMode, truncate: bool) -> Steps[OpenFile]:
        flags = lopen_flags(open_mode) | (codec_linux.L_TRUNC if truncate else 0)
        reply = expect((yield codec_linux.Tlopen(fid, flags)), codec_linux.Rlopen)
        return OpenFile(fid, reply.qid, reply.iounit)

    def create(
        self, session: Session, parent: Path, name: str, new: NewFile, open_mode: OpenMode
    ) -> Steps[OpenFile]:
        if new.flags & DM_FLAGS:
            raise unsupported("an append-only or exclusive-use file", codec_linux.VERSION)
        fid, _ = yield from walk(session, parent, None)
        flags = (
            codec_linux.L_CREATE
            | lopen_flags(open_mode)
            | (codec_linux.L_EXCL if new.exclusive else 0)
            | (codec_linux.L_TRUNC if new.truncate else 0)
        )
        mode = posix.S_IFREG | new.perm & 0o7777
        reply = expect((yield codec_linux.Tlcreate(fid, name, flags, mode, new.gid)), codec_linux.Rlcreate)
        session.surplus_fids.remove(fid)
        return OpenFile(fid, reply.qid, reply.iounit)

    def stat(self, session: Session, fid: int) -> Steps[Attr]:
        return getattr_attr(
            expect((yield codec_linux.Tgetattr(fid, codec_linux.GETATTR_BASIC)), codec_linux.Rgetattr)
        )

    def change(self, session: Session, fid: int, qid: Qid, changes: Changes) -> Steps[None]:
        if changes.unchangeable:
            raise OperationFailedError(
                Problem(errors.EPERM, f"wstat cannot change {', '.join(changes.unchangeable)}")
            )
        if changes.flags is not None and changes.flags & DM_FLAGS:
            raise unsupported("an append-only or exclusive-use file", codec_linux.VERSION)
        if changes.is_empty:
            # Only an open file can be synced here.
            open_mode = OpenMode(codec.OREAD)
            file = yield from self.open(session, fid, open_mode, False)
            expect((yield codec_linux.Tfsync(file.fid, 0)), codec_linux.Rfsync)
            return
        valid, values = 0, [0] * 8  # mode uid gid size atime mtime
        for bit, at, value in (
            (codec_linux.SET_MODE, 0, changes.perm),
            (codec_linux.SET_UID, 1, self._user(changes.uid)),
            (codec_linux.SET_GID, 2, self._user(changes.gid)),
            (codec_linux.SET_SIZE, 3, changes.length),
        ):
            if value is not None:
                valid, values[at] = valid | bit, value
        for bits, at, time in (
            (codec_linux.SET_ATIME | codec_linux.SET_ATIME_TO, 4, changes.atime),
            (codec_linux.SET_MTIME | codec_linux.SET_MTIME_TO, 6, changes.mtime),
        ):
            if time is not None:
                valid |= bits
                values[at], values[at + 1] = time.s, time.ns
        expect((yield codec_linux.Tsetattr(fid, valid, *values)), codec_linux.Rsetattr)

    @staticmethod
    def _user(name: str | None) -> int | None:
        if name is not None and not name.isdigit():
            raise unsupported(f"the user {name!r:.40}, who has no number,", codec_linux.VERSION)
        return None if name is None else user_number(name)

    def move(self, session: Session, old: Path, new: Path, qid: Qid | None) -> Steps[None]:
        if qid is not None:
            yield from walk(session, old, qid)  # it must still be the file that the client means
        source, _ = yield from walk(session, old[:-1], None)
        target = source
        if old[:-1] != new[:-1]:
            target, _ = yield from walk(session, new[:-1], None)
        expect((yield codec_linux.Trenameat(source, old[-1], target, new[-1])), codec_linux.Rrenameat)

    def entries(
        self,
        session: Session,
        path: Path,
        open_mode: OpenMode,
        qid: Qid,
        cookie: int,
        count: int,
    ) -> Steps[list[Entry]]:
        file = yield from open_file(session, path, open_mode, qid)
        ask = min(count, session.room)
        data = expect((yield codec_linux.Treaddir(file.fid, cookie, ask)), codec_linux.Rreaddir).data
        if len(data) > ask:
            raise BackendProtocolError("more data than asked for")
        try:
            return read_entries(data)
        except ValueError as problem:
            raise BackendProtocolError(f"bad directory entry: {problem}") from None

    def with_attributes(
        self, session: Session, path: Path, entries: list[Entry], room: int
    ) -> Steps[list[Entry]]:
        """A 9P2000 client gets attributes with the names: each is asked for, as far as there is room. What
        has gone meanwhile is left out; `.` and `..` are not among a 9P2000 directory's entries."""
        known: list[Entry] = []
        for entry in entries:
            if entry.name in (".", ".."):
                known.append(entry)
                continue
            if room <= 0:
                break
            try:
                fid, _ = yield from walk(session, (*path, entry.name), None)
                attr = yield from self.stat(session, fid)
            except OperationFailedError as error:
                if error.problem.number not in (errors.ENOENT, errors.ESTALE):
                    raise
                known.append(replace(entry, name="."))  # its cookie still counts
                continue
            known.append(replace(entry, qid=attr.qid, attr=attr))
            room -= 49 + len(entry.name.encode()) + len(attr.uid) + len(attr.gid) + len(attr.muid)
        return known

    def sync(
        self, session: Session, path: Path, qid: Qid, open_mode: OpenMode, data_only: bool
    ) -> Steps[None]:
        file = yield from open_file(session, path, open_mode, qid)
        expect((yield codec_linux.Tfsync(file.fid, int(data_only))), codec_linux.Rfsync)

    def make_directory(self, session: Session, fid: int, name: str, new: NewFile) -> Steps[Qid]:
        reply = yield codec_linux.Tmkdir(fid, name, new.perm & 0o7777, new.gid)
        return expect(reply, codec_linux.Rmkdir).qid

    def make_node(
        self,
        session: Session,
        fid: int,
        name: str,
        new: NewFile,
        major: int,
        minor: int,
    ) -> Steps[Qid]:
        reply = yield codec_linux.Tmknod(fid, name, new.perm, major, minor, new.gid)
        return expect(reply, codec_linux.Rmknod).qid

    def symlink(self, session: Session, fid: int, name: str, target: str, gid: int) -> Steps[Qid]:
        return expect((yield codec_linux.Tsymlink(fid, name, target, gid)), codec_linux.Rsymlink).qid

    def read_link(self, session: Session, fid: int) -> Steps[str]:
        return expect((yield codec_linux.Treadlink(fid)), codec_linux.Rreadlink).target

    def link(self, session: Session, parent: int, fid: int, name: str) -> Steps[None]:
        expect((yield codec_linux.Tlink(parent, fid, name)), codec_linux.Rlink)

    def unlink(self, session: Session, parent: Path, name: str, directory: bool) -> Steps[None]:
        fid, _ = yield from walk(session, parent, None)
        flags = codec_linux.AT_REMOVEDIR if directory else 0
        expect((yield codec_linux.Tunlinkat(fid, name, flags)), codec_linux.Runlinkat)

    def stat_fs(self, session: Session, fid: int) -> Steps[Space]:
        reply = expect((yield codec_linux.Tstatfs(fid)), codec_linux.Rstatfs)
        return Space(
            reply.type,
            reply.bsize,
            reply.blocks,
            reply.bfree,
            reply.bavail,
            reply.files,
            reply.ffree,
            reply.fsid,
            reply.namelen,
        )
