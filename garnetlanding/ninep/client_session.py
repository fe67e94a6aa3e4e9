"""One client's session: its fids, and the handlers of messages that are the same in both dialects.

Each message that needs a file server becomes one request to the core. The server that the core selects finds
the file by its path. Handlers that depend on the dialect are in `server_dialect_plain.py` and
`server_dialect_linux.py`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from garnetlanding.ninep import codec, errors
from garnetlanding.ninep.codec import IO_HEADER_BYTES, NOFID, QTEXCL, Message, Qid
from garnetlanding.ninep.dispatcher import ReplyWriter, RequestDispatcher
from garnetlanding.ninep.errors import ErrorReply
from garnetlanding.ninep.fid_table import FidTable, check_offset
from garnetlanding.ninep.fids import Fid, RequestRejectedError, resolve_walk
from garnetlanding.ninep.operations import Attach, Read, Remove, Walk, Write
from garnetlanding.ninep.pending import PendingRequest
from garnetlanding.ninep.server_dialect import Handlers, ServerDialect
from garnetlanding.ninep.session import Identity, OpenFile, OpenMode
from garnetlanding.ninep.setup import Export
from garnetlanding.ninep.shared_state import SharedState
from garnetlanding.runtime.memory import MemoryAccount
from garnetlanding.runtime.protocols import discard_bytes


@dataclass(frozen=True, slots=True)
class AttachRequest:
    """An attach request, independent of how the dialect identifies the user."""

    fid: int
    afid: int
    uname: str
    n_uname: int
    """Numeric user ID; NONUNAME in a dialect without one."""
    aname: str


class ClientSession:
    """The session of a client, from one Tversion to the next or to the end of the connection.

    `client` is the connection's number in the shared state; it identifies the owner of locks and changes.
    """

    def __init__(
        self, shared: SharedState, client: int, write: Callable[[bytes], None], account: MemoryAccount
    ) -> None:
        self.shared = shared
        self.client = client
        self._write = write
        self.msize = 0
        """Negotiated maximum message size in bytes; 0 until a version has been negotiated."""
        self.dialect: ServerDialect | None = None
        """None until a version has been negotiated."""
        self.requests = RequestDispatcher(shared, client, ReplyWriter(self.reply, self.reply_error), account)
        self.fids = FidTable(shared.limits, self.requests.pending, account)

    @property
    def handlers(self) -> Handlers:
        """Handlers of the messages that are the same in both dialects; a new mapping each time."""
        return {
            codec.Tflush: self._flush,
            codec.Twalk: self._walk,
            codec.Tread: self._read,
            codec.Twrite: self._write_file,
            codec.Tclunk: self._clunk,
            codec.Tremove: self._remove,
        }

    @property
    def max_data_bytes(self) -> int:
        """Maximum number of data bytes in one read or write."""
        return self.msize - IO_HEADER_BYTES

    def reset(self) -> None:
        """End the session: abort outstanding requests and clunk all fids (version(5)).

        A change that a server may already have executed runs to its end, so that later changes still wait for
        it.
        """
        self.requests.cancel_all()
        fids = self.fids.remove_all()
        self.shared.locks.release_session(self.client)
        self.shared.exclusive_use.release_session(self.client)
        for fid in fids:
            if fid.remove_on_close:
                self.requests.remove_unanswered(fid)

    def close(self) -> None:
        """End the session with its connection; what it consists of does not refer to it any more.

        A change that still runs refers to the session's requests, and to nothing else of it.
        """
        self.reset()
        self.requests.close()
        self.dialect = None
        self._write = discard_bytes

    # Replies

    def reply(self, tag: int, message: Message) -> None:
        """Write an R-message."""
        self._write(codec.encode(tag, message))

    def reply_error(self, tag: int, error: ErrorReply) -> None:
        """Write an error reply, in 9P2000 format before a version has been negotiated."""
        if self.dialect:
            self.reply(tag, self.dialect.error_reply(error, self.msize))
        else:
            self.reply(tag, codec.Rerror(error.text))

    # Fids

    def attach(self, tag: int, request: AttachRequest) -> None:
        """Process an attach, which introduces a user and binds a fid to the root of a tree (attach(5))."""
        if request.afid != NOFID:
            raise RequestRejectedError(errors.EOPNOTSUPP, "authentication not required")
        export = self._find_export(request.aname)
        self.fids.check_unused(request.fid)
        identity = Identity(request.uname, request.n_uname, export.aname)
        fid = Fid(export, identity, (), Qid(codec.QTDIR, 0, 0))

        def build_reply(qid: Qid) -> Message:
            fid.qid = qid
            self.fids.add(request.fid, fid)
            return codec.Rattach(qid)

        self.requests.submit(
            tag, PendingRequest(fid, Attach(fid.identity, ()), build_reply, newfid=request.fid)
        )

    def _find_export(self, aname: str) -> Export:
        exports = self.shared.exports
        export = exports.get(aname)
        if not aname and len(exports) == 1:
            [export] = exports.values()  # an empty aname selects the only export
        if export is None:
            raise RequestRejectedError(errors.ENOENT, "no such export")
        return export

    def reject_authentication(self, _tag: int, _message: Message) -> None:
        """Process Tauth with an error, which means that authentication is not required (attach(5))."""
        raise RequestRejectedError(errors.EOPNOTSUPP, "authentication not required")

    def _walk(self, tag: int, message: codec.Twalk) -> None:
        """Process Twalk: newfid is created only if all names were found (walk(5))."""
        fid = self.fids.get(message.fid)
        newfid = message.newfid
        names = message.names
        if fid.open_mode is not None:
            raise RequestRejectedError(errors.EBADF, "cannot walk an open fid")
        in_place = newfid == message.fid
        if not in_place:
            self.fids.check_unused(newfid)
        if any(not name or "/" in name or name == "." for name in names):
            raise RequestRejectedError(errors.EINVAL, "bad name in walk")
        path = resolve_walk(fid.path, names)
        self.fids.check_path(path)
        if not names:
            self.fids.add(newfid, Fid(fid.export, fid.identity, fid.path, fid.qid))
            self.reply(tag, codec.Rwalk(()))
            return

        def build_reply(qids: tuple[Qid, ...]) -> Message:
            if len(qids) == len(names):
                self.fids.add(newfid, Fid(fid.export, fid.identity, path, qids[-1]))
            return codec.Rwalk(qids)

        operation = Walk(fid.identity, fid.path, fid.qid, names)
        pending = PendingRequest(fid, operation, build_reply, message.fid, alters_fid=in_place)
        if not in_place:
            pending.newfid = newfid
        self.requests.submit(tag, pending)

    def mark_open(self, number: int, fid: Fid, file: OpenFile, open_mode: OpenMode) -> int:
        """Mark a fid as open and return the iounit for the client, in bytes.

        Raises RequestRejectedError for an exclusive-use file that is already open. Nothing is acquired for a
        fid that has been released in the meantime, or whose client has disconnected.
        """
        if file.qid.type & QTEXCL and self.fids.by_number.get(number) is fid:
            identity = (fid.export.name, file.qid.path)
            if not self.shared.exclusive_use.acquire(identity, self.client, number):
                raise RequestRejectedError(errors.EBUSY)
        fid.qid = file.qid
        fid.open_mode = open_mode
        return min(file.iounit or self.max_data_bytes, self.max_data_bytes)

    # Data

    def _read(self, tag: int, message: codec.Tread) -> None:
        """Process Tread: read up to count bytes at offset (read(5))."""
        fid, open_mode = self.fids.get_open(message.fid)
        if not open_mode.reads:
            raise RequestRejectedError(errors.EBADF, "fid not open for reading")
        count = min(message.count, self.max_data_bytes)
        if fid.is_dir:
            assert self.dialect
            self.dialect.read_directory(tag, message.fid, fid, message.offset, count)
            return
        check_offset(message.offset, count)
        if not count:
            self.reply(tag, codec.Rread(b""))
            return
        operation = Read(fid.identity, fid.path, fid.qid, open_mode, message.offset, count)
        self.requests.submit(tag, PendingRequest(fid, operation, codec.Rread, message.fid, data_bytes=count))

    def _write_file(self, tag: int, message: codec.Twrite) -> None:
        """Process Twrite; for an append-only file the offset is ignored (write(5))."""
        fid, open_mode = self.fids.get_open(message.fid)
        if not open_mode.writes:
            raise RequestRejectedError(errors.EBADF, "fid not open for writing")
        data = message.data
        append = open_mode.append or bool(fid.qid.type & codec.QTAPPEND)
        if not append:
            check_offset(message.offset, len(data))
        if not data:
            self.reply(tag, codec.Rwrite(0))
            return
        operation = Write(fid.identity, fid.path, fid.qid, open_mode, message.offset, data, append)
        self.requests.submit(
            tag, PendingRequest(fid, operation, codec.Rwrite, message.fid, data_bytes=len(data))
        )

    # Flush, clunk and remove

    def _flush(self, tag: int, message: codec.Tflush) -> None:
        self.requests.flush(tag, message.oldtag)

    def _release_fid(self, number: int) -> Fid:
        """Remove a fid from the table. Reads that use it are cancelled and answered first."""
        self.fids.check_known(number)
        for tag, pending in list(self.requests.pending.items()):
            uses_fid = pending.fid == number and pending.newfid is None
            if uses_fid and not pending.is_change and self.requests.cancel(tag):
                self.reply_error(tag, ErrorReply(errors.EBADF, "fid clunked"))
        self.shared.locks.release_fid(self.client, number)
        self.shared.exclusive_use.release_fid(self.client, number)
        return self.fids.remove(number)

    def _clunk(self, tag: int, message: codec.Tclunk) -> None:
        """Process Tclunk: release the fid; a file that was opened with ORCLOSE is removed (clunk(5))."""
        fid = self._release_fid(message.fid)
        if fid.remove_on_close:
            self._submit_removal(tag, fid, codec.Rclunk())
            return
        pending_requests = self.requests.pending.values()
        if any(pending.fid == message.fid and pending.newfid is None for pending in pending_requests):
            # Changes through the fid are outstanding, and clients expect Rclunk to be the last reply for it.
            self.requests.wait_for_changes(tag, fid, codec.Rclunk())
        else:
            self.reply(tag, codec.Rclunk())

    def _remove(self, tag: int, message: codec.Tremove) -> None:
        """Process Tremove: the fid is clunked even if the file cannot be removed (remove(5))."""
        fid = self._release_fid(message.fid)
        if not fid.export.writable:
            raise RequestRejectedError(errors.EROFS)
        if not fid.path:
            raise RequestRejectedError(errors.EBUSY, "cannot remove the root")
        self._submit_removal(tag, fid, codec.Rremove())

    def _submit_removal(self, tag: int, fid: Fid, reply: Message) -> None:
        operation = Remove(fid.identity, fid.path, fid.qid)
        self.requests.submit(tag, PendingRequest(fid, operation, lambda _: reply, must_run=True))
