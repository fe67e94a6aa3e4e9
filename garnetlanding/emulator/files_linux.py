"""The 9P2000.L dialect of the emulated file server."""

from __future__ import annotations

import stat
from dataclasses import replace

from garnetlanding.emulator.disk import BLOCK, SEARCH, WRITE, DiskError, Inode, InodeExtras
from garnetlanding.emulator.file_connection import SIGNED_END, Dialect, FidState, FileConnection
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import codec_linux as p9l
from garnetlanding.ninep import errors
from garnetlanding.ninep.attribute_format import getattr_reply, pack_entry
from garnetlanding.ninep.errors import ErrorReply
from garnetlanding.ninep.locks import UNBOUNDED_END, LockOwner, LockRange, byte_span
from garnetlanding.ninep.model import DirectoryEntry, Timestamp, dirent_type, is_valid_name

PERM = 0o7777
ACCESS = 3  # the bits of open flags for reading, writing or both; both bits set is invalid
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
            or self._serve_other(connection, message)
        )

    def _serve_file(self, connection: FileConnection, message: p9.Message) -> p9.Message | None:
        disk = connection.server.disk
        match message:
            case p9l.Tgetattr(fid, _):
                return getattr_reply(disk.attr(connection.fid(fid).node, connection.server.qid_offset))
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
        fid_state = connection.unopened(fid)
        self._check_flags(flags)
        if fid_state.node.is_link:
            raise DiskError(errors.ELOOP)
        if flags & p9l.L_DIRECTORY and not fid_state.node.is_dir:
            raise DiskError(errors.ENOTDIR)
        qid = connection.open(fid, fid_state, flags & ACCESS, bool(flags & p9l.L_TRUNC))
        fid_state.append = bool(flags & p9l.L_APPEND)
        return p9l.Rlopen(qid, 0)

    @staticmethod
    def _check_flags(flags: int) -> None:
        if flags & ACCESS == ACCESS:
            raise DiskError(errors.EINVAL)

    def _searchable_directory(self, connection: FileConnection, fid: int, name: str) -> FidState:
        fid_state = connection.fid(fid)
        if not fid_state.node.is_dir:
            raise DiskError(errors.ENOTDIR)
        if not is_valid_name(name):
            raise DiskError(errors.EINVAL)
        connection.server.disk.check_permission(fid_state.node, fid_state.user, SEARCH)
        return fid_state

    def _writable_directory(self, connection: FileConnection, fid: int, name: str) -> FidState:
        fid_state = self._searchable_directory(connection, fid, name)
        connection.server.disk.check_permission(fid_state.node, fid_state.user, WRITE)
        return fid_state

    def _create(self, connection: FileConnection, message: p9l.Tlcreate) -> p9.Message:
        connection.unopened(message.fid)
        fid_state = self._searchable_directory(connection, message.fid, message.name)
        disk = connection.server.disk
        self._check_flags(message.flags)
        if message.name in fid_state.node.names:
            if message.flags & p9l.L_EXCL:
                raise DiskError(errors.EEXIST)
            node = fid_state.node.names[message.name][0]
            target = FidState(node, fid_state.user, fid_state.node, message.name)
            connection.open(message.fid, target, message.flags & ACCESS, bool(message.flags & p9l.L_TRUNC))
        else:
            disk.check_permission(fid_state.node, fid_state.user, WRITE)
            mode = stat.S_IFREG | message.mode & PERM
            node = disk.make(
                fid_state.node, message.name, mode, fid_state.user, self._group(message.gid, fid_state)
            )
            target = FidState(node, fid_state.user, fid_state.node, message.name, message.flags & ACCESS)
        target.append = bool(message.flags & p9l.L_APPEND)
        connection.fids[message.fid] = target
        return p9l.Rlcreate(connection.qid(node), 0)

    @staticmethod
    def _group(gid: int, fid_state: FidState) -> InodeExtras:
        return InodeExtras(gid=fid_state.user if gid == p9l.NOGID else str(gid))

    def _setattr(self, connection: FileConnection, message: p9l.Tsetattr) -> None:
        fid_state = connection.fid(message.fid)
        disk = connection.server.disk
        self._check_owner(connection, fid_state, message)
        if message.valid & p9l.SETATTR_SIZE:
            self._check_size(connection, fid_state, message.size)
            disk.truncate(fid_state.node, message.size, fid_state.user)
        self._set_ownership(fid_state.node, message)
        self._set_times(connection, fid_state.node, message)
        fid_state.node.ctime = disk.now
        disk.changes.append(("setattr", fid_state.node.number, message.valid))

    @staticmethod
    def _check_owner(connection: FileConnection, fid_state: FidState, message: p9l.Tsetattr) -> None:
        node = fid_state.node
        valid = message.valid
        is_owner = fid_state.user in (node.uid, "root", "0")
        if valid & (p9l.SETATTR_MODE | p9l.SETATTR_GID | p9l.SETATTR_UID) and not is_owner:
            raise DiskError(errors.EPERM)
        if valid & p9l.SETATTR_UID and str(message.uid) != node.uid and fid_state.user not in ("root", "0"):
            raise DiskError(errors.EPERM)
        if valid & (p9l.SETATTR_ATIME_SET | p9l.SETATTR_MTIME_SET) and not is_owner:
            raise DiskError(errors.EPERM)
        if valid & (p9l.SETATTR_ATIME | p9l.SETATTR_MTIME) and not is_owner:
            connection.server.disk.check_permission(node, fid_state.user, WRITE)

    @staticmethod
    def _check_size(connection: FileConnection, fid_state: FidState, size: int) -> None:
        if fid_state.node.is_dir:
            raise DiskError(errors.EISDIR)
        if size > SIGNED_END:
            raise DiskError(errors.EINVAL)
        connection.server.disk.check_permission(fid_state.node, fid_state.user, WRITE)

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

    def _readdir(
        self, connection: FileConnection, fid_state: FidState, offset: int, count: int
    ) -> p9.Message:
        if fid_state.access is None:
            raise DiskError(errors.EBADF)
        if not fid_state.node.is_dir:
            raise DiskError(errors.ENOTDIR)
        count = min(count, connection.msize - p9.IO_HEADER_BYTES)
        assert fid_state.node.parent
        entries = [
            DirectoryEntry(".", connection.qid(fid_state.node), 1, 4),
            DirectoryEntry("..", connection.qid(fid_state.node.parent), 2, 4),
        ]
        entries += [
            DirectoryEntry(name, connection.qid(node), cookie, dirent_type(connection.qid(node)))
            for name, node, cookie in connection.server.disk.entries(fid_state.node)
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
                self._unlink(connection, self._writable_directory(connection, dfid, name), name, flags)
                return p9l.Runlinkat()
            case p9l.Trename():
                return self._rename_fid(connection, message)
            case p9l.Trenameat(olddfid, oldname, newdfid, newname):
                old = self._writable_directory(connection, olddfid, oldname)
                target = self._writable_directory(connection, newdfid, newname)
                self._rename(connection, old.node, oldname, target, newname)
                return p9l.Rrenameat()
        return None

    def _make_directory(self, connection: FileConnection, message: p9l.Tmkdir) -> p9.Message:
        fid_state = self._writable_directory(connection, message.dfid, message.name)
        mode = stat.S_IFDIR | message.mode & PERM
        node = connection.server.disk.make(
            fid_state.node, message.name, mode, fid_state.user, self._group(message.gid, fid_state)
        )
        return p9l.Rmkdir(connection.qid(node))

    def _make_node(self, connection: FileConnection, message: p9l.Tmknod) -> p9.Message:
        fid_state = self._writable_directory(connection, message.dfid, message.name)
        extras = replace(self._group(message.gid, fid_state), rdev=message.major << 8 | message.minor)
        node = connection.server.disk.make(fid_state.node, message.name, message.mode, fid_state.user, extras)
        return p9l.Rmknod(connection.qid(node))

    def _make_symlink(self, connection: FileConnection, message: p9l.Tsymlink) -> p9.Message:
        fid_state = self._writable_directory(connection, message.dfid, message.name)
        extras = replace(self._group(message.gid, fid_state), target=message.target)
        node = connection.server.disk.make(
            fid_state.node, message.name, stat.S_IFLNK | 0o777, fid_state.user, extras
        )
        return p9l.Rsymlink(connection.qid(node))

    def _make_link(self, connection: FileConnection, message: p9l.Tlink) -> p9.Message:
        fid_state = self._writable_directory(connection, message.dfid, message.name)
        target = connection.fid(message.fid)
        if target.node.is_dir:
            raise DiskError(errors.EPERM)
        connection.server.disk.link(fid_state.node, message.name, target.node, fid_state.user)
        return p9l.Rlink()

    def _rename_fid(self, connection: FileConnection, message: p9l.Trename) -> p9.Message:
        fid_state = connection.fid(message.fid)
        target = self._writable_directory(connection, message.dfid, message.name)
        if fid_state.parent is None:
            raise DiskError(errors.EBUSY)
        self._rename(connection, fid_state.parent, fid_state.name, target, message.name)
        return p9l.Rrename()

    @staticmethod
    def _unlink(connection: FileConnection, fid_state: FidState, name: str, flags: int) -> None:
        if flags & ~p9l.AT_REMOVEDIR:
            raise DiskError(errors.EINVAL)
        is_dir = connection.server.disk.child(fid_state.node, name).is_dir
        if is_dir != bool(flags):
            raise DiskError(errors.EISDIR if is_dir else errors.ENOTDIR)
        connection.server.disk.unlink(fid_state.node, name, fid_state.user)

    @staticmethod
    def _rename(
        connection: FileConnection, parent: Inode, name: str, target: FidState, new_name: str
    ) -> None:
        disk = connection.server.disk
        disk.check_permission(parent, target.user, WRITE)
        node = disk.child(parent, name)
        disk.rename(parent, name, target.node, new_name, target.user, replace=True)
        connection.server.update_renamed_fids(parent, name, target.node, new_name, node)

    def _serve_other(self, connection: FileConnection, message: p9.Message) -> p9.Message | None:
        match message:
            case p9l.Treadlink(fid):
                fid_state = connection.fid(fid)
                if not fid_state.node.is_link:
                    raise DiskError(errors.EINVAL)
                return p9l.Rreadlink(fid_state.node.target)
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
        fid_state = connection.fid(message.fid)
        locks = connection.server.locks
        if fid_state.access is None:
            raise DiskError(errors.EBADF)
        if fid_state.node.is_dir:
            raise DiskError(errors.EISDIR)
        start, end = byte_span(message.start, message.length)
        owner = LockOwner(connection.id, message.proc_id, message.client_id)
        file = ("", fid_state.node.number)
        write = message.type == p9l.LOCK_TYPE_WRITE
        wanted = LockRange(owner, message.fid, write, start, end)
        if message.type > p9l.LOCK_TYPE_UNLOCK or start >= SIGNED_END:
            raise DiskError(errors.EINVAL)
        if isinstance(message, p9l.Tgetlock):
            return self._conflict_reply(message, locks.find_conflict(file, wanted))
        if message.type == p9l.LOCK_TYPE_UNLOCK:
            locks.release(file, owner, start, end)
            return p9l.Rlock(p9l.LOCK_STATUS_SUCCESS)
        if fid_state.access not in ((p9.OWRITE, p9.ORDWR) if write else (p9.OREAD, p9.ORDWR)):
            raise DiskError(errors.EBADF)
        return p9l.Rlock(p9l.LOCK_STATUS_SUCCESS if locks.acquire(file, wanted) else p9l.LOCK_STATUS_BLOCKED)

    @staticmethod
    def _conflict_reply(message: p9l.Tgetlock, held: LockRange | None) -> p9.Message:
        """Return the reply that describes the conflicting lock, or LOCK_TYPE_UNLOCK."""
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
