"""What an attempt does at a file server: short programs in neutral steps, whatever the server's dialect.

They name files by path from the root of the export, never by the client's fids, so any server that holds
the data can run them from scratch. Each checks first that the path still names the file that the client
was told of. What a program leaves behind on the connection is kept in `Session`.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Any, ClassVar

from garnetlanding.ninep import codec, errors
from garnetlanding.ninep.client_dialect import ClientDialect, NewFile, unsupported
from garnetlanding.ninep.client_dialect_linux import LinuxClientDialect
from garnetlanding.ninep.client_dialect_plain import ROOM_FOR_ENTRIES
from garnetlanding.ninep.codec import Qid
from garnetlanding.ninep.errors import OperationFailedError, Problem
from garnetlanding.ninep.model import Attr, Changes, Entry, Path, Space
from garnetlanding.ninep.operation_table import TABLE, Op, Spec
from garnetlanding.ninep.session import (
    NO_FILE,
    REPLACED,
    Identity,
    OpenFile,
    OpenMode,
    Session,
    Steps,
    expect,
    open_file,
    set_up,
    walk,
    walk_prefix,
)
from garnetlanding.runtime.errors import BackendProtocolError


def moved(path: Path, old: Path, new: Path) -> Path:
    """Where a path leads once `old` is called `new`."""
    return new + path[len(old) :] if path[: len(old)] == old else path


@dataclass(slots=True)
class Trace:
    """What the attempts of one item have done so far, for whoever must say whether it may have happened."""

    exposed: bool = False  # a server has had a message whole that changes something
    unsure: int = 0  # attempts that had, and of which no end was heard


@dataclass(frozen=True, slots=True)
class Work:
    """One item for a file server; `path` is the file that it is about, `qid` what the client was told of it
    (None: it was told nothing yet)."""

    identity: Identity
    path: Path
    qid: Qid | None = None
    trace: Trace = field(default_factory=Trace, compare=False, kw_only=True)

    OP: ClassVar[Op]

    @property
    def op(self) -> Op:
        return self.OP

    @property
    def spec(self) -> Spec:
        return TABLE[self.op]

    @property
    def paths(self) -> tuple[Path, ...]:
        """The names that it changes, or relies on while it changes something."""
        return (self.path,)

    def under(self, old: Path, new: Path) -> Work:
        """The same after `old`, which leads to the file, has been renamed."""
        return replace(self, path=moved(self.path, old, new), trace=self.trace)

    def program(self, session: Session) -> Steps[Any]:
        """The whole attempt: a fresh connection is set up first. Ends with a neutral value or a Problem."""
        try:
            if session.dialect is None:
                yield from set_up(session)
            assert session.dialect
            return (yield from self.steps(session, session.dialect))
        except OperationFailedError as error:
            return error.problem

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[Any]:
        raise NotImplementedError


@dataclass(frozen=True, slots=True)
class Attach(Work):
    OP = Op.ATTACH

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[Qid]:
        assert session.root
        return session.root
        yield


@dataclass(frozen=True, slots=True)
class Walk(Work):
    OP = Op.WALK
    names: Path = ()

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[tuple[Qid, ...]]:
        """The qids of the names found; the first one's absence is an error."""
        _, qids = yield from walk_prefix(session, self.path + self.names)
        here = len(self.path)
        if here and self.qid and len(qids) >= here and qids[here - 1].path != self.qid.path:
            raise OperationFailedError(REPLACED)
        found = qids[here:]
        if len(qids) < here or (not found and self.names):
            raise OperationFailedError(NO_FILE)
        return tuple(found)


@dataclass(frozen=True, slots=True)
class Open(Work):
    open_mode: OpenMode = OpenMode()
    truncate: bool = False

    @property
    def op(self) -> Op:
        return Op.OPEN_TRUNCATE if self.truncate else Op.OPEN

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[OpenFile]:
        """Always asks the server, which may allow it no longer, also where the file is open already."""
        fid, _ = yield from walk(session, self.path, self.qid)
        file = yield from dialect.open(session, fid, self.open_mode, self.truncate)
        session.surplus_fids.remove(fid)
        session.keep_open_file(self.path, self.open_mode, file)
        return file


@dataclass(frozen=True, slots=True)
class Create(Work):
    """`path` is the directory, `qid` its own."""

    name: str = ""
    new: NewFile = NewFile(0o644)
    open_mode: OpenMode = OpenMode()

    @property
    def op(self) -> Op:
        return Op.CREATE_EXCLUSIVE if self.new.exclusive else Op.CREATE

    @property
    def paths(self) -> tuple[Path, ...]:
        return ((*self.path, self.name),)

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[OpenFile]:
        yield from walk(session, self.path, self.qid)
        file = yield from dialect.create(session, self.path, self.name, self.new, self.open_mode)
        session.keep_open_file((*self.path, self.name), self.open_mode, file)
        return file


@dataclass(frozen=True, slots=True)
class Read(Work):
    OP = Op.READ
    open_mode: OpenMode = OpenMode()
    offset: int = 0
    count: int = 0

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[bytes]:
        assert self.qid
        file = yield from open_file(session, self.path, self.open_mode, self.qid)
        count = min(self.count, session.room)
        reply = yield codec.Tread(file.fid, self.offset, count)
        data = expect(reply, codec.Rread).data
        if len(data) > count:
            raise BackendProtocolError("more data than asked for")
        return data


@dataclass(frozen=True, slots=True)
class ReadDirectory(Work):
    OP = Op.READ_DIRECTORY
    open_mode: OpenMode = OpenMode()
    cookie: int = 0
    count: int = 0
    attributes: bool = False  # the client's dialect tells them with the names

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[list[Entry]]:
        assert self.qid
        cookie = self.cookie
        while True:
            entries = yield from dialect.entries(
                session,
                self.path,
                self.open_mode,
                self.qid,
                cookie,
                max(self.count, ROOM_FOR_ENTRIES) if self.attributes else self.count,
            )
            if not self.attributes or not isinstance(dialect, LinuxClientDialect):
                return entries
            entries = yield from dialect.with_attributes(session, self.path, entries, self.count)
            if not entries or any(entry.attr for entry in entries):
                return entries
            cookie = entries[-1].cookie  # nothing that a 9P2000 client is told of: that is not the end yet


@dataclass(frozen=True, slots=True)
class Write(Work):
    open_mode: OpenMode = OpenMode(codec.OWRITE)
    offset: int = 0
    data: bytes = field(default=b"", repr=False)
    append: bool = False

    @property
    def op(self) -> Op:
        return Op.APPEND if self.append else Op.WRITE

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[int]:
        """As many messages as the server's msize makes of it. Bytes written; fewer when it takes no more."""
        assert self.qid
        file = yield from open_file(session, self.path, self.open_mode, self.qid)
        room = min(session.room, file.iounit or session.room)
        done = 0
        while True:
            part = self.data[done : done + room]
            reply = yield codec.Twrite(file.fid, self.offset + done, part)
            try:
                count = expect(reply, codec.Rwrite).count
            except OperationFailedError:
                if done:
                    return done  # as write(2): what went before has been written
                raise
            if count > len(part):
                raise BackendProtocolError("more written than sent")
            done += count
            if count < len(part) or done == len(self.data):
                return done


@dataclass(frozen=True, slots=True)
class Stat(Work):
    OP = Op.STAT

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[Attr]:
        fid, _ = yield from walk(session, self.path, self.qid)
        return (yield from dialect.stat(session, fid))


@dataclass(frozen=True, slots=True)
class Change(Work):
    """A wstat or setattr. A new name is a rename, which no server does twice to the same end."""

    changes: Changes = Changes()

    @property
    def op(self) -> Op:
        if self.changes.is_empty:
            return Op.SYNC
        return Op.SET_ATTRIBUTES if self.changes.name is None else Op.RENAME

    @property
    def paths(self) -> tuple[Path, ...]:
        new = self.changes.name
        return (self.path,) if new is None else (self.path, (*self.path[:-1], new))

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[None]:
        changes = self.changes
        fid, qid = yield from walk(session, self.path, self.qid)
        if changes.name is None or not isinstance(dialect, LinuxClientDialect):
            yield from dialect.change(session, fid, qid, changes)
        elif changes == Changes(name=changes.name):
            # A wstat must not take a name that another file has; a renameat would replace that.
            target = (*self.path[:-1], changes.name)
            if target == self.path:
                return
            try:
                yield from walk(session, target, None)
            except OperationFailedError as error:
                if error.problem.number != errors.ENOENT:
                    raise
                yield from dialect.move(session, self.path, target, None)
            else:
                raise OperationFailedError(Problem(errors.EEXIST))
        else:
            raise unsupported("a new name together with other changes", dialect.version)


@dataclass(frozen=True, slots=True)
class Sync(Work):
    OP = Op.SYNC
    open_mode: OpenMode = OpenMode()
    data_only: bool = False

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[None]:
        assert self.qid
        yield from dialect.sync(session, self.path, self.qid, self.open_mode, self.data_only)


@dataclass(frozen=True, slots=True)
class Remove(Work):
    """The file that a fid names."""

    OP = Op.REMOVE

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[None]:
        fid, _ = yield from walk(session, self.path, self.qid)
        session.surplus_fids.remove(fid)  # a remove clunks it, whatever comes of it
        expect((yield codec.Tremove(fid)), codec.Rremove)


@dataclass(frozen=True, slots=True)
class _InDirectory(Work):
    """`path` is the directory, `qid` its own; `name` is what comes or goes there."""

    name: str = ""

    @property
    def paths(self) -> tuple[Path, ...]:
        return ((*self.path, self.name),)


@dataclass(frozen=True, slots=True)
class Unlink(_InDirectory):
    OP = Op.REMOVE
    directory: bool = False

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[None]:
        yield from walk(session, self.path, self.qid)
        yield from dialect.unlink(session, self.path, self.name, self.directory)


@dataclass(frozen=True, slots=True)
class MakeDirectory(_InDirectory):
    OP = Op.MAKE_DIRECTORY
    new: NewFile = NewFile(0o755)

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[Qid]:
        fid, _ = yield from walk(session, self.path, self.qid)
        return (yield from dialect.make_directory(session, fid, self.name, self.new))


@dataclass(frozen=True, slots=True)
class MakeNode(_InDirectory):
    OP = Op.MAKE_NODE
    new: NewFile = NewFile(0o644)
    major: int = 0
    minor: int = 0

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[Qid]:
        fid, _ = yield from walk(session, self.path, self.qid)
        return (yield from dialect.make_node(session, fid, self.name, self.new, self.major, self.minor))


@dataclass(frozen=True, slots=True)
class Symlink(_InDirectory):
    OP = Op.SYMLINK
    target: str = ""
    gid: int = 0

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[Qid]:
        fid, _ = yield from walk(session, self.path, self.qid)
        return (yield from dialect.symlink(session, fid, self.name, self.target, self.gid))


@dataclass(frozen=True, slots=True)
class Link(_InDirectory):
    """A further name for the file `target`."""

    OP = Op.LINK
    target: Path = ()
    target_qid: Qid | None = None

    @property
    def paths(self) -> tuple[Path, ...]:
        return ((*self.path, self.name), self.target)

    def under(self, old: Path, new: Path) -> Work:
        return replace(
            self, path=moved(self.path, old, new), target=moved(self.target, old, new), trace=self.trace
        )

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[None]:
        fid, _ = yield from walk(session, self.target, self.target_qid)
        parent, _ = yield from walk(session, self.path, self.qid)
        yield from dialect.link(session, parent, fid, self.name)


@dataclass(frozen=True, slots=True)
class Rename(Work):
    """`path` gets the name `new`; what had that name before is replaced where the server's dialect can."""

    OP = Op.RENAME
    new: Path = ()

    @property
    def paths(self) -> tuple[Path, ...]:
        return (self.path, self.new)

    def under(self, old: Path, new: Path) -> Work:
        return replace(self, path=moved(self.path, old, new), new=moved(self.new, old, new), trace=self.trace)

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[None]:
        yield from dialect.move(session, self.path, self.new, self.qid)


@dataclass(frozen=True, slots=True)
class ReadLink(Work):
    OP = Op.READ_LINK

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[str]:
        fid, _ = yield from walk(session, self.path, self.qid)
        return (yield from dialect.read_link(session, fid))


@dataclass(frozen=True, slots=True)
class StatFs(Work):
    OP = Op.STAT_FS

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[Space]:
        fid, _ = yield from walk(session, self.path, self.qid)
        return (yield from dialect.stat_fs(session, fid))
