"""One connection to one file server: what is set up and open on it, and the steps all programs share.

A program yields T-messages and gets R-messages; what a server refuses ends it with `OperationFailedError`.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Generator
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

from garnetlanding.ninep import codec, codec_linux, errors
from garnetlanding.ninep.codec import MAX_WALK, QTDIR, QTEXCL, Message, Qid
from garnetlanding.ninep.errors import OperationFailedError, Problem
from garnetlanding.ninep.model import Path
from garnetlanding.ninep.wire_format import message_name
from garnetlanding.runtime.errors import BackendProtocolError

if TYPE_CHECKING:
    from garnetlanding.ninep.client_dialect import ClientDialect

T = TypeVar("T")
M = TypeVar("M", bound=Message)
Steps = Generator[Message, Message, T]
ROOT = 0
REPLACED = Problem(errors.ESTALE, "file was replaced by another")
NO_FILE = Problem(errors.ENOENT)


@dataclass(frozen=True, slots=True)
class OpenMode:
    """How a file is opened, beside what opening does once (truncate, create)."""

    access: int = codec.OREAD  # OREAD, OWRITE, ORDWR, OEXEC
    append: bool = False  # at each write the server goes to the end (9P2000.L)
    sync: int = 0  # L_DSYNC, L_SYNC

    @property
    def reads(self) -> bool:
        return self.access != codec.OWRITE

    @property
    def writes(self) -> bool:
        return self.access in (codec.OWRITE, codec.ORDWR)


@dataclass(slots=True)
class OpenFile:
    fid: int
    qid: Qid
    iounit: int
    dir_at: int = 0  # 9P2000: a directory can be read on from here only


@dataclass(frozen=True, slots=True)
class Identity:
    uname: str
    n_uname: int
    aname: str


class Session:
    """Bound to one user and tree; `offer`: the versions to offer, the best first."""

    def __init__(
        self, identity: Identity, msize: int, min_msize: int, max_open_files: int, offer: tuple[str, ...]
    ) -> None:
        self.identity, self.msize, self.min_msize = identity, msize, min_msize
        self.max_open_files, self.offer = max_open_files, offer
        self.root: Qid | None = None
        self.dialect: ClientDialect | None = None
        self.open: OrderedDict[tuple[Path, OpenMode], OpenFile] = OrderedDict()
        self.surplus_fids: list[int] = []  # fids to clunk once the attempt has its end
        self.clunk_before_next = False  # one of them keeps others out: the next attempt waits for its clunk
        self._next_fid = ROOT + 1

    @property
    def table(self) -> codec.Table:
        return self.dialect.table if self.dialect else codec.PLAIN

    @property
    def room(self) -> int:
        """Bytes that one read or write may carry."""
        return self.msize - codec.READ_OVERHEAD

    def new_fid(self) -> int:
        self._next_fid += 1
        return self._next_fid

    def keep_open_file(self, path: Path, open_mode: OpenMode, file: OpenFile) -> None:
        """Leaves a file open for the next attempt, unless nobody else may open it meanwhile."""
        if file.qid.type & QTEXCL:
            self.surplus_fids.append(file.fid)
            self.clunk_before_next = True
            return
        if old := self.open.pop((path, open_mode), None):
            self.surplus_fids.append(old.fid)
        self.open[path, open_mode] = file
        while len(self.open) > self.max_open_files:
            self.surplus_fids.append(self.open.popitem(last=False)[1].fid)


def expect(reply: Message, kind: type[M]) -> M:
    if isinstance(reply, kind):
        return reply
    if isinstance(reply, codec.Rerror):
        raise OperationFailedError(errors.from_text(reply.ename))
    if isinstance(reply, codec_linux.Rlerror):
        raise OperationFailedError(errors.from_number(reply.ecode))
    raise BackendProtocolError(f"{message_name(type(reply))} in place of {message_name(kind)}")


def set_up(session: Session) -> Steps[None]:
    """Agrees on a version and attaches."""
    from garnetlanding.ninep.client_dialect import CLIENT_DIALECTS

    for version in session.offer:
        reply = expect((yield codec.Tversion(session.msize, version)), codec.Rversion)
        if reply.msize < session.min_msize or reply.msize > session.msize:
            raise BackendProtocolError("msize out of bounds")
        if reply.version in session.offer:
            session.msize = reply.msize
            session.dialect = CLIENT_DIALECTS[reply.version]
            break
        if reply.version != "unknown":
            raise BackendProtocolError("a version that was not offered")
    else:
        raise BackendProtocolError("no common version")
    attached = expect((yield session.dialect.attach(ROOT, session.identity)), codec.Rattach)
    session.root = attached.qid


def walk(session: Session, path: Path, want: Qid | None) -> Steps[tuple[int, Qid]]:
    """From the root to a new fid, which is clunked afterwards. `want`: what the client was told of the file;
    under its name another one may stand by now."""
    fid, qids = yield from walk_prefix(session, path)
    if len(qids) < len(path):
        raise OperationFailedError(NO_FILE)
    assert session.root
    qid = qids[-1] if qids else session.root
    if want is not None and (qid.path, qid.type & QTDIR) != (want.path, want.type & QTDIR):
        raise OperationFailedError(REPLACED)
    return fid, qid


def walk_prefix(session: Session, path: Path) -> Steps[tuple[int, list[Qid]]]:
    """As far as the names go; the fid is good only when all were found. Raises
    OperationFailedError when the first is not."""
    fid, source = session.new_fid(), ROOT
    qids: list[Qid] = []
    for at in range(0, max(1, len(path)), MAX_WALK):
        part = path[at : at + MAX_WALK]
        reply = yield codec.Twalk(source, fid, part)
        if qids and not isinstance(reply, codec.Rwalk):
            try:
                expect(reply, codec.Rwalk)
            except OperationFailedError:
                return fid, qids  # the first name of a later part: as far as it went
        got = expect(reply, codec.Rwalk).qids
        if len(got) > len(part):
            raise BackendProtocolError("more qids than names")
        qids += got
        if len(got) == len(part) and source == ROOT:
            session.surplus_fids.append(fid)
        if len(got) < len(part):
            return fid, qids
        source = fid
    return fid, qids


def open_file(session: Session, path: Path, open_mode: OpenMode, want: Qid) -> Steps[OpenFile]:
    """The file as an earlier attempt left it open here, or opened anew. Never truncates or creates. Whoever
    uses it hands it back with `session.keep`."""
    assert session.dialect
    if file := session.open.get((path, open_mode)):
        if file.qid.path == want.path:
            session.open.move_to_end((path, open_mode))
            return file
        # Another file had this name when it was opened.
        session.surplus_fids.append(session.open.pop((path, open_mode)).fid)
    fid, _ = yield from walk(session, path, want)
    session.surplus_fids.remove(fid)
    try:
        file = yield from session.dialect.open(session, fid, open_mode, truncate=False)
    except OperationFailedError:
        session.surplus_fids.append(fid)
        raise
    if file.qid.path != want.path:
        session.surplus_fids.append(fid)
        raise OperationFailedError(REPLACED)
    session.keep_open_file(path, open_mode, file)
    return file


def clunk_surplus_fids(session: Session) -> Steps[None]:
    while session.surplus_fids:
        expect((yield codec.Tclunk(session.surplus_fids.pop())), codec.Rclunk)
    session.clunk_before_next = False
