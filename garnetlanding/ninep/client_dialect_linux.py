"""The dialect used with file servers that support 9P2000.L."""

from __future__ import annotations

import stat as posix

from garnetlanding.ninep import codec, codec_linux
from garnetlanding.ninep.attribute_format import attr_from_getattr, read_entries
from garnetlanding.ninep.client_dialect import NewFile, check_changeable, open_file, unsupported
from garnetlanding.ninep.codec import Message, Qid
from garnetlanding.ninep.errors import OperationFailedError
from garnetlanding.ninep.model import (
    DM_FLAGS,
    AttributeChanges,
    DirectoryEntry,
    FileAttributes,
    FileSystemStats,
    Path,
    Timestamp,
    numeric_id,
)
from garnetlanding.ninep.session import Identity, OpenFile, OpenMode, Session, Steps, expect, walk
from garnetlanding.runtime.errors import BackendProtocolError

MODE_BITS = 0o7777
"""The permission bits, set-user-id, set-group-id and sticky."""


class LinuxClientDialect:
    """Implements `ClientDialect` for 9P2000.L; its methods are described there."""

    version = codec_linux.VERSION
    table = codec_linux.LINUX_MESSAGES
    lists_attributes = False
    rename_replaces = True

    def attach(self, fid: int, identity: Identity) -> Message:
        """Attach by user name and numeric user ID."""
        return codec_linux.Tlattach(fid, codec.NOFID, identity.uname, identity.aname, identity.n_uname)

    def open(self, fid: int, open_mode: OpenMode, truncate: bool) -> Steps[OpenFile]:
        """Open by Tlopen."""
        flags = _open_flags(open_mode)
        if truncate:
            flags |= codec_linux.L_TRUNC
        reply = expect((yield codec_linux.Tlopen(fid, flags)), codec_linux.Rlopen)
        return OpenFile(fid, reply.qid, reply.iounit)

    def create(
        self, session: Session, parent: Path, name: str, new_file: NewFile, open_mode: OpenMode
    ) -> Steps[OpenFile]:
        """Create by Tlcreate, which also opens an existing file."""
        if new_file.flags & DM_FLAGS:
            raise _special_file_unsupported()
        fid, _ = yield from walk(session, parent, None)
        flags = codec_linux.L_CREATE | _open_flags(open_mode)
        if new_file.exclusive:
            flags |= codec_linux.L_EXCL
        if new_file.truncate:
            flags |= codec_linux.L_TRUNC
        mode = posix.S_IFREG | new_file.perm & MODE_BITS
        reply = yield codec_linux.Tlcreate(fid, name, flags, mode, new_file.gid)
        created = expect(reply, codec_linux.Rlcreate)
        session.fids_to_clunk.remove(fid)
        return OpenFile(fid, created.qid, created.iounit)

    def stat(self, fid: int) -> Steps[FileAttributes]:
        """Get the attributes by Tgetattr."""
        reply = yield codec_linux.Tgetattr(fid, codec_linux.GETATTR_BASIC)
        return attr_from_getattr(expect(reply, codec_linux.Rgetattr))

    def change(self, fid: int, qid: Qid, changes: AttributeChanges) -> Steps[None]:  # noqa: ARG002 - part of ClientDialect
        """Change by one Tsetattr. The name is changed by `rename` instead."""
        check_changeable(changes)
        if changes.flags is not None and changes.flags & DM_FLAGS:
            raise _special_file_unsupported()
        if changes.is_empty:
            # Tfsync needs an open file.
            file = yield from self.open(fid, OpenMode(codec.OREAD), False)
            expect((yield codec_linux.Tfsync(file.fid, 0)), codec_linux.Rfsync)
            return
        expect((yield _setattr(fid, changes)), codec_linux.Rsetattr)

    def rename(self, session: Session, old: Path, new: Path, qid: Qid | None) -> Steps[None]:
        """Rename by Trenameat."""
        if qid is not None:
            yield from walk(session, old, qid)  # checks that the path still names the client's file
        source, _ = yield from walk(session, old[:-1], None)
        target = source
        if old[:-1] != new[:-1]:
            target, _ = yield from walk(session, new[:-1], None)
        reply = yield codec_linux.Trenameat(source, old[-1], target, new[-1])
        expect(reply, codec_linux.Rrenameat)

    def list_entries(
        self, session: Session, path: Path, open_mode: OpenMode, qid: Qid, cookie: int, count: int
    ) -> Steps[list[DirectoryEntry]]:
        """List by one Treaddir."""
        file = yield from open_file(session, self, path, open_mode, qid)
        requested_bytes = min(count, session.max_data_bytes)
        reply = yield codec_linux.Treaddir(file.fid, cookie, requested_bytes)
        data = expect(reply, codec_linux.Rreaddir).data
        if len(data) > requested_bytes:
            raise BackendProtocolError("reply has more data than requested")
        try:
            return read_entries(data)
        except ValueError as error:
            raise BackendProtocolError(f"bad directory entry: {error}") from error

    def sync(
        self, session: Session, path: Path, qid: Qid, open_mode: OpenMode, data_only: bool
    ) -> Steps[None]:
        """Flush by Tfsync."""
        file = yield from open_file(session, self, path, open_mode, qid)
        expect((yield codec_linux.Tfsync(file.fid, int(data_only))), codec_linux.Rfsync)

    def make_directory(self, fid: int, name: str, new_file: NewFile) -> Steps[Qid]:
        """Create by Tmkdir."""
        reply = yield codec_linux.Tmkdir(fid, name, new_file.perm & MODE_BITS, new_file.gid)
        return expect(reply, codec_linux.Rmkdir).qid

    def make_node(self, fid: int, name: str, new_file: NewFile, major: int, minor: int) -> Steps[Qid]:
        """Create by Tmknod."""
        reply = yield codec_linux.Tmknod(fid, name, new_file.perm, major, minor, new_file.gid)
        return expect(reply, codec_linux.Rmknod).qid

    def symlink(self, fid: int, name: str, target: str, gid: int) -> Steps[Qid]:
        """Create by Tsymlink."""
        return expect((yield codec_linux.Tsymlink(fid, name, target, gid)), codec_linux.Rsymlink).qid

    def read_link(self, fid: int) -> Steps[str]:
        """Read by Treadlink."""
        return expect((yield codec_linux.Treadlink(fid)), codec_linux.Rreadlink).target

    def link(self, parent: int, fid: int, name: str) -> Steps[None]:
        """Link by Tlink."""
        expect((yield codec_linux.Tlink(parent, fid, name)), codec_linux.Rlink)

    def unlink(self, session: Session, parent: Path, name: str, directory: bool) -> Steps[None]:
        """Remove by Tunlinkat."""
        fid, _ = yield from walk(session, parent, None)
        flags = codec_linux.AT_REMOVEDIR if directory else 0
        expect((yield codec_linux.Tunlinkat(fid, name, flags)), codec_linux.Runlinkat)

    def stat_fs(self, fid: int) -> Steps[FileSystemStats]:
        """Get the statistics by Tstatfs."""
        reply = expect((yield codec_linux.Tstatfs(fid)), codec_linux.Rstatfs)
        return FileSystemStats(
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


def _open_flags(open_mode: OpenMode) -> int:
    # Linux servers have no OEXEC, so a file opened for execution is opened for reading.
    access = codec.OREAD if open_mode.access == codec.OEXEC else open_mode.access
    append = codec_linux.L_APPEND if open_mode.append else 0
    return access | append | open_mode.sync


def _special_file_unsupported() -> OperationFailedError:
    return unsupported("an append-only or exclusive-use file", codec_linux.VERSION)


def _setattr(fid: int, changes: AttributeChanges) -> codec_linux.Tsetattr:
    """Return the Tsetattr of these changes; an unchanged field is 0 and not selected by `valid`."""
    valid = 0
    for bits, value in (
        (codec_linux.SETATTR_MODE, changes.perm),
        (codec_linux.SETATTR_UID, changes.uid),
        (codec_linux.SETATTR_GID, changes.gid),
        (codec_linux.SETATTR_SIZE, changes.length),
        (codec_linux.SETATTR_ATIME | codec_linux.SETATTR_ATIME_SET, changes.atime),
        (codec_linux.SETATTR_MTIME | codec_linux.SETATTR_MTIME_SET, changes.mtime),
    ):
        if value is not None:
            valid |= bits
    atime = changes.atime or Timestamp(0)
    mtime = changes.mtime or Timestamp(0)
    return codec_linux.Tsetattr(
        fid,
        valid,
        changes.perm or 0,
        _user_number(changes.uid),
        _user_number(changes.gid),
        changes.length or 0,
        atime.seconds,
        atime.nanoseconds,
        mtime.seconds,
        mtime.nanoseconds,
    )


def _user_number(name: str | None) -> int:
    if name is None:
        return 0
    if not name.isdigit():
        raise unsupported(f"the user {name!r:.40}, who has no number,", codec_linux.VERSION)
    return numeric_id(name)
