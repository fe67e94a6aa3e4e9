"""The emulated file server's part that only 9P2000.L has."""

from __future__ import annotations

import stat

from garnetlanding.emulator.disk import BLOCK, DiskError
from garnetlanding.emulator.file_connection import SIGNED_END, Dialect, FileConnection, OpenFid
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import codec_linux as p9l
from garnetlanding.ninep import errors
from garnetlanding.ninep.attribute_format import getattr_reply, pack_entry
from garnetlanding.ninep.errors import Problem
from garnetlanding.ninep.locks import END, LockOwner, LockRange, byte_span
from garnetlanding.ninep.model import Entry, Time, d_type, good_name

PERM = 0o7777
FS_MAGIC = 0x01021997  # of 9P, as statfs(2) tells it


class LinuxDialect(Dialect):
    table = p9l.LINUX

    def error(self, problem: Problem) -> p9.Message:
        return p9l.Rlerror(problem.number)

    def reply(self, conn: FileConnection, message: p9.Message) -> p9.Message | None:
        return self._file(conn, message) or self._names(conn, message) or self._rest(conn, message)

    def _file(self, conn: FileConnection, message: p9.Message) -> p9.Message | None:
        disk = conn.server.disk
        match message:
            case p9l.Tgetattr(fid, _):
                return getattr_reply(disk.attr(conn.fid(fid).node, conn.server.salt))
            case p9l.Tsetattr():
                self._setattr(conn, message)
                return p9l.Rsetattr()
            case p9l.Tlopen(fid, flags):
                at = conn.unopened(fid)
                self._flags(flags)
                if at.node.is_link:
                    raise DiskError(errors.ELOOP)
                if flags & p9l.L_DIRECTORY and not at.node.is_dir:
                    raise DiskError(errors.ENOTDIR)
                qid = conn.open(fid, at, flags & 3, bool(flags & p9l.L_TRUNC))
                at.append = bool(flags & p9l.L_APPEND)
                return p9l.Rlopen(qid, 0)
            case p9l.Tlcreate():
                return self._create(conn, message)
            case p9l.Treaddir(fid, offset, count):
                return self._readdir(conn, conn.fid(fid), offset, count)
            case p9l.Tfsync(fid, _):
                if conn.fid(fid).access is None:
                    raise DiskError(errors.EBADF)
                return p9l.Rfsync()
        return None

    @staticmethod
    def _flags(flags: int) -> None:
        if flags & 3 == 3:
            raise DiskError(errors.EINVAL)

    def _parent(self, conn: FileConnection, fid: int, name: str) -> OpenFid:
        at = conn.fid(fid)
        if not at.node.is_dir:
            raise DiskError(errors.ENOTDIR)
        if not good_name(name):
            raise DiskError(errors.EINVAL)
        conn.server.disk.need(at.node, at.user, 1)
        return at

    def _writable(self, conn: FileConnection, fid: int, name: str) -> OpenFid:
        at = self._parent(conn, fid, name)
        conn.server.disk.need(at.node, at.user, 2)
        return at

    def _create(self, conn: FileConnection, message: p9l.Tlcreate) -> p9.Message:
        conn.unopened(message.fid)
        at, disk = self._parent(conn, message.fid, message.name), conn.server.disk
        self._flags(message.flags)
        if message.name in at.node.names:
            if message.flags & p9l.L_EXCL:
                raise DiskError(errors.EEXIST)
            node = at.node.names[message.name][0]
            to = OpenFid(node, at.user, at.node, message.name)
            conn.open(message.fid, to, message.flags & 3, bool(message.flags & p9l.L_TRUNC))
        else:
            disk.need(at.node, at.user, 2)
            mode = stat.S_IFREG | message.mode & PERM
            node = disk.make(at.node, message.name, mode, at.user, self._gid(message.gid, at))
            to = OpenFid(node, at.user, at.node, message.name, message.flags & 3)
        to.append = bool(message.flags & p9l.L_APPEND)
        conn.fids[message.fid] = to
        return p9l.Rlcreate(conn.qid(node), 0)

    @staticmethod
    def _gid(gid: int, at: OpenFid) -> str:
        return at.user if gid == p9l.NOGID else str(gid)

    def _setattr(self, conn: FileConnection, message: p9l.Tsetattr) -> None:
        at, disk, valid = conn.fid(message.fid), conn.server.disk, message.valid
        node = at.node
        owner = at.user in (node.uid, "root", "0")
        if valid & (p9l.SET_MODE | p9l.SET_GID | p9l.SET_UID) and not owner:
            raise DiskError(errors.EPERM)
        if valid & p9l.SET_UID and str(message.uid) != node.uid and at.user not in ("root", "0"):
            raise DiskError(errors.EPERM)
        if valid & (p9l.SET_ATIME_TO | p9l.SET_MTIME_TO) and not owner:
            raise DiskError(errors.EPERM)
        if valid & (p9l.SET_ATIME | p9l.SET_MTIME) and not owner:
            disk.need(node, at.user, 2)
        if valid & p9l.SET_SIZE:
            if node.is_dir:
                raise DiskError(errors.EISDIR)
            if message.size > SIGNED_END:
                raise DiskError(errors.EINVAL)
            disk.need(node, at.user, 2)
            disk.truncate(node, message.size, at.user)
        if valid & p9l.SET_MODE:
            node.mode = stat.S_IFMT(node.mode) | message.mode & PERM
        if valid & p9l.SET_UID:
            node.uid = str(message.uid)
        if valid & p9l.SET_GID:
            node.gid = str(message.gid)
        if valid & p9l.SET_ATIME:
            node.atime = Time(message.atime_s, message.atime_ns) if valid & p9l.SET_ATIME_TO else disk.now
        if valid & p9l.SET_MTIME:
            node.mtime = Time(message.mtime_s, message.mtime_ns) if valid & p9l.SET_MTIME_TO else disk.now
        node.ctime = disk.now
        disk.ran.append(("setattr", node.number, valid))

    def _readdir(self, conn: FileConnection, at: OpenFid, offset: int, count: int) -> p9.Message:
        if at.access is None:
            raise DiskError(errors.EBADF)
        if not at.node.is_dir:
            raise DiskError(errors.ENOTDIR)
        count = min(count, conn.msize - p9.READ_OVERHEAD)
        assert at.node.parent
        entries = [Entry(".", conn.qid(at.node), 1, 4), Entry("..", conn.qid(at.node.parent), 2, 4)]
        entries += [
            Entry(name, conn.qid(node), cookie, d_type(conn.qid(node)))
            for name, node, cookie in conn.server.disk.entries(at.node)
        ]
        out, room, left = [], count, [e for e in entries if e.cookie > offset]
        for entry in left:
            packed = pack_entry(entry)
            room -= len(packed)
            if room < 0:
                break
            out.append(packed)
        if left and not out:
            raise DiskError(errors.EINVAL)
        return p9l.Rreaddir(b"".join(out))

    def _names(self, conn: FileConnection, message: p9.Message) -> p9.Message | None:
        disk = conn.server.disk
        match message:
            case p9l.Tmkdir(dfid, name, mode, gid):
                at = self._writable(conn, dfid, name)
                return p9l.Rmkdir(
                    conn.qid(
                        disk.make(at.node, name, stat.S_IFDIR | mode & PERM, at.user, self._gid(gid, at))
                    )
                )
            case p9l.Tmknod(dfid, name, mode, major, minor, gid):
                at = self._writable(conn, dfid, name)
                return p9l.Rmknod(
                    conn.qid(
                        disk.make(at.node, name, mode, at.user, self._gid(gid, at), rdev=major << 8 | minor)
                    )
                )
            case p9l.Tsymlink(dfid, name, target, gid):
                at = self._writable(conn, dfid, name)
                return p9l.Rsymlink(
                    conn.qid(
                        disk.make(
                            at.node, name, stat.S_IFLNK | 0o777, at.user, self._gid(gid, at), target=target
                        )
                    )
                )
            case p9l.Tlink(dfid, fid, name):
                at, to = self._writable(conn, dfid, name), conn.fid(fid)
                if to.node.is_dir:
                    raise DiskError(errors.EPERM)
                disk.link(at.node, name, to.node, at.user)
                return p9l.Rlink()
            case p9l.Tunlinkat(dfid, name, flags):
                self._unlink(conn, self._writable(conn, dfid, name), name, flags)
                return p9l.Runlinkat()
            case p9l.Trename(fid, dfid, name):
                at, to = conn.fid(fid), self._writable(conn, dfid, name)
                if at.parent is None:
                    raise DiskError(errors.EBUSY)
                self._rename(conn, at.parent, at.name, to, name)
                return p9l.Rrename()
            case p9l.Trenameat(olddfid, oldname, newdfid, newname):
                old, to = self._writable(conn, olddfid, oldname), self._writable(conn, newdfid, newname)
                self._rename(conn, old.node, oldname, to, newname)
                return p9l.Rrenameat()
        return None

    @staticmethod
    def _unlink(conn: FileConnection, at: OpenFid, name: str, flags: int) -> None:
        if flags & ~p9l.AT_REMOVEDIR:
            raise DiskError(errors.EINVAL)
        is_dir = conn.server.disk.child(at.node, name).is_dir
        if is_dir != bool(flags):
            raise DiskError(errors.EISDIR if is_dir else errors.ENOTDIR)
        conn.server.disk.unlink(at.node, name, at.user)

    @staticmethod
    def _rename(conn: FileConnection, parent: object, name: str, to: OpenFid, new: str) -> None:
        from garnetlanding.emulator.disk import Inode

        assert isinstance(parent, Inode)
        disk = conn.server.disk
        disk.need(parent, to.user, 2)
        node = disk.child(parent, name)
        disk.rename(parent, name, to.node, new, to.user, replace=True)
        conn.server.renamed(parent, name, to.node, new, node)

    def _rest(self, conn: FileConnection, message: p9.Message) -> p9.Message | None:
        match message:
            case p9l.Treadlink(fid):
                at = conn.fid(fid)
                if not at.node.is_link:
                    raise DiskError(errors.EINVAL)
                return p9l.Rreadlink(at.node.target)
            case p9l.Tstatfs(fid):
                conn.fid(fid)
                disk = conn.server.disk
                free = max(0, disk.capacity - disk.used) // BLOCK
                return p9l.Rstatfs(
                    FS_MAGIC, BLOCK, disk.capacity // BLOCK, free, free, 1 << 20, 1 << 19, 1, 255
                )
            case p9l.Txattrwalk(fid) | p9l.Txattrcreate(fid):
                conn.fid(fid)
                raise DiskError(errors.EOPNOTSUPP)
            case p9l.Tlock() | p9l.Tgetlock():
                return self._lock(conn, message)
        return None

    @staticmethod
    def _lock(conn: FileConnection, message: p9l.Tlock | p9l.Tgetlock) -> p9.Message:
        at, locks = conn.fid(message.fid), conn.server.locks
        if at.access is None:
            raise DiskError(errors.EBADF)
        if at.node.is_dir:
            raise DiskError(errors.EISDIR)
        start, end = byte_span(message.start, message.length)
        owner, file = LockOwner(conn.id, message.proc_id, message.client_id), ("", at.node.number)
        write = message.type == p9l.LOCK_WRITE
        wanted = LockRange(owner, message.fid, write, start, end)
        if message.type > p9l.LOCK_NONE or start >= SIGNED_END:
            raise DiskError(errors.EINVAL)
        if isinstance(message, p9l.Tgetlock):
            held = locks.conflict(file, wanted)
            if held is None:
                return p9l.Rgetlock(
                    p9l.LOCK_NONE, message.start, message.length, message.proc_id, message.client_id
                )
            return p9l.Rgetlock(
                p9l.LOCK_WRITE if held.write else p9l.LOCK_READ,
                held.start,
                0 if held.end == END else held.end - held.start,
                held.owner.proc_id,
                held.owner.client_id,
            )
        if message.type == p9l.LOCK_NONE:
            locks.release(file, owner, start, end)
            return p9l.Rlock(p9l.LOCK_DONE)
        if at.access not in ((p9.OWRITE, p9.ORDWR) if write else (p9.OREAD, p9.ORDWR)):
            raise DiskError(errors.EBADF)
        return p9l.Rlock(p9l.LOCK_DONE if locks.acquire(file, wanted) else p9l.LOCK_BLOCKED)
