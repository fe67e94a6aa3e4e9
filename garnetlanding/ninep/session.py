"""The state of one connection to a file server, and the message exchanges that all operations share.

An exchange is a generator that yields T-messages, receives R-messages through `send`, and returns a value.
An error reply from the server ends it with `OperationFailedError`.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Generator
from dataclasses import dataclass
from typing import TypeVar

from garnetlanding.ninep import codec, codec_linux, errors
from garnetlanding.ninep.codec import MAX_WALK_NAMES, QTDIR, QTEXCL, Message, Qid
from garnetlanding.ninep.errors import ErrorReply, OperationFailedError
from garnetlanding.ninep.model import Path
from garnetlanding.ninep.wire_format import message_name
from garnetlanding.runtime.errors import BackendProtocolError

T = TypeVar("T")
M = TypeVar("M", bound=Message)
Steps = Generator[Message, Message, T]

ROOT = 0
"""The fid of the root of the attached tree."""

FILE_REPLACED = ErrorReply(errors.ESTALE, "file was replaced by another")
FILE_NOT_FOUND = ErrorReply(errors.ENOENT)


@dataclass(frozen=True, slots=True)
class OpenMode:
    """The mode of an open file, without the one-time effects of opening it (truncate, create).

    `access` is OREAD, OWRITE, ORDWR or OEXEC. With `append` the server writes at the end of the file
    (9P2000.L only). `sync` is 0 or a combination of L_DSYNC and L_SYNC.
    """

    access: int = codec.OREAD
    append: bool = False
    sync: int = 0

    @property
    def reads(self) -> bool:
        """Whether the file may be read."""
        return self.access != codec.OWRITE

    @property
    def writes(self) -> bool:
        """Whether the file may be written."""
        return self.access in (codec.OWRITE, codec.ORDWR)


@dataclass(slots=True)
class OpenFile:
    """A file that is open on the connection; `iounit` is in bytes, 0 if only msize limits a message.

    `directory_offset` is the only byte offset, apart from 0, at which the next read of a 9P2000 directory may
    start.
    """

    fid: int
    qid: Qid
    iounit: int
    directory_offset: int = 0


@dataclass(frozen=True, slots=True)
class Identity:
    """The user and the tree of an attach; `n_uname` is the numeric user ID or NONUNAME."""

    uname: str
    n_uname: int
    aname: str


@dataclass(frozen=True, slots=True)
class SessionLimits:
    """Limits of one session: message sizes in bytes, and the number of files kept open between attempts."""

    max_msize: int
    min_msize: int
    max_open_files: int


class Session:
    """The 9P session of one connection, attached to one tree as one user.

    `offered_versions` lists the protocol versions to offer, in order of preference. The handshake sets
    `version`, `table` and `root`, and may lower `msize`; until then `version` is None.
    """

    def __init__(self, identity: Identity, limits: SessionLimits, offered_versions: tuple[str, ...]) -> None:
        self.identity = identity
        self.limits = limits
        self.offered_versions = offered_versions
        self.msize = limits.max_msize
        self.version: str | None = None
        self.table = codec.PLAIN_MESSAGES
        self.root: Qid | None = None
        self.open_files: OrderedDict[tuple[Path, OpenMode], OpenFile] = OrderedDict()
        self.fids_to_clunk: list[int] = []  # clunked once the attempt has ended
        # One of those fids has an exclusive-use file open, so the next attempt waits for the clunk.
        self.must_clunk_before_next = False
        self._last_fid = ROOT + 1

    @property
    def max_data_bytes(self) -> int:
        """Return the maximum number of data bytes in one read or write."""
        return self.msize - codec.IO_HEADER_BYTES

    def new_fid(self) -> int:
        """Return a fid that has not been used on this connection before."""
        self._last_fid += 1
        return self._last_fid

    def retain_open_file(self, path: Path, open_mode: OpenMode, file: OpenFile) -> None:
        """Keep a file open for later attempts; beyond the limit, release the least recently used file.

        An exclusive-use file is not kept, because no other connection could open it in the meantime.
        """
        if file.qid.type & QTEXCL:
            self.fids_to_clunk.append(file.fid)
            self.must_clunk_before_next = True
            return
        self.release_open_file(path, open_mode)
        self.open_files[path, open_mode] = file
        while len(self.open_files) > self.limits.max_open_files:
            _, oldest = self.open_files.popitem(last=False)
            self.fids_to_clunk.append(oldest.fid)

    def release_open_file(self, path: Path, open_mode: OpenMode) -> None:
        """Schedule the clunk of the file that is open under this path and mode, if there is one."""
        file = self.open_files.pop((path, open_mode), None)
        if file:
            self.fids_to_clunk.append(file.fid)


def expect(reply: Message, cls: type[M]) -> M:
    """Return the reply if it is an instance of `cls`.

    Raises OperationFailedError for an error reply, BackendProtocolError for any other message.
    """
    if isinstance(reply, cls):
        return reply
    if isinstance(reply, codec.Rerror):
        raise OperationFailedError(errors.reply_from_text(reply.ename))
    if isinstance(reply, codec_linux.Rlerror):
        raise OperationFailedError(errors.reply_from_errno(reply.ecode))
    raise BackendProtocolError(f"{message_name(type(reply))} received instead of {message_name(cls)}")


def walk(session: Session, path: Path, expected: Qid | None) -> Steps[tuple[int, Qid]]:
    """Walk from the root to a new fid, which is clunked once the attempt has ended.

    `expected` is the qid under which the client knows the file; by now the path may name another file. Raises
    OperationFailedError if the path names no file or a different one.
    """
    fid, qids = yield from walk_prefix(session, path)
    if len(qids) < len(path):
        raise OperationFailedError(FILE_NOT_FOUND)
    assert session.root
    qid = qids[-1] if qids else session.root
    if expected is not None and (qid.path, qid.type & QTDIR) != (expected.path, expected.type & QTDIR):
        raise OperationFailedError(FILE_REPLACED)
    return fid, qid


def walk_prefix(session: Session, path: Path) -> Steps[tuple[int, list[Qid]]]:
    """Walk from the root as far as the names exist; the fid is valid only if all of them were found.

    Raises OperationFailedError if even the first name does not exist.
    """
    fid = session.new_fid()
    source = ROOT
    qids: list[Qid] = []
    for start in range(0, max(1, len(path)), MAX_WALK_NAMES):
        names = path[start : start + MAX_WALK_NAMES]
        reply = yield codec.Twalk(source, fid, names)
        try:
            found = expect(reply, codec.Rwalk).qids
        except OperationFailedError:
            if qids:
                return fid, qids  # the first name of a later message does not exist
            raise
        if len(found) > len(names):
            raise BackendProtocolError("Rwalk has more qids than the Twalk has names")
        qids += found
        if len(found) < len(names):
            return fid, qids
        if source == ROOT:
            session.fids_to_clunk.append(fid)
        source = fid
    return fid, qids


def clunk_unused_fids(session: Session) -> Steps[None]:
    """Clunk the fids that earlier attempts left behind, and wait for the replies."""
    while session.fids_to_clunk:
        expect((yield codec.Tclunk(session.fids_to_clunk.pop())), codec.Rclunk)
    session.must_clunk_before_next = False
