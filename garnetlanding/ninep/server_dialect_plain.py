"""Handlers of the messages that only 9P2000 clients send, and of directory reads by Tread."""

from __future__ import annotations

from dataclasses import replace

from garnetlanding.ninep import codec, codec_linux, errors
from garnetlanding.ninep.client_dialect import NewFile
from garnetlanding.ninep.client_session import AttachRequest, ClientSession
from garnetlanding.ninep.codec import ORCLOSE, OREAD, OTRUNC, Message, Qid
from garnetlanding.ninep.directory_operations import MakeDirectory
from garnetlanding.ninep.errors import ErrorReply
from garnetlanding.ninep.fid_table import check_name, check_offset
from garnetlanding.ninep.fids import DirectoryPosition, Fid, RequestRejectedError
from garnetlanding.ninep.model import (
    DM_FLAGS,
    DMDIR,
    PERMISSION_BITS,
    AttributeChanges,
    DirectoryEntry,
    FileAttributes,
)
from garnetlanding.ninep.operations import ChangeAttributes, Create, Open, ReadDirectory, Stat
from garnetlanding.ninep.pending import PendingRequest
from garnetlanding.ninep.server_dialect import Handlers
from garnetlanding.ninep.session import OpenFile, OpenMode
from garnetlanding.ninep.stat_format import changes_from_stat, pack_stat, parse_stat, plain_qid

_ACCESS_MASK = 0x03
_STAT_OVERHEAD = codec.HEADER_BYTES + 2
"""Size of an Rstat without its stat, in bytes."""
_ERROR_OVERHEAD = codec.HEADER_BYTES + 2
"""Size of an Rerror without its text, in bytes."""


class PlainServerDialect:
    """Implements `ServerDialect` for 9P2000, as specified in section 5 of the Plan 9 manual."""

    version = codec.VERSION
    table = codec.PLAIN_MESSAGES
    unsupported = ErrorReply(errors.EPROTO, "not a request")

    def __init__(self, session: ClientSession) -> None:
        self._session = session

    @property
    def handlers(self) -> Handlers:
        """See `ServerDialect.handlers`."""
        return {
            codec.Tauth: self._session.reject_authentication,
            codec.Tattach: self._attach,
            codec.Topen: self._open,
            codec.Tcreate: self._create,
            codec.Tstat: self._stat,
            codec.Twstat: self._wstat,
        }

    def error_reply(self, error: ErrorReply, msize: int) -> Message:
        """Return an Rerror, with its text truncated to fit the negotiated message size."""
        text = error.text.encode()[: msize - _ERROR_OVERHEAD]
        return codec.Rerror(text.decode(errors="ignore"))

    def _attach(self, tag: int, message: codec.Tattach) -> None:
        request = AttachRequest(message.fid, message.afid, message.uname, codec_linux.NONUNAME, message.aname)
        self._session.attach(tag, request)

    # Open and create

    def _open_mode(self, fid: Fid, mode: int) -> OpenMode:
        if mode & ~(_ACCESS_MASK | OTRUNC | ORCLOSE):
            raise RequestRejectedError(errors.EINVAL, f"unknown open mode {mode:#x}")
        open_mode = OpenMode(mode & _ACCESS_MASK)
        changes = open_mode.writes or mode & (OTRUNC | ORCLOSE)
        if changes and not fid.export.writable:
            raise RequestRejectedError(errors.EROFS)
        return open_mode

    def _open(self, tag: int, message: codec.Topen) -> None:
        """Process Topen: OTRUNC truncates the file, ORCLOSE removes it when the fid is clunked (open(5))."""
        fid_number = message.fid
        fid = self._session.fids.get_unopened(fid_number)
        open_mode = self._open_mode(fid, message.mode)
        truncate = bool(message.mode & OTRUNC)
        remove_on_close = bool(message.mode & ORCLOSE)
        if fid.is_dir and (open_mode.writes or truncate):
            raise RequestRejectedError(errors.EISDIR)
        if remove_on_close and not fid.path:
            raise RequestRejectedError(errors.EBUSY, "cannot remove the root")

        def build_reply(file: OpenFile) -> Message:
            iounit = self._session.mark_open(fid_number, fid, file, open_mode)
            fid.remove_on_close = remove_on_close
            return codec.Ropen(plain_qid(file.qid), iounit)

        operation = Open(fid.identity, fid.path, fid.qid, open_mode, truncate)
        self._session.requests.submit(
            tag, PendingRequest(fid, operation, build_reply, fid_number, alters_fid=True)
        )

    def _create(self, tag: int, message: codec.Tcreate) -> None:
        """Process Tcreate: the directory's fid becomes an open fid of the new file (open(5))."""
        fid = self._session.fids.get_unopened(message.fid)
        open_mode = self._open_mode(fid, message.mode & ~OTRUNC)  # a new file is empty anyway
        if not fid.export.writable:
            raise RequestRejectedError(errors.EROFS)
        self._session.fids.get_directory(message.fid, message.name)
        if message.perm & ~(DMDIR | DM_FLAGS | PERMISSION_BITS):
            raise RequestRejectedError(errors.EINVAL, f"unknown kind of file {message.perm:#x}")
        self._session.fids.check_path((*fid.path, message.name))
        if message.perm & DMDIR:
            pending = self._directory_creation(message, fid, open_mode)
        else:
            pending = self._file_creation(message, fid, open_mode)
        self._session.requests.submit(tag, pending)

    def _file_creation(self, message: codec.Tcreate, fid: Fid, open_mode: OpenMode) -> PendingRequest:
        path = (*fid.path, message.name)
        new_file = NewFile(message.perm & PERMISSION_BITS, message.perm & DM_FLAGS)

        def build_reply(file: OpenFile) -> Message:
            fid.path = path
            fid.qid = file.qid
            iounit = self._session.mark_open(message.fid, fid, file, open_mode)
            fid.remove_on_close = bool(message.mode & ORCLOSE)
            return codec.Rcreate(plain_qid(file.qid), iounit)

        operation = Create(fid.identity, fid.path, fid.qid, message.name, new_file, open_mode)
        return PendingRequest(fid, operation, build_reply, message.fid, alters_fid=True)

    def _directory_creation(self, message: codec.Tcreate, fid: Fid, open_mode: OpenMode) -> PendingRequest:
        if open_mode.access != OREAD:
            raise RequestRejectedError(errors.EISDIR)
        path = (*fid.path, message.name)
        new_file = NewFile(message.perm & PERMISSION_BITS, message.perm & DM_FLAGS)

        def build_reply(qid: Qid) -> Message:
            fid.path = path
            fid.qid = qid
            fid.open_mode = open_mode
            fid.remove_on_close = bool(message.mode & ORCLOSE)
            return codec.Rcreate(plain_qid(qid), self._session.max_data_bytes)

        operation = MakeDirectory(fid.identity, fid.path, fid.qid, message.name, new_file)
        return PendingRequest(fid, operation, build_reply, message.fid, alters_fid=True)

    # Attributes

    def _stat(self, tag: int, message: codec.Tstat) -> None:
        """Process Tstat: return the attributes of the file of fid (stat(5))."""
        fid = self._session.fids.get(message.fid)

        def build_reply(attr: FileAttributes) -> Message:
            stat = pack_stat(fid.path[-1] if fid.path else "/", attr)
            if len(stat) + _STAT_OVERHEAD > self._session.msize:
                raise RequestRejectedError(errors.ERANGE, "stat does not fit msize")
            return codec.Rstat(stat)

        operation = Stat(fid.identity, fid.path, fid.qid)
        self._session.requests.submit(tag, PendingRequest(fid, operation, build_reply, message.fid))

    def _wstat(self, tag: int, message: codec.Twstat) -> None:
        """Process Twstat: change some of a file's attributes, which include its name (stat(5))."""
        fid = self._session.fids.get(message.fid)
        if not fid.export.writable:
            raise RequestRejectedError(errors.EROFS)
        try:
            requested = changes_from_stat(parse_stat(message.stat))
        except ValueError as error:
            raise RequestRejectedError(errors.EINVAL, f"bad stat: {error}") from error
        changes = _checked_name(fid, _checked_length(fid, _checked_flags(fid, requested)))
        old_path = fid.path

        def build_reply(_: object) -> Message:
            if changes.name is not None:
                self._session.shared.rename(fid.export.name, old_path, (*old_path[:-1], changes.name))
            return codec.Rwstat()

        operation = ChangeAttributes(fid.identity, fid.path, fid.qid, changes)
        self._session.requests.submit(tag, PendingRequest(fid, operation, build_reply, message.fid))

    # Directories

    def read_directory(self, tag: int, fid_number: int, fid: Fid, offset: int, count: int) -> None:
        """Process Tread of a directory: return only complete entries, each as a stat (read(5)).

        The offset must be 0 or the end of the previous read.
        """
        assert fid.open_mode
        if offset not in (0, fid.position.offset):
            raise RequestRejectedError(errors.EINVAL, "bad offset in directory read")
        cookie = fid.position.cookie if offset else 0

        def build_reply(entries: list[DirectoryEntry]) -> Message:
            data, next_cookie = _pack_stats(entries, cookie, count)
            fid.position = DirectoryPosition(offset + len(data), next_cookie)
            return codec.Rread(data)

        operation = ReadDirectory(
            fid.identity, fid.path, fid.qid, fid.open_mode, cookie, count, attributes=True
        )
        self._session.requests.submit(
            tag, PendingRequest(fid, operation, build_reply, fid_number, data_bytes=count)
        )


def _checked_flags(fid: Fid, changes: AttributeChanges) -> AttributeChanges:
    if changes.flags is None:
        return changes
    if bool(changes.flags & DMDIR) != fid.is_dir:
        raise RequestRejectedError(errors.EINVAL, "wstat cannot make a file a directory, or the reverse")
    return replace(changes, flags=changes.flags & DM_FLAGS)


def _checked_length(fid: Fid, changes: AttributeChanges) -> AttributeChanges:
    if changes.length is None:
        return changes
    if fid.is_dir and changes.length:
        raise RequestRejectedError(errors.EISDIR)
    check_offset(changes.length, 0)
    return replace(changes, length=None if fid.is_dir else changes.length)


def _checked_name(fid: Fid, changes: AttributeChanges) -> AttributeChanges:
    if changes.name is None:
        return changes
    check_name(changes.name)
    if not fid.path:
        raise RequestRejectedError(errors.EBUSY, "cannot rename the root")
    if changes.name == fid.path[-1]:
        return replace(changes, name=None)
    return changes


def _pack_stats(entries: list[DirectoryEntry], cookie: int, count: int) -> tuple[bytes, int]:
    """Return as many complete stats as fit in `count` bytes, and the cookie for the next read."""
    stats: list[bytes] = []
    remaining = count
    for entry in entries:
        if entry.name not in (".", ".."):
            if entry.attr is None:
                break
            stat = pack_stat(entry.name, entry.attr)
            if len(stat) > remaining:
                if not stats:
                    raise RequestRejectedError(errors.EINVAL, "count too small for a directory entry")
                break
            stats.append(stat)
            remaining -= len(stat)
        cookie = entry.cookie
    return b"".join(stats), cookie
