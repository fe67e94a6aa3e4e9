"""One connection to one file server: what is agreed and open on it, and the steps that all programs share.

A program is a generator: it yields T-messages, is sent the R-messages, and returns a value. An error that the
server answers ends it with `OperationFailedError`.
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
"""The fid that stands for the root of the attached tree."""

REPLACED = ErrorReply(errors.ESTALE, "file was replaced by another")
NO_FILE = ErrorReply(errors.ENOENT)


@dataclass(frozen=True, slots=True)
class OpenMode:
    """How a file is opened, beside what opening does once (truncate, create).

    `access` is OREAD, OWRITE, ORDWR or OEXEC. With `append` the server writes at the file's end (9P2000.L);
    `sync` has L_DSYNC or L_SYNC.
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
    """A file that is open on the connection; `iounit` is in bytes, 0 where msize alone limits a message.

    `directory_offset` is the byte offset from which a 9P2000 directory can be read on, and no other.
    """

    fid: int
    qid: Qid
    iounit: int
    directory_offset: int = 0


@dataclass(frozen=True, slots=True)
class Identity:
    """The user and the tree of an attach; `n_uname` is the user's number or NONUNAME."""

    uname: str
    n_uname: int
    aname: str


@dataclass(frozen=True, slots=True)
class SessionLimits:
    """Bounds of one session: message sizes in bytes, and how many files are kept open between attempts."""

    max_msize: int
    min_msize: int
    max_open_files: int


class Session:
    """What one connection has, bound to one user and tree.

    `offered_versions` are those to offer, the best first. `version`, `table` and `root` are set once by the
    handshake, `msize` is lowered by it; `version` is None until then.
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
        self.surplus_fids: list[int] = []  # to be clunked once the attempt has ended
        self.clunk_before_next = False  # one of them keeps others out: the next attempt waits for its clunk
        self._last_fid = ROOT + 1

    @property
    def max_data_bytes(self) -> int:
        """Return how many bytes one read or write may carry."""
        return self.msize - codec.IO_HEADER_BYTES

    def new_fid(self) -> int:
        """Return a fid that was never used on this connection."""
        self._last_fid += 1
        return self._last_fid

    def keep_open_file(self, path: Path, open_mode: OpenMode, file: OpenFile) -> None:
        """Leave a file open for the next attempt, unless nobody else may open it meanwhile.

        The file that was used longest ago makes room.
        """
        if file.qid.type & QTEXCL:
            self.surplus_fids.append(file.fid)
            self.clunk_before_next = True
            return
        self.drop_open_file(path, open_mode)
        self.open_files[path, open_mode] = file
        while len(self.open_files) > self.limits.max_open_files:
            _, oldest = self.open_files.popitem(last=False)
            self.surplus_fids.append(oldest.fid)

    def drop_open_file(self, path: Path, open_mode: OpenMode) -> None:
        """Have the file clunked, if one is open under this name and mode."""
        file = self.open_files.pop((path, open_mode), None)
        if file:
            self.surplus_fids.append(file.fid)


def expect(reply: Message, cls: type[M]) -> M:
    """Return the reply if it is of this class.

    Raises OperationFailedError for the server's error, BackendProtocolError for any other message.
    """
    if isinstance(reply, cls):
        return reply
    if isinstance(reply, codec.Rerror):
        raise OperationFailedError(errors.reply_from_text(reply.ename))
    if isinstance(reply, codec_linux.Rlerror):
        raise OperationFailedError(errors.reply_from_errno(reply.ecode))
    raise BackendProtocolError(f"{message_name(type(reply))} in place of {message_name(cls)}")


def walk(session: Session, path: Path, expected: Qid | None) -> Steps[tuple[int, Qid]]:
    """Walk from the root to a new fid, which is clunked once the attempt has ended.

    `expected` is the qid that the client knows of the file: another file may have the name by now. Raises
    OperationFailedError when no file or another one has it.
    """
    fid, qids = yield from walk_prefix(session, path)
    if len(qids) < len(path):
        raise OperationFailedError(NO_FILE)
    assert session.root
    qid = qids[-1] if qids else session.root
    if expected is not None and (qid.path, qid.type & QTDIR) != (expected.path, expected.type & QTDIR):
        raise OperationFailedError(REPLACED)
    return fid, qid


def walk_prefix(session: Session, path: Path) -> Steps[tuple[int, list[Qid]]]:
    """Walk from the root as far as the names exist; the fid is in use only when all were found.

    Raises OperationFailedError when already the first name does not exist.
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
            raise BackendProtocolError("more qids than names")
        qids += found
        if len(found) < len(names):
            return fid, qids
        if source == ROOT:
            session.surplus_fids.append(fid)
        source = fid
    return fid, qids


def clunk_surplus_fids(session: Session) -> Steps[None]:
    """Clunk what the attempts before have left, and wait for it."""
    while session.surplus_fids:
        expect((yield codec.Tclunk(session.surplus_fids.pop())), codec.Rclunk)
    session.clunk_before_next = False
