"""One client's session: its fids, and the messages that both dialects have in the same form.

Each message that needs a file server becomes one request to the core, and whichever server the core picks
finds the file by its path. What is in other forms in the dialects is in `server_dialect_plain.py` and
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
from garnetlanding.ninep.fids import Fid, RequestRejectedError, resolve
from garnetlanding.ninep.operations import Attach, Read, Remove, Walk, Write
from garnetlanding.ninep.pending import PendingRequest
from garnetlanding.ninep.server_dialect import Handlers, ServerDialect
from garnetlanding.ninep.session import Identity, OpenFile, OpenMode
from garnetlanding.ninep.setup import Export
from garnetlanding.ninep.shared_state import SharedState


@dataclass(frozen=True, slots=True)
class AttachRequest:
    """An attach, whose dialects name the user in different ways."""

    fid: int
    afid: int
    uname: str
    n_uname: int
    """The user's number; NONUNAME where the dialect has none."""
    aname: str


class ClientSession:
    """The state between a client's Tversion and its next one, or its end.

    `client` is the connection's number in the shared state, by which locks and changes are its own.
    """

    def __init__(self, shared: SharedState, client: int, write: Callable[[bytes], None]) -> None:
        self.shared = shared
        self.client = client
        self._write = write
        self.msize = 0
        """Agreed bytes of a message; 0 until a version is agreed on."""
        self.dialect: ServerDialect | None = None
        """None until a version is agreed on."""
        self.requests = RequestDispatcher(shared, client, ReplyWriter(self.reply, self.reply_problem))
        self.fids = FidTable(shared.limits, self.requests.pending)
        self.handlers: Handlers = {
            codec.Tflush: self._flush,
            codec.Twalk: self._walk,
            codec.Tread: self._read,
            codec.Twrite: self._write_file,
            codec.Tclunk: self._clunk,
            codec.Tremove: self._remove,
        }

    @property
    def max_data(self) -> int:
        """Bytes that one read or write may carry."""
        return self.msize - IO_HEADER_BYTES

    def reset(self) -> None:
        """End the session: what is outstanding is aborted, and all fids are clunked (version(5)).

        What may have changed something already runs to its end, so that what comes after it stays behind it.
        """
        self.requests.cancel_all()
        fids = self.fids.remove_all()
        self.shared.locks.release_session(self.client)
        self.shared.exclusive_use.release_session(self.client)
        for fid in fids:
            if fid.remove_on_close:
                self.requests.remove_unanswered(fid)

    # Replies

    def reply(self, tag: int, message: Message) -> None:
        """Write an R-message."""
        self._write(codec.encode(tag, message))

    def reply_problem(self, tag: int, problem: ErrorReply) -> None:
        """Write an error reply, in 9P2000 before a version is agreed on."""
        if self.dialect:
            self.reply(tag, self.dialect.error_reply(problem, self.msize))
        else:
            self.reply(tag, codec.Rerror(problem.text))

    # Fids

    def attach(self, tag: int, request: AttachRequest) -> None:
        """Process an attach, which introduces a user and gives it the root of a tree (attach(5))."""
        if request.afid != NOFID:
            raise RequestRejectedError(errors.EOPNOTSUPP, "authentication not required")
        export = self._export(request.aname)
        self.fids.check_unused(request.fid)
        identity = Identity(request.uname, request.n_uname, export.aname)
        fid = Fid(export, identity, (), Qid(codec.QTDIR, 0, 0))

        def attached(qid: Qid) -> Message:
            fid.qid = qid
            self.fids.by_number[request.fid] = fid
            return codec.Rattach(qid)

        self.requests.submit(tag, PendingRequest(fid, Attach(fid.identity, ()), attached, newfid=request.fid))

    def _export(self, aname: str) -> Export:
        exports = self.shared.exports
        export = exports.get(aname)
        if not aname and len(exports) == 1:
            [export] = exports.values()  # what a client attaches that was given no name
        if export is None:
            raise RequestRejectedError(errors.ENOENT, "no such export")
        return export

    def reject_authentication(self, _tag: int, _message: Message) -> None:
        """Process an auth: an error says that no authentication is required (attach(5))."""
        raise RequestRejectedError(errors.EOPNOTSUPP, "authentication not required")

    def _walk(self, tag: int, message: codec.Twalk) -> None:
        """Process Twalk: newfid is made only when all names were found (walk(5))."""
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
        path = resolve(fid.path, names)
        self.fids.check_path(path)
        if not names:
            self.fids.by_number[newfid] = Fid(fid.export, fid.identity, fid.path, fid.qid)
            self.reply(tag, codec.Rwalk(()))
            return

        def walked(qids: tuple[Qid, ...]) -> Message:
            if len(qids) == len(names):
                self.fids.by_number[newfid] = Fid(fid.export, fid.identity, path, qids[-1])
            return codec.Rwalk(qids)

        operation = Walk(fid.identity, fid.path, fid.qid, names)
        pending = PendingRequest(fid, operation, walked, message.fid, alters_fid=in_place)
        if not in_place:
            pending.newfid = newfid
        self.requests.submit(tag, pending)

    def mark_open(self, number: int, fid: Fid, file: OpenFile, open_mode: OpenMode) -> int:
        """Note that a fid is open now; return the iounit for the client, in bytes.

        Raise RequestRejectedError for an exclusive-use file that is open already.
        """
        if file.qid.type & QTEXCL:
            identity = (fid.export.name, file.qid.path)
            if not self.shared.exclusive_use.acquire(identity, self.client, number):
                raise RequestRejectedError(errors.EBUSY)
        fid.qid = file.qid
        fid.open_mode = open_mode
        return min(file.iounit or self.max_data, self.max_data)

    # Data

    def _read(self, tag: int, message: codec.Tread) -> None:
        """Process Tread: count bytes at offset, or fewer at the end of the file (read(5))."""
        fid, open_mode = self.fids.get_open(message.fid)
        if not open_mode.reads:
            raise RequestRejectedError(errors.EBADF, "fid not open for reading")
        count = min(message.count, self.max_data)
        if fid.is_dir:
            assert self.dialect
            self.dialect.read_directory(tag, message.fid, fid, message.offset, count)
            return
        check_offset(message.offset, count)
        if not count:
            self.reply(tag, codec.Rread(b""))
            return
        operation = Read(fid.identity, fid.path, fid.qid, open_mode, message.offset, count)
        self.requests.submit(tag, PendingRequest(fid, operation, codec.Rread, message.fid, size=count))

    def _write_file(self, tag: int, message: codec.Twrite) -> None:
        """Process Twrite; an append-only file is written at its end, whatever the offset (write(5))."""
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
        self.requests.submit(tag, PendingRequest(fid, operation, codec.Rwrite, message.fid, size=len(data)))

    # Flush, and the end of a fid

    def _flush(self, tag: int, message: codec.Tflush) -> None:
        self.requests.flush(tag, message.oldtag)

    def _release(self, number: int) -> Fid:
        """Take a fid out of use. What only reads through it is cancelled and answered first."""
        self.fids.check_known(number)
        for tag, pending in list(self.requests.pending.items()):
            uses_fid = pending.fid == number and pending.newfid is None
            if uses_fid and not pending.is_change and self.requests.cancel(tag):
                self.reply_problem(tag, ErrorReply(errors.EBADF, "fid clunked"))
        self.shared.locks.release_fid(self.client, number)
        self.shared.exclusive_use.release_fid(self.client, number)
        return self.fids.by_number.pop(number)

    def _clunk(self, tag: int, message: codec.Tclunk) -> None:
        """Process Tclunk: ends the fid; a file that was opened with ORCLOSE is removed (clunk(5))."""
        fid = self._release(message.fid)
        if fid.remove_on_close:
            self._submit_removal(tag, fid, codec.Rclunk())
            return
        pending_requests = self.requests.pending.values()
        if any(pending.fid == message.fid and pending.newfid is None for pending in pending_requests):
            # Changes through it have not ended: a client takes the reply to a clunk for the last one.
            self.requests.wait_for_changes(tag, fid, codec.Rclunk())
        else:
            self.reply(tag, codec.Rclunk())

    def _remove(self, tag: int, message: codec.Tremove) -> None:
        """Process Tremove: the fid is clunked also when the file cannot be removed (remove(5))."""
        fid = self._release(message.fid)
        if not fid.export.writable:
            raise RequestRejectedError(errors.EROFS)
        if not fid.path:
            raise RequestRejectedError(errors.EBUSY, "cannot remove the root")
        self._submit_removal(tag, fid, codec.Rremove())

    def _submit_removal(self, tag: int, fid: Fid, reply: Message) -> None:
        operation = Remove(fid.identity, fid.path, fid.qid)
        self.requests.submit(tag, PendingRequest(fid, operation, lambda _: reply, must_run=True))
