"""What the head says to a file server that speaks 9P2000."""

from __future__ import annotations

import stat as posix

from garnetlanding.ninep import codec, codec_linux, errors
from garnetlanding.ninep.client_dialect import NewFile, unsupported
from garnetlanding.ninep.codec import OTRUNC, Message, Qid, Reader
from garnetlanding.ninep.errors import OperationFailedError, Problem
from garnetlanding.ninep.model import (
    DM_FLAGS,
    DMDIR,
    PERM,
    Attr,
    Changes,
    Entry,
    Path,
    Space,
    d_type,
    pack_changes,
    parse_stat,
    raw_attr,
    read_stat,
)
from garnetlanding.ninep.session import (
    Identity,
    OpenFile,
    OpenMode,
    Session,
    Steps,
    expect,
    open_file,
    walk,
)
from garnetlanding.runtime.errors import BackendProtocolError

ROOM_FOR_ENTRIES = 4096  # asked for at least: an entry here is larger than in a readdir


class PlainClientDialect:
    version, table = codec.VERSION, codec.PLAIN

    def attach(self, fid: int, identity: Identity) -> Message:
        number = "" if identity.n_uname == codec_linux.NONUNAME else str(identity.n_uname)
        return codec.Tattach(fid, codec.NOFID, identity.uname or number, identity.aname)

    def open(self, session: Session, fid: int, open_mode: OpenMode, truncate: bool) -> Steps[OpenFile]:
        self._can(open_mode)
        reply = expect((yield codec.Topen(fid, open_mode.access | (OTRUNC if truncate else 0))), codec.Ropen)
        return OpenFile(fid, reply.qid, reply.iounit)

    @staticmethod
    def _can(open_mode: OpenMode) -> None:
        if open_mode.append:
            raise unsupported("opening a file to append", codec.VERSION)
        if open_mode.sync:
            raise unsupported("a synchronous open", codec.VERSION)

    def create(
        self, session: Session, parent: Path, name: str, new: NewFile, open_mode: OpenMode
    ) -> Steps[OpenFile]:
        """Tcreate alone is exclusive; without that, a file that is there is opened."""
        self._can(open_mode)
        if not new.exclusive:
            try:
                fid, _ = yield from walk(session, (*parent, name), None)
            except OperationFailedError as error:
                if error.problem.number != errors.ENOENT:
                    raise
            else:
                session.surplus_fids.remove(fid)
                try:
                    return (yield from self.open(session, fid, open_mode, new.truncate))
                except OperationFailedError:
                    session.surplus_fids.append(fid)
                    raise
        fid, _ = yield from walk(session, parent, None)
        perm = new.perm & PERM | new.flags & DM_FLAGS
        reply = expect((yield codec.Tcreate(fid, name, perm, open_mode.access)), codec.Rcreate)
        session.surplus_fids.remove(fid)
        return OpenFile(fid, reply.qid, reply.iounit)

    def stat(self, session: Session, fid: int) -> Steps[Attr]:
        reply = expect((yield codec.Tstat(fid)), codec.Rstat)
        try:
            return raw_attr(parse_stat(reply.stat))
        except ValueError as problem:
            raise BackendProtocolError(f"bad stat: {problem}") from None

    def change(self, session: Session, fid: int, qid: Qid, changes: Changes) -> Steps[None]:
        if changes.unchangeable:
            raise OperationFailedError(
                Problem(errors.EPERM, f"wstat cannot change {', '.join(changes.unchangeable)}")
            )
        if changes.uid is not None:
            raise unsupported("a change of owner", codec.VERSION)
        if changes.atime is not None and changes.mtime is None:
            raise unsupported("a change of the access time alone", codec.VERSION)
        if changes.perm is not None and changes.flags is None:
            # The mode goes as a whole: what it says beside the permissions stays as it is.
            attr = yield from self.stat(session, fid)
            changes = Changes(
                changes.name, changes.perm, attr.flags, None, changes.gid, changes.length, None, changes.mtime
            )
        expect((yield codec.Twstat(fid, pack_changes(changes, bool(qid.type & codec.QTDIR)))), codec.Rwstat)

    def move(self, session: Session, old: Path, new: Path, qid: Qid | None) -> Steps[None]:
        if old[:-1] != new[:-1]:
            raise OperationFailedError(Problem(errors.EXDEV))
        fid, found = yield from walk(session, old, qid)
        yield from self.change(session, fid, found, Changes(name=new[-1]))

    def entries(
        self,
        session: Session,
        path: Path,
        open_mode: OpenMode,
        qid: Qid,
        cookie: int,
        count: int,
    ) -> Steps[list[Entry]]:
        """A directory is read from its start on. On a fid that stands elsewhere (another attempt opened it)
        the entries before the cookie, which is a byte offset here, are read again and dropped."""
        file = yield from open_file(session, path, open_mode, qid)
        if file.dir_at > cookie:
            session.surplus_fids.append(session.open.pop((path, open_mode)).fid)
            file = yield from open_file(session, path, open_mode, qid)
        while True:
            skip = cookie - file.dir_at
            ask = min(skip or max(count, ROOM_FOR_ENTRIES), session.room)
            data = expect((yield codec.Tread(file.fid, file.dir_at, ask)), codec.Rread).data
            if len(data) > ask:
                raise BackendProtocolError("more data than asked for")
            at, file.dir_at = file.dir_at, file.dir_at + len(data)
            if not skip:
                return self._parse(data, at)
            if not data:
                raise OperationFailedError(
                    Problem(errors.EINVAL, "directory changed; read it again from its start")
                )

    @staticmethod
    def _parse(data: bytes, at: int) -> list[Entry]:
        reader, entries = Reader(data), []
        try:
            while reader.left:
                raw = read_stat(reader)
                attr = raw_attr(raw)
                entries.append(Entry(raw.name, raw.qid, at + len(data) - reader.left, d_type(raw.qid), attr))
        except ValueError as problem:
            raise BackendProtocolError(f"bad directory entry: {problem}") from None
        return entries

    def sync(
        self, session: Session, path: Path, qid: Qid, open_mode: OpenMode, data_only: bool
    ) -> Steps[None]:
        """A wstat that leaves all alone asks for what was written to be kept (stat(5))."""
        fid, found = yield from walk(session, path, qid)
        yield from self.change(session, fid, found, Changes())

    def make_directory(self, session: Session, fid: int, name: str, new: NewFile) -> Steps[Qid]:
        perm = DMDIR | new.perm & PERM
        return expect((yield codec.Tcreate(fid, name, perm, codec.OREAD)), codec.Rcreate).qid

    def make_node(
        self,
        session: Session,
        fid: int,
        name: str,
        new: NewFile,
        major: int,
        minor: int,
    ) -> Steps[Qid]:
        if not posix.S_ISREG(new.perm):
            raise unsupported("a device or pipe", codec.VERSION)
        reply = expect((yield codec.Tcreate(fid, name, new.perm & PERM, codec.OREAD)), codec.Rcreate)
        return reply.qid

    def symlink(self, session: Session, fid: int, name: str, target: str, gid: int) -> Steps[Qid]:
        raise unsupported("a symbolic link", codec.VERSION)
        yield

    def read_link(self, session: Session, fid: int) -> Steps[str]:
        raise OperationFailedError(Problem(errors.EINVAL, "not a symbolic link"))
        yield

    def link(self, session: Session, parent: int, fid: int, name: str) -> Steps[None]:
        raise unsupported("a link", codec.VERSION)
        yield

    def unlink(self, session: Session, parent: Path, name: str, directory: bool) -> Steps[None]:
        fid, qid = yield from walk(session, (*parent, name), None)
        if bool(qid.type & codec.QTDIR) != directory:
            raise OperationFailedError(Problem(errors.ENOTDIR if directory else errors.EISDIR))
        session.surplus_fids.remove(fid)  # a remove clunks it, whatever comes of it
        expect((yield codec.Tremove(fid)), codec.Rremove)

    def stat_fs(self, session: Session, fid: int) -> Steps[Space]:
        raise unsupported("the room of a file system", codec.VERSION)
        yield
