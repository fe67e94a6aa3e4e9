"""Handlers of the messages that only 9P2000.L clients send. The instance itself keeps locks (`locks.py`).

The Linux kernel documents the protocol in Documentation/filesystems/9p. Most messages correspond to a system
call, and their semantics are those of its manual page.
"""

from __future__ import annotations

from collections.abc import Callable

from garnetlanding.ninep import codec, codec_linux, errors
from garnetlanding.ninep.attribute_format import getattr_reply, pack_entry
from garnetlanding.ninep.client_dialect import NewFile
from garnetlanding.ninep.client_session import AttachRequest, ClientSession
from garnetlanding.ninep.codec import Message, Qid
from garnetlanding.ninep.directory_operations import Link, MakeDirectory, MakeNode, Rename, Symlink, Unlink
from garnetlanding.ninep.errors import ErrorReply
from garnetlanding.ninep.fid_table import check_offset
from garnetlanding.ninep.fids import Fid, RequestRejectedError
from garnetlanding.ninep.locks import UNBOUNDED_END, LockLimitError, LockOwner, LockRange, byte_span
from garnetlanding.ninep.model import AttributeChanges, DirectoryEntry, FileSystemStats, Timestamp
from garnetlanding.ninep.operations import (
    ChangeAttributes,
    Create,
    Open,
    Operation,
    ReadDirectory,
    ReadLink,
    Stat,
    StatFs,
    Sync,
)
from garnetlanding.ninep.pending import PendingRequest
from garnetlanding.ninep.server_dialect import Handlers
from garnetlanding.ninep.session import OpenFile, OpenMode

_PERMISSIONS = 0o7777
_READLINK_OVERHEAD = codec.HEADER_BYTES + 2
"""Size of an Rreadlink without its target, in bytes."""


class LinuxServerDialect:
    """Implements `ServerDialect` for 9P2000.L, the dialect of Linux clients."""

    version = codec_linux.VERSION
    table = codec_linux.LINUX_MESSAGES
    unsupported = ErrorReply(errors.EOPNOTSUPP)

    def __init__(self, session: ClientSession) -> None:
        self._session = session

    @property
    def handlers(self) -> Handlers:
        """See `ServerDialect.handlers`."""
        return {
            codec_linux.Tlauth: self._session.reject_authentication,
            codec_linux.Tlattach: self._attach,
            codec_linux.Tlopen: self._open,
            codec_linux.Tlcreate: self._create,
            codec_linux.Tgetattr: self._getattr,
            codec_linux.Tsetattr: self._setattr,
            codec_linux.Tstatfs: self._statfs,
            codec_linux.Treaddir: self._readdir,
            codec_linux.Treadlink: self._readlink,
            codec_linux.Tfsync: self._fsync,
            codec_linux.Tlock: self._lock,
            codec_linux.Tgetlock: self._getlock,
            codec_linux.Txattrwalk: self._reject_xattr,
            codec_linux.Txattrcreate: self._reject_xattr,
            codec_linux.Tmkdir: self._mkdir,
            codec_linux.Tmknod: self._mknod,
            codec_linux.Tsymlink: self._symlink,
            codec_linux.Tlink: self._link,
            codec_linux.Tunlinkat: self._unlinkat,
            codec_linux.Trename: self._rename,
            codec_linux.Trenameat: self._renameat,
        }

    def error_reply(self, error: ErrorReply, _msize: int) -> Message:
        """Return an Rlerror, which has the Linux error number and no text."""
        return codec_linux.Rlerror(error.errno)

    def _attach(self, tag: int, message: codec_linux.Tlattach) -> None:
        request = AttachRequest(message.fid, message.afid, message.uname, message.n_uname, message.aname)
        self._session.attach(tag, request)

    # Open and create

    def _open_flags(self, fid: Fid, flags: int) -> OpenMode:
        access = flags & codec_linux.L_ACCESS_MASK
        if access == codec_linux.L_ACCESS_MASK:
            raise RequestRejectedError(errors.EINVAL)
        append = bool(flags & codec_linux.L_APPEND)
        open_mode = OpenMode(access, append, flags & (codec_linux.L_DSYNC | codec_linux.L_SYNC))
        changes = open_mode.writes or flags & codec_linux.L_TRUNC
        if changes and not fid.export.writable:
            raise RequestRejectedError(errors.EROFS)
        return open_mode

    def _open(self, tag: int, message: codec_linux.Tlopen) -> None:
        """Process Tlopen: open the file of fid with the flags of open(2)."""
        fid_number = message.fid
        flags = message.flags
        fid = self._session.fids.get_unopened(fid_number)
        open_mode = self._open_flags(fid, flags)
        truncate = bool(flags & codec_linux.L_TRUNC)
        if fid.is_dir and (open_mode.writes or truncate):
            raise RequestRejectedError(errors.EISDIR)
        if flags & codec_linux.L_DIRECTORY and not fid.is_dir:
            raise RequestRejectedError(errors.ENOTDIR)

        def build_reply(file: OpenFile) -> Message:
            return codec_linux.Rlopen(file.qid, self._session.mark_open(fid_number, fid, file, open_mode))

        operation = Open(fid.identity, fid.path, fid.qid, open_mode, truncate)
        self._session.requests.submit(
            tag, PendingRequest(fid, operation, build_reply, fid_number, alters_fid=True)
        )

    def _create(self, tag: int, message: codec_linux.Tlcreate) -> None:
        """Process Tlcreate: create a file in the directory of fid, which becomes an open fid of the file."""
        fid_number = message.fid
        self._session.fids.get_unopened(fid_number)
        fid = self._session.fids.get_directory(fid_number, message.name)
        open_mode = self._open_flags(fid, message.flags)
        path = (*fid.path, message.name)
        new_file = NewFile(
            message.mode & _PERMISSIONS,
            gid=message.gid,
            exclusive=bool(message.flags & codec_linux.L_EXCL),
            truncate=bool(message.flags & codec_linux.L_TRUNC),
        )

        def build_reply(file: OpenFile) -> Message:
            fid.path = path
            fid.qid = file.qid
            return codec_linux.Rlcreate(file.qid, self._session.mark_open(fid_number, fid, file, open_mode))

        operation = Create(fid.identity, fid.path, fid.qid, message.name, new_file, open_mode)
        self._session.requests.submit(
            tag, PendingRequest(fid, operation, build_reply, fid_number, alters_fid=True)
        )

    def _fsync(self, tag: int, message: codec_linux.Tfsync) -> None:
        """Process Tfsync: flush data written through fid to stable storage, as fsync(2)."""
        fid, open_mode = self._session.fids.get_open(message.fid)
        if not fid.export.writable:
            self._session.reply(tag, codec_linux.Rfsync())  # there is nothing to flush
            return
        operation = Sync(fid.identity, fid.path, fid.qid, open_mode, bool(message.datasync))
        self._submit(tag, message.fid, fid, operation, lambda _: codec_linux.Rfsync())

    # Attributes

    def _getattr(self, tag: int, message: codec_linux.Tgetattr) -> None:
        """Process Tgetattr, as stat(2). All attributes are returned, regardless of the request mask."""
        fid = self._session.fids.get(message.fid)
        operation = Stat(fid.identity, fid.path, fid.qid)
        self._session.requests.submit(tag, PendingRequest(fid, operation, getattr_reply, message.fid))

    def _setattr(self, tag: int, message: codec_linux.Tsetattr) -> None:
        """Process Tsetattr: set the attributes selected by `valid`."""
        fid = self._session.fids.get(message.fid)
        if not fid.export.writable:
            raise RequestRejectedError(errors.EROFS)
        if message.valid & codec_linux.SETATTR_SIZE:
            if fid.is_dir:
                raise RequestRejectedError(errors.EISDIR)
            check_offset(message.size, 0)
        changes = _parse_changes(message, self._session.shared.wall_time())
        if changes.is_empty:
            # Nothing is selected, or only ctime, which the server sets itself.
            self._session.reply(tag, codec_linux.Rsetattr())
            return
        operation = ChangeAttributes(fid.identity, fid.path, fid.qid, changes)
        self._submit(tag, message.fid, fid, operation, lambda _: codec_linux.Rsetattr())

    def _statfs(self, tag: int, message: codec_linux.Tstatfs) -> None:
        """Process Tstatfs: return file system statistics, as statfs(2)."""
        fid = self._session.fids.get(message.fid)
        operation = StatFs(fid.identity, fid.path, fid.qid)
        self._session.requests.submit(tag, PendingRequest(fid, operation, _statfs_reply, message.fid))

    def _reject_xattr(self, _tag: int, message: codec_linux.Txattrwalk | codec_linux.Txattrcreate) -> None:
        """Process Txattrwalk and Txattrcreate: extended attributes are not supported."""
        self._session.fids.get(message.fid)
        raise RequestRejectedError(errors.EOPNOTSUPP)

    # Directories and links

    def read_directory(self, _tag: int, _number: int, _fid: Fid, _offset: int, _count: int) -> None:
        """Reject a Tread of a directory: this dialect uses Treaddir."""
        raise RequestRejectedError(errors.EISDIR)

    def _readdir(self, tag: int, message: codec_linux.Treaddir) -> None:
        """Process Treaddir: offset is 0 or the offset of the last entry of the previous Rreaddir."""
        fid, open_mode = self._session.fids.get_open(message.fid)
        if not fid.is_dir:
            raise RequestRejectedError(errors.ENOTDIR)
        count = min(message.count, self._session.max_data_bytes)

        def build_reply(entries: list[DirectoryEntry]) -> Message:
            return codec_linux.Rreaddir(_pack_entries(entries, count))

        operation = ReadDirectory(fid.identity, fid.path, fid.qid, open_mode, message.offset, count)
        self._session.requests.submit(
            tag, PendingRequest(fid, operation, build_reply, message.fid, data_bytes=count)
        )

    def _readlink(self, tag: int, message: codec_linux.Treadlink) -> None:
        """Process Treadlink: return the target of a symbolic link."""
        fid = self._session.fids.get(message.fid)

        def build_reply(target: str) -> Message:
            if len(target.encode()) + _READLINK_OVERHEAD > self._session.msize:
                raise RequestRejectedError(errors.ENAMETOOLONG)
            return codec_linux.Rreadlink(target)

        operation = ReadLink(fid.identity, fid.path, fid.qid)
        self._session.requests.submit(tag, PendingRequest(fid, operation, build_reply, message.fid))

    # Creating, renaming and removing directory entries

    def _mkdir(self, tag: int, message: codec_linux.Tmkdir) -> None:
        """Process Tmkdir: create a directory in the directory dfid."""
        fid = self._session.fids.get_directory(message.dfid, message.name)
        new_file = NewFile(message.mode & _PERMISSIONS, gid=message.gid)
        operation = MakeDirectory(fid.identity, fid.path, fid.qid, message.name, new_file)
        self._submit(tag, message.dfid, fid, operation, codec_linux.Rmkdir)

    def _mknod(self, tag: int, message: codec_linux.Tmknod) -> None:
        """Process Tmknod: create a device node, a FIFO or a socket, as mknod(2)."""
        fid = self._session.fids.get_directory(message.dfid, message.name)
        new_file = NewFile(message.mode, gid=message.gid)
        operation = MakeNode(
            fid.identity, fid.path, fid.qid, message.name, new_file, message.major, message.minor
        )
        self._submit(tag, message.dfid, fid, operation, codec_linux.Rmknod)

    def _symlink(self, tag: int, message: codec_linux.Tsymlink) -> None:
        """Process Tsymlink: create a symbolic link in the directory dfid."""
        fid = self._session.fids.get_directory(message.dfid, message.name)
        operation = Symlink(fid.identity, fid.path, fid.qid, message.name, message.target, message.gid)
        self._submit(tag, message.dfid, fid, operation, codec_linux.Rsymlink)

    def _link(self, tag: int, message: codec_linux.Tlink) -> None:
        """Process Tlink: create a hard link to fid in the directory dfid; not to a directory (link(2))."""
        directory = self._session.fids.get_directory(message.dfid, message.name)
        fid = self._session.fids.get(message.fid)
        _check_same_tree(directory, fid)
        if fid.is_dir:
            raise RequestRejectedError(errors.EPERM)
        operation = Link(directory.identity, directory.path, directory.qid, message.name, fid.path, fid.qid)
        self._submit(tag, message.dfid, directory, operation, lambda _: codec_linux.Rlink())

    def _unlinkat(self, tag: int, message: codec_linux.Tunlinkat) -> None:
        """Process Tunlinkat: remove a name from the directory dirfd, as unlinkat(2)."""
        fid = self._session.fids.get_directory(message.dirfd, message.name)
        if message.flags & ~codec_linux.AT_REMOVEDIR:
            raise RequestRejectedError(errors.EINVAL)
        operation = Unlink(fid.identity, fid.path, fid.qid, message.name, bool(message.flags))
        self._submit(tag, message.dirfd, fid, operation, lambda _: codec_linux.Runlinkat())

    def _rename(self, tag: int, message: codec_linux.Trename) -> None:
        """Process Trename: move the file of fid into the directory dfid under a new name."""
        fid = self._session.fids.get(message.fid)
        directory = self._session.fids.get_directory(message.dfid, message.name)
        _check_same_tree(fid, directory)
        operation = Rename(fid.identity, fid.path, fid.qid, (*directory.path, message.name))
        self._submit_rename(tag, message.fid, fid, operation, codec_linux.Rrename())

    def _renameat(self, tag: int, message: codec_linux.Trenameat) -> None:
        """Process Trenameat: move a file from one directory entry to another, as renameat(2)."""
        directory = self._session.fids.get_directory(message.olddirfid, message.oldname)
        new_directory = self._session.fids.get_directory(message.newdirfid, message.newname)
        _check_same_tree(directory, new_directory)
        old_path = (*directory.path, message.oldname)
        operation = Rename(directory.identity, old_path, None, (*new_directory.path, message.newname))
        self._submit_rename(tag, message.olddirfid, directory, operation, codec_linux.Rrenameat())

    def _submit_rename(self, tag: int, fid_number: int, fid: Fid, operation: Rename, reply: Message) -> None:
        old_path = operation.path
        new_path = operation.new_path
        if not old_path:
            raise RequestRejectedError(errors.EBUSY, "cannot rename the root")
        if new_path[: len(old_path)] == old_path and new_path != old_path:
            raise RequestRejectedError(errors.EINVAL, "a directory cannot move below itself")

        def build_reply(_: object) -> Message:
            self._session.shared.rename(fid.export.name, old_path, new_path)
            return reply

        self._session.requests.submit(tag, PendingRequest(fid, operation, build_reply, fid_number))

    def _submit(
        self, tag: int, fid_number: int, fid: Fid, operation: Operation, build_reply: Callable[[Qid], Message]
    ) -> None:
        self._session.requests.submit(tag, PendingRequest(fid, operation, build_reply, fid_number))

    # Locks

    def _lock(self, tag: int, message: codec_linux.Tlock) -> None:
        """Process Tlock: acquire or release a POSIX record lock, as fcntl(2) with F_SETLK.

        The LOCK_BLOCK flag makes no difference: the client gets LOCK_BLOCKED at once and has to retry.
        """
        fid, open_mode, requested = self._parse_lock_request(message)
        locks = self._session.shared.locks
        if message.type == codec_linux.LOCK_TYPE_UNLOCK:
            locks.release(fid.file_id, requested.owner, requested.start, requested.end)
            self._session.reply(tag, codec_linux.Rlock(codec_linux.LOCK_STATUS_SUCCESS))
            return
        _check_lock_type(message.type)
        permitted = open_mode.writes if requested.write else open_mode.reads
        if not permitted:
            raise RequestRejectedError(errors.EBADF)
        try:
            acquired = locks.acquire(fid.file_id, requested)
        except LockLimitError as error:
            raise RequestRejectedError(errors.ENOLCK) from error
        status = codec_linux.LOCK_STATUS_SUCCESS if acquired else codec_linux.LOCK_STATUS_BLOCKED
        self._session.reply(tag, codec_linux.Rlock(status))

    def _getlock(self, tag: int, message: codec_linux.Tgetlock) -> None:
        """Process Tgetlock: return a conflicting record lock, as fcntl(2) with F_GETLK."""
        fid, _, requested = self._parse_lock_request(message)
        _check_lock_type(message.type)
        conflict = self._session.shared.locks.find_conflict(fid.file_id, requested)
        self._session.reply(tag, _getlock_reply(message, conflict))

    def _parse_lock_request(
        self, message: codec_linux.Tlock | codec_linux.Tgetlock
    ) -> tuple[Fid, OpenMode, LockRange]:
        """Return the fid to be locked, the mode in which it is open, and the requested range."""
        fid, open_mode = self._session.fids.get_open(message.fid)
        if fid.is_dir:
            raise RequestRejectedError(errors.EISDIR)
        if len(message.client_id.encode()) > self._session.shared.limits.ninep_lock_owner_bytes:
            raise RequestRejectedError(errors.EINVAL)
        check_offset(message.start, 0)
        start, end = byte_span(message.start, message.length)
        owner = LockOwner(self._session.client, message.proc_id, message.client_id)
        write = message.type == codec_linux.LOCK_TYPE_WRITE
        return fid, open_mode, LockRange(owner, message.fid, write, start, end)


def _check_lock_type(lock_type: int) -> None:
    if lock_type not in (codec_linux.LOCK_TYPE_READ, codec_linux.LOCK_TYPE_WRITE):
        raise RequestRejectedError(errors.EINVAL)


def _check_same_tree(first: Fid, second: Fid) -> None:
    """Raise RequestRejectedError unless both fids were attached to one export by one user."""
    if first.export is not second.export or first.identity != second.identity:
        raise RequestRejectedError(errors.EXDEV)


def _parse_changes(message: codec_linux.Tsetattr, now: Timestamp) -> AttributeChanges:
    """Return the changes that a Tsetattr requests; `now` replaces a selected time without a value."""
    valid = message.valid
    atime = Timestamp(message.atime_s, message.atime_ns) if valid & codec_linux.SETATTR_ATIME_SET else now
    mtime = Timestamp(message.mtime_s, message.mtime_ns) if valid & codec_linux.SETATTR_MTIME_SET else now
    return AttributeChanges(
        perm=message.mode & _PERMISSIONS if valid & codec_linux.SETATTR_MODE else None,
        uid=str(message.uid) if valid & codec_linux.SETATTR_UID else None,
        gid=str(message.gid) if valid & codec_linux.SETATTR_GID else None,
        length=message.size if valid & codec_linux.SETATTR_SIZE else None,
        atime=atime if valid & codec_linux.SETATTR_ATIME else None,
        mtime=mtime if valid & codec_linux.SETATTR_MTIME else None,
    )


def _statfs_reply(stats: FileSystemStats) -> Message:
    return codec_linux.Rstatfs(
        stats.type,
        stats.bsize,
        stats.blocks,
        stats.bfree,
        stats.bavail,
        stats.files,
        stats.ffree,
        stats.fsid,
        stats.namelen,
    )


def _pack_entries(entries: list[DirectoryEntry], count: int) -> bytes:
    """Return as many complete entries as fit in `count` bytes."""
    packed_entries: list[bytes] = []
    remaining = count
    for entry in entries:
        packed = pack_entry(entry)
        remaining -= len(packed)
        if remaining < 0:
            break
        packed_entries.append(packed)
    if entries and not packed_entries:
        raise RequestRejectedError(errors.EINVAL)  # `count` is too small for one entry
    return b"".join(packed_entries)


def _getlock_reply(message: codec_linux.Tgetlock, conflict: LockRange | None) -> Message:
    if conflict is None:
        return codec_linux.Rgetlock(
            codec_linux.LOCK_TYPE_UNLOCK, message.start, message.length, message.proc_id, message.client_id
        )
    return codec_linux.Rgetlock(
        codec_linux.LOCK_TYPE_WRITE if conflict.write else codec_linux.LOCK_TYPE_READ,
        conflict.start,
        0 if conflict.end == UNBOUNDED_END else conflict.end - conflict.start,
        conflict.owner.proc_id,
        conflict.owner.client_id,
    )
