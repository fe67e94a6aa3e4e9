"""The emulated file server's part that only 9P2000.L has."""

from __future__ import annotations

import stat
from dataclasses import replace

from garnetlanding.emulator.disk import BLOCK, SEARCH, WRITE, DiskError, Inode, InodeExtras
from garnetlanding.emulator.file_connection import SIGNED_END, Dialect, FileConnection, OpenFid
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import codec_linux as p9l
from garnetlanding.ninep import errors
from garnetlanding.ninep.attribute_format import getattr_reply, pack_entry
from garnetlanding.ninep.errors import ErrorReply
from garnetlanding.ninep.locks import UNBOUNDED_END, LockOwner, LockRange, byte_span
from garnetlanding.ninep.model import DirectoryEntry, Timestamp, dirent_type, is_valid_name

PERM = 0o7777
ACCESS = 3  # the bits of open flags for reading, writing or both; all of them are no access
FS_MAGIC = 0x01021997  # of 9P, as statfs(2) reports it


class LinuxDialect(Dialect):
    """9P2000.L, with errors as POSIX numbers."""

    table = p9l.LINUX_MESSAGES

    def error(self, problem: ErrorReply) -> p9.Message:
        """Return the Rlerror with the problem's number."""
        return p9l.Rlerror(problem.errno)

    def reply(self, connection: FileConnection, message: p9.Message) -> p9.Message | None:
        """Serve the messages that only 9P2000.L has, from Tgetattr to Tlock."""
        return (
            self._serve_file(connection, message)
            or self._serve_names(connection, message)
            or self._serve_others(connection, message)
        )

    def _serve_file(self, connection: FileConnection, message: p9.Message) -> p9.Message | None:
        disk = connection.server.disk
        match message:
            case p9l.Tgetattr(fid, _):
                return getattr_reply(disk.attr(connection.fid(fid).node, connection.server.salt))
            case p9l.Tsetattr():
                self._setattr(connection, message)
                return p9l.Rsetattr()
            case p9l.Tlopen(fid, flags):
                return self._open(connection, fid, flags)
            case p9l.Tlcreate():
                return self._create(connection, message)
            case p9l.Treaddir(fid, offset, count):
                return self._readdir(connection, connection.fid(fid), offset, count)
            case p9l.Tfsync(fid, _):
                if connection.fid(fid).access is None:
                    raise DiskError(errors.EBADF)
                return p9l.Rfsync()
        return None

    def _open(self, connection: FileConnection, fid: int, flags: int) -> p9.Message:
        at = connection.unopened(fid)
        self._check_flags(flags)
        if at.node.is_link:
            raise DiskError(errors.ELOOP)
        if flags & p9l.L_DIRECTORY and not at.node.is_dir:
            raise DiskError(errors.ENOTDIR)
        qid = connection.open(fid, at, flags & ACCESS, bool(flags & p9l.L_TRUNC))
        at.append = bool(flags & p9l.L_APPEND)
        return p9l.Rlopen(qid, 0)

    @staticmethod
    def _check_flags(flags: int) -> None:
        if flags & ACCESS == ACCESS:
            raise DiskError(errors.EINVAL)

    def _parent(self, connection: FileConnection, fid: int, name: str) -> OpenFid:
        at = connection.fid(fid)
        if not at.node.is_dir:
            raise DiskError(errors.ENOTDIR)
        if not is_valid_name(name):
            raise DiskError(errors.EINVAL)
        connection.server.disk.need(at.node, at.user, SEARCH)
        return at

    def _writable(self, connection: FileConnection, fid: int, name: str) -> OpenFid:
        at = self._parent(connection, fid, name)
        connection.server.disk.need(at.node, at.user, WRITE)
        return at

    def _create(self, connection: FileConnection, message: p9l.Tlcreate) -> p9.Message:
        connection.unopened(message.fid)
        at = self._parent(connection, message.fid, message.name)
        disk = connection.server.disk
        self._check_flags(message.flags)
        if message.name in at.node.names:
            if message.flags & p9l.L_EXCL:
                raise DiskError(errors.EEXIST)
            node = at.node.names[message.name][0]
            to = OpenFid(node, at.user, at.node, message.name)
            connection.open(message.fid, to, message.flags & ACCESS, bool(message.flags & p9l.L_TRUNC))
        else:
            disk.need(at.node, at.user, WRITE)
            mode = stat.S_IFREG | message.mode & PERM
            node = disk.make(at.node, message.name, mode, at.user, self._group(message.gid, at))
            to = OpenFid(node, at.user, at.node, message.name, message.flags & ACCESS)
        to.append = bool(message.flags & p9l.L_APPEND)
        connection.fids[message.fid] = to
        return p9l.Rlcreate(connection.qid(node), 0)

    @staticmethod
    def _group(gid: int, at: OpenFid) -> InodeExtras:
        return InodeExtras(gid=at.user if gid == p9l.NOGID else str(gid))

    def _setattr(self, connection: FileConnection, message: p9l.Tsetattr) -> None:
        at = connection.fid(message.fid)
        disk = connection.server.disk
        self._check_owner(connection, at, message)
        if message.valid & p9l.SETATTR_SIZE:
            self._check_size(connection, at, message.size)
            disk.truncate(at.node, message.size, at.user)
        self._set_ownership(at.node, message)
        self._set_times(connection, at.node, message)
        at.node.ctime = disk.now
        disk.ran.append(("setattr", at.node.number, message.valid))

    @staticmethod
    def _check_owner(connection: FileConnection, at: OpenFid, message: p9l.Tsetattr) -> None:
        node = at.node
        valid = message.valid
        owner = at.user in (node.uid, "root", "0")
        if valid & (p9l.SETATTR_MODE | p9l.SETATTR_GID | p9l.SETATTR_UID) and not owner:
            raise DiskError(errors.EPERM)
        if valid & p9l.SETATTR_UID and str(message.uid) != node.uid and at.user not in ("root", "0"):
            raise DiskError(errors.EPERM)
        if valid & (p9l.SETATTR_ATIME_SET | p9l.SETATTR_MTIME_SET) and not owner:
            raise DiskError(errors.EPERM)
        if valid & (p9l.SETATTR_ATIME | p9l.SETATTR_MTIME) and not owner:
            connection.server.disk.need(node, at.user, WRITE)

    @staticmethod
    def _check_size(connection: FileConnection, at: OpenFid, size: int) -> None:
        if at.node.is_dir:
            raise DiskError(errors.EISDIR)
        if size > SIGNED_END:
            raise DiskError(errors.EINVAL)
        connection.server.disk.need(at.node, at.user, WRITE)

    @staticmethod
    def _set_ownership(node: Inode, message: p9l.Tsetattr) -> None:
        valid = message.valid
        if valid & p9l.SETATTR_MODE:
            node.mode = stat.S_IFMT(node.mode) | message.mode & PERM
        if valid & p9l.SETATTR_UID:
            node.uid = str(message.uid)
        if valid & p9l.SETATTR_GID:
            node.gid = str(message.gid)

    @staticmethod
    def _set_times(connection: FileConnection, node: Inode, message: p9l.Tsetattr) -> None:
        disk = connection.server.disk
        valid = message.valid
        if valid & p9l.SETATTR_ATIME:
            node.atime = (
                Timestamp(message.atime_s, message.atime_ns) if valid & p9l.SETATTR_ATIME_SET else disk.now
            )
        if valid & p9l.SETATTR_MTIME:
            node.mtime = (
                Timestamp(message.mtime_s, message.mtime_ns) if valid & p9l.SETATTR_MTIME_SET else disk.now
            )

    def _readdir(self, connection: FileConnection, at: OpenFid, offset: int, count: int) -> p9.Message:
        if at.access is None:
            raise DiskError(errors.EBADF)
        if not at.node.is_dir:
            raise DiskError(errors.ENOTDIR)
        count = min(count, connection.msize - p9.IO_HEADER_BYTES)
        assert at.node.parent
        entries = [
            DirectoryEntry(".", connection.qid(at.node), 1, 4),
            DirectoryEntry("..", connection.qid(at.node.parent), 2, 4),
        ]
        entries += [
            DirectoryEntry(name, connection.qid(node), cookie, dirent_type(connection.qid(node)))
            for name, node, cookie in connection.server.disk.entries(at.node)
        ]
        following = [entry for entry in entries if entry.cookie > offset]
        packed_entries: list[bytes] = []
        remaining = count
        for entry in following:
            packed = pack_entry(entry)
            remaining -= len(packed)
            if remaining < 0:
                break
            packed_entries.append(packed)
        if following and not packed_entries:
            raise DiskError(errors.EINVAL)
        return p9l.Rreaddir(b"".join(packed_entries))

    def _serve_names(self, connection: FileConnection, message: p9.Message) -> p9.Message | None:
        match message:
            case p9l.Tmkdir():
                return self._make_directory(connection, message)
            case p9l.Tmknod():
                return self._make_node(connection, message)
            case p9l.Tsymlink():
                return self._make_symlink(connection, message)
            case p9l.Tlink():
                return self._make_link(connection, message)
            case p9l.Tunlinkat(dfid, name, flags):
                self._unlink(connection, self._writable(connection, dfid, name), name, flags)
                return p9l.Runlinkat()
            case p9l.Trename():
                return self._rename_fid(connection, message)
            case p9l.Trenameat(olddfid, oldname, newdfid, newname):
                old = self._writable(connection, olddfid, oldname)
                to = self._writable(connection, newdfid, newname)
                self._rename(connection, old.node, oldname, to, newname)
                return p9l.Rrenameat()
        return None

    def _make_directory(self, connection: FileConnection, message: p9l.Tmkdir) -> p9.Message:
        at = self._writable(connection, message.dfid, message.name)
        mode = stat.S_IFDIR | message.mode & PERM
        node = connection.server.disk.make(at.node, message.name, mode, at.user, self._group(message.gid, at))
        return p9l.Rmkdir(connection.qid(node))

    def _make_node(self, connection: FileConnection, message: p9l.Tmknod) -> p9.Message:
        at = self._writable(connection, message.dfid, message.name)
        extras = replace(self._group(message.gid, at), rdev=message.major << 8 | message.minor)
        node = connection.server.disk.make(at.node, message.name, message.mode, at.user, extras)
        return p9l.Rmknod(connection.qid(node))

    def _make_symlink(self, connection: FileConnection, message: p9l.Tsymlink) -> p9.Message:
        at = self._writable(connection, message.dfid, message.name)
        extras = replace(self._group(message.gid, at), target=message.target)
        node = connection.server.disk.make(at.node, message.name, stat.S_IFLNK | 0o777, at.user, extras)
        return p9l.Rsymlink(connection.qid(node))

    def _make_link(self, connection: FileConnection, message: p9l.Tlink) -> p9.Message:
        at = self._writable(connection, message.dfid, message.name)
        to = connection.fid(message.fid)
        if to.node.is_dir:
            raise DiskError(errors.EPERM)
        connection.server.disk.link(at.node, message.name, to.node, at.user)
        return p9l.Rlink()

    def _rename_fid(self, connection: FileConnection, message: p9l.Trename) -> p9.Message:
        at = connection.fid(message.fid)
        to = self._writable(connection, message.dfid, message.name)
        if at.parent is None:
            raise DiskError(errors.EBUSY)
        self._rename(connection, at.parent, at.name, to, message.name)
        return p9l.Rrename()

    @staticmethod
    def _unlink(connection: FileConnection, at: OpenFid, name: str, flags: int) -> None:
        if flags & ~p9l.AT_REMOVEDIR:
            raise DiskError(errors.EINVAL)
        is_dir = connection.server.disk.child(at.node, name).is_dir
        if is_dir != bool(flags):
            raise DiskError(errors.EISDIR if is_dir else errors.ENOTDIR)
        connection.server.disk.unlink(at.node, name, at.user)

    @staticmethod
    def _rename(connection: FileConnection, parent: Inode, name: str, to: OpenFid, new: str) -> None:
        disk = connection.server.disk
        disk.need(parent, to.user, WRITE)
        node = disk.child(parent, name)
        disk.rename(parent, name, to.node, new, to.user, replace=True)
        connection.server.renamed(parent, name, to.node, new, node)

    def _serve_others(self, connection: FileConnection, message: p9.Message) -> p9.Message | None:
        match message:
            case p9l.Treadlink(fid):
                at = connection.fid(fid)
                if not at.node.is_link:
                    raise DiskError(errors.EINVAL)
                return p9l.Rreadlink(at.node.target)
            case p9l.Tstatfs(fid):
                connection.fid(fid)
                disk = connection.server.disk
                free = max(0, disk.capacity - disk.used) // BLOCK
                return p9l.Rstatfs(
                    FS_MAGIC, BLOCK, disk.capacity // BLOCK, free, free, 1 << 20, 1 << 19, 1, 255
                )
            case p9l.Txattrwalk(fid) | p9l.Txattrcreate(fid):
                connection.fid(fid)
                raise DiskError(errors.EOPNOTSUPP)
            case p9l.Tlock() | p9l.Tgetlock():
                return self._lock(connection, message)
        return None

    def _lock(self, connection: FileConnection, message: p9l.Tlock | p9l.Tgetlock) -> p9.Message:
        at = connection.fid(message.fid)
        locks = connection.server.locks
        if at.access is None:
            raise DiskError(errors.EBADF)
        if at.node.is_dir:
            raise DiskError(errors.EISDIR)
        start, end = byte_span(message.start, message.length)
        owner = LockOwner(connection.id, message.proc_id, message.client_id)
        file = ("", at.node.number)
        write = message.type == p9l.LOCK_TYPE_WRITE
        wanted = LockRange(owner, message.fid, write, start, end)
        if message.type > p9l.LOCK_TYPE_UNLOCK or start >= SIGNED_END:
            raise DiskError(errors.EINVAL)
        if isinstance(message, p9l.Tgetlock):
            return self._conflict_reply(message, locks.find_conflict(file, wanted))
        if message.type == p9l.LOCK_TYPE_UNLOCK:
            locks.release(file, owner, start, end)
            return p9l.Rlock(p9l.LOCK_STATUS_SUCCESS)
        if at.access not in ((p9.OWRITE, p9.ORDWR) if write else (p9.OREAD, p9.ORDWR)):
            raise DiskError(errors.EBADF)
        return p9l.Rlock(p9l.LOCK_STATUS_SUCCESS if locks.acquire(file, wanted) else p9l.LOCK_STATUS_BLOCKED)

    @staticmethod
    def _conflict_reply(message: p9l.Tgetlock, held: LockRange | None) -> p9.Message:
        """Describe the lock that a lock would conflict with, or LOCK_TYPE_UNLOCK."""
        if held is None:
            return p9l.Rgetlock(
                p9l.LOCK_TYPE_UNLOCK, message.start, message.length, message.proc_id, message.client_id
            )
        return p9l.Rgetlock(
            p9l.LOCK_TYPE_WRITE if held.write else p9l.LOCK_TYPE_READ,
            held.start,
            0 if held.end == UNBOUNDED_END else held.end - held.start,
            held.owner.proc_id,
            held.owner.client_id,
        )
