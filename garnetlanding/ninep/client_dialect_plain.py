"""The dialect used with file servers that support only 9P2000."""

from __future__ import annotations

import stat as posix

from garnetlanding.ninep import codec, codec_linux, errors
from garnetlanding.ninep.client_dialect import (
    MIN_LISTING_BYTES,
    NewFile,
    check_changeable,
    open_file,
    unsupported,
)
from garnetlanding.ninep.codec import FieldReader, Message, Qid
from garnetlanding.ninep.errors import ErrorReply, OperationFailedError
from garnetlanding.ninep.model import (
    DM_FLAGS,
    DMDIR,
    PERMISSION_BITS,
    AttributeChanges,
    DirectoryEntry,
    FileAttributes,
    FileSystemStats,
    Path,
    dirent_type,
)
from garnetlanding.ninep.session import Identity, OpenFile, OpenMode, Session, Steps, expect, walk
from garnetlanding.ninep.stat_format import attr_from_stat, pack_wstat, parse_stat, read_stat
from garnetlanding.runtime.errors import BackendProtocolError


class PlainClientDialect:
    """Implements `ClientDialect` for 9P2000; its methods are described there."""

    version = codec.VERSION
    table = codec.PLAIN_MESSAGES
    lists_attributes = True
    rename_replaces = False

    def attach(self, fid: int, identity: Identity) -> Message:
        """Attach by user name, or by the decimal user ID if there is no name."""
        number = "" if identity.n_uname == codec_linux.NONUNAME else str(identity.n_uname)
        return codec.Tattach(fid, codec.NOFID, identity.uname or number, identity.aname)

    def open(self, fid: int, open_mode: OpenMode, truncate: bool) -> Steps[OpenFile]:
        """Open by Topen."""
        _check_open_mode(open_mode)
        mode = open_mode.access
        if truncate:
            mode |= codec.OTRUNC
        reply = expect((yield codec.Topen(fid, mode)), codec.Ropen)
        return OpenFile(fid, reply.qid, reply.iounit)

    def create(
        self, session: Session, parent: Path, name: str, new_file: NewFile, open_mode: OpenMode
    ) -> Steps[OpenFile]:
        """Create by Tcreate, which is always exclusive; otherwise try to open an existing file first."""
        _check_open_mode(open_mode)
        if not new_file.exclusive:
            file = yield from self._open_existing(session, (*parent, name), new_file, open_mode)
            if file:
                return file
        fid, _ = yield from walk(session, parent, None)
        perm = new_file.perm & PERMISSION_BITS | new_file.flags & DM_FLAGS
        reply = expect((yield codec.Tcreate(fid, name, perm, open_mode.access)), codec.Rcreate)
        session.fids_to_clunk.remove(fid)
        return OpenFile(fid, reply.qid, reply.iounit)

    def _open_existing(
        self, session: Session, path: Path, new_file: NewFile, open_mode: OpenMode
    ) -> Steps[OpenFile | None]:
        """Return the opened file, or None if there is no file of this name."""
        try:
            fid, _ = yield from walk(session, path, None)
        except OperationFailedError as error:
            if error.error_reply.errno != errors.ENOENT:
                raise
            return None
        session.fids_to_clunk.remove(fid)
        try:
            return (yield from self.open(fid, open_mode, new_file.truncate))
        except OperationFailedError:
            session.fids_to_clunk.append(fid)
            raise

    def stat(self, fid: int) -> Steps[FileAttributes]:
        """Ask by Tstat."""
        reply = expect((yield codec.Tstat(fid)), codec.Rstat)
        try:
            return attr_from_stat(parse_stat(reply.stat))
        except ValueError as error:
            raise BackendProtocolError(f"bad stat: {error}") from error

    def change(self, fid: int, qid: Qid, changes: AttributeChanges) -> Steps[None]:
        """Change by one Twstat, which may also change the name."""
        check_changeable(changes)
        if changes.uid is not None:
            raise unsupported("a change of owner", codec.VERSION)
        if changes.atime is not None and changes.mtime is None:
            raise unsupported("a change of the access time alone", codec.VERSION)
        if changes.perm is not None and changes.flags is None:
            # A wstat sets the whole mode, so the bits other than the permissions have to be preserved.
            attr = yield from self.stat(fid)
            changes = AttributeChanges(
                name=changes.name,
                perm=changes.perm,
                flags=attr.flags,
                gid=changes.gid,
                length=changes.length,
                mtime=changes.mtime,
            )
        packed = pack_wstat(changes, bool(qid.type & codec.QTDIR))
        expect((yield codec.Twstat(fid, packed)), codec.Rwstat)

    def rename(self, session: Session, old: Path, new: Path, qid: Qid | None) -> Steps[None]:
        """Rename by Twstat, only within a directory."""
        if old[:-1] != new[:-1]:
            raise OperationFailedError(ErrorReply(errors.EXDEV))
        fid, found = yield from walk(session, old, qid)
        yield from self.change(fid, found, AttributeChanges(name=new[-1]))

    def list_entries(
        self, session: Session, path: Path, open_mode: OpenMode, qid: Qid, cookie: int, count: int
    ) -> Steps[list[DirectoryEntry]]:
        """List by Tread, which can only read a directory sequentially from its start.

        A cookie is a byte offset here. If the fid is at another offset, because another attempt has used it
        or it was just opened, the entries before the cookie are read again and discarded.
        """
        file = yield from open_file(session, self, path, open_mode, qid)
        if file.directory_offset > cookie:
            session.release_open_file(path, open_mode)
            file = yield from open_file(session, self, path, open_mode, qid)
        while True:
            start = file.directory_offset
            skip = cookie - start
            requested_bytes = min(skip or max(count, MIN_LISTING_BYTES), session.max_data_bytes)
            data = expect((yield codec.Tread(file.fid, start, requested_bytes)), codec.Rread).data
            if len(data) > requested_bytes:
                raise BackendProtocolError("reply has more data than requested")
            file.directory_offset = start + len(data)
            if not skip:
                return _parse_entries(data, start)
            if not data:
                changed = ErrorReply(errors.EINVAL, "directory changed; read it again from its start")
                raise OperationFailedError(changed)

    def sync(
        self,
        session: Session,
        path: Path,
        qid: Qid,
        open_mode: OpenMode,  # noqa: ARG002 - part of ClientDialect; a wstat needs no open file
        data_only: bool,  # noqa: ARG002 - part of ClientDialect; a wstat flushes everything
    ) -> Steps[None]:
        """Flush by a Twstat that changes nothing, as specified in stat(5)."""
        fid, found = yield from walk(session, path, qid)
        yield from self.change(fid, found, AttributeChanges())

    def make_directory(self, fid: int, name: str, new_file: NewFile) -> Steps[Qid]:
        """Create by Tcreate."""
        perm = DMDIR | new_file.perm & PERMISSION_BITS
        return expect((yield codec.Tcreate(fid, name, perm, codec.OREAD)), codec.Rcreate).qid

    def make_node(
        self,
        fid: int,
        name: str,
        new_file: NewFile,
        major: int,  # noqa: ARG002 - part of ClientDialect; devices are rejected here
        minor: int,  # noqa: ARG002 - part of ClientDialect; devices are rejected here
    ) -> Steps[Qid]:
        """Create a regular file by Tcreate; this dialect has no other types."""
        if not posix.S_ISREG(new_file.perm):
            raise unsupported("a device or pipe", codec.VERSION)
        perm = new_file.perm & PERMISSION_BITS
        return expect((yield codec.Tcreate(fid, name, perm, codec.OREAD)), codec.Rcreate).qid

    def symlink(self, fid: int, name: str, target: str, gid: int) -> Steps[Qid]:  # noqa: ARG002 - fails
        """Fail: the dialect has no symbolic links."""
        raise unsupported("a symbolic link", codec.VERSION)
        yield  # makes this method a generator

    def read_link(self, fid: int) -> Steps[str]:  # noqa: ARG002 - fails
        """Fail: the dialect has no symbolic links."""
        raise OperationFailedError(ErrorReply(errors.EINVAL, "not a symbolic link"))
        yield  # makes this method a generator

    def link(self, parent: int, fid: int, name: str) -> Steps[None]:  # noqa: ARG002 - fails
        """Fail: the dialect has no links."""
        raise unsupported("a link", codec.VERSION)
        yield  # makes this method a generator

    def unlink(self, session: Session, parent: Path, name: str, directory: bool) -> Steps[None]:
        """Remove by Tremove, after checking the type of the file."""
        fid, qid = yield from walk(session, (*parent, name), None)
        if bool(qid.type & codec.QTDIR) != directory:
            raise OperationFailedError(ErrorReply(errors.ENOTDIR if directory else errors.EISDIR))
        session.fids_to_clunk.remove(fid)  # Tremove clunks the fid even if it fails
        expect((yield codec.Tremove(fid)), codec.Rremove)

    def stat_fs(self, fid: int) -> Steps[FileSystemStats]:  # noqa: ARG002 - fails
        """Fail: the dialect has no file system statistics."""
        raise unsupported("the room of a file system", codec.VERSION)
        yield  # makes this method a generator


def _check_open_mode(open_mode: OpenMode) -> None:
    if open_mode.append:
        raise unsupported("opening a file to append", codec.VERSION)
    if open_mode.sync:
        raise unsupported("a synchronous open", codec.VERSION)


def _parse_entries(data: bytes, start: int) -> list[DirectoryEntry]:
    """Return the directory entries in `data`, which starts at the byte offset `start` of the directory.

    The cookie of an entry is the offset of the next one.
    """
    reader = FieldReader(data)
    entries = []
    try:
        while reader.remaining:
            raw = read_stat(reader)
            cookie = start + len(data) - reader.remaining
            entries.append(
                DirectoryEntry(raw.name, raw.qid, cookie, dirent_type(raw.qid), attr_from_stat(raw))
            )
    except ValueError as error:
        raise BackendProtocolError(f"bad directory entry: {error}") from error
    return entries
