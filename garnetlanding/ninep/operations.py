"""What an attempt does at a file server: short programs in neutral steps, whatever the server's dialect.

They name files by path from the root of the export, never by the client's fids, so any server that holds
the data can run them from scratch. Each checks first that the path still names the file that the client
knows by its qid. What a program leaves behind on the connection is kept in `Session`. Those that change names
in directories are in `directory_operations`.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Any, ClassVar

from garnetlanding.ninep import codec, errors
from garnetlanding.ninep.client_dialect import (
    MIN_LISTING_BYTES,
    ClientDialect,
    NewFile,
    open_file,
    unsupported,
)
from garnetlanding.ninep.codec import Qid
from garnetlanding.ninep.errors import OperationFailedError, Problem
from garnetlanding.ninep.handshake import shake_hands
from garnetlanding.ninep.model import Attr, AttributeChanges, Entry, FileSystemStats, Path
from garnetlanding.ninep.operation_table import TABLE, Op, OperationSpec
from garnetlanding.ninep.session import (
    NO_FILE,
    REPLACED,
    Identity,
    OpenFile,
    OpenMode,
    Session,
    Steps,
    expect,
    walk,
    walk_prefix,
)
from garnetlanding.ninep.stat_format import MIN_STAT_BYTES
from garnetlanding.runtime.errors import BackendProtocolError


def renamed_path(path: Path, old: Path, new: Path) -> Path:
    """Return the path of the same file after `old` has become `new`."""
    if path[: len(old)] != old:
        return path
    return new + path[len(old) :]


@dataclass(slots=True)
class Trace:
    """What the attempts of one request have done so far: it decides whether a change may have happened.

    `exposed`: a server may have the complete message that changes something. `unsure`: the number of attempts
    of which that is so, and whose end is not known.
    """

    exposed: bool = False
    unsure: int = 0


@dataclass(frozen=True, slots=True)
class Work:
    """One request to a file server.

    `path` is the file that it is about, `qid` what the client knows the file by, None if it does not know it
    yet. A subclass has either a constant `OP` or its own `op`.
    """

    identity: Identity
    path: Path
    qid: Qid | None = None
    trace: Trace = field(default_factory=Trace, compare=False, kw_only=True)

    OP: ClassVar[Op]

    @property
    def op(self) -> Op:
        """Return which operation it is."""
        return self.OP

    @property
    def spec(self) -> OperationSpec:
        """Return whether it changes the tree, and may run twice."""
        return TABLE[self.op]

    @property
    def paths(self) -> tuple[Path, ...]:
        """Return the names that it changes, or relies on while it changes something."""
        return (self.path,)

    def under(self, old: Path, new: Path) -> Work:
        """Return the same request after `old`, a part of its path from the root on, has become `new`."""
        return replace(self, path=renamed_path(self.path, old, new), trace=self.trace)

    def program(self, session: Session) -> Steps[Any]:
        """Run one attempt on the connection, which attaches first if it is new.

        Returns what `steps` returns, or the Problem that the server answered.
        """
        try:
            dialect = yield from shake_hands(session)
            return (yield from self.steps(session, dialect))
        except OperationFailedError as error:
            return error.problem

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[Any]:
        """Do what the request asks for; raises OperationFailedError for an error of the server."""
        raise NotImplementedError


@dataclass(frozen=True, slots=True)
class Attach(Work):
    """Attaches to the export: the handshake has done that."""

    OP = Op.ATTACH

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[Qid]:  # noqa: ARG002 - of Work
        """Return the root's qid."""
        assert session.root
        return session.root
        yield  # makes this a program


@dataclass(frozen=True, slots=True)
class Walk(Work):
    """Walks on from the file by these names."""

    OP = Op.WALK
    names: Path = ()

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[tuple[Qid, ...]]:  # noqa: ARG002 - an operation like the others
        """Return the qids of the names found; it is an error when already the first does not exist."""
        _, qids = yield from walk_prefix(session, self.path + self.names)
        depth = len(self.path)
        if depth and self.qid and len(qids) >= depth and qids[depth - 1].path != self.qid.path:
            raise OperationFailedError(REPLACED)
        found = qids[depth:]
        if len(qids) < depth or (not found and self.names):
            raise OperationFailedError(NO_FILE)
        return tuple(found)


@dataclass(frozen=True, slots=True)
class Open(Work):
    """Opens the file."""

    open_mode: OpenMode = OpenMode()
    truncate: bool = False

    @property
    def op(self) -> Op:
        """Return OPEN_TRUNCATE, which changes the file, or OPEN."""
        return Op.OPEN_TRUNCATE if self.truncate else Op.OPEN

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[OpenFile]:
        """Open it anew, also where it is open already: the server may no longer allow it."""
        fid, _ = yield from walk(session, self.path, self.qid)
        file = yield from dialect.open(fid, self.open_mode, self.truncate)
        session.surplus_fids.remove(fid)
        session.keep_open_file(self.path, self.open_mode, file)
        return file


@dataclass(frozen=True, slots=True)
class Create(Work):
    """Makes and opens the regular file `name`; `path` is the directory, `qid` its own."""

    name: str = ""
    new: NewFile = NewFile(0o644)
    open_mode: OpenMode = OpenMode()

    @property
    def op(self) -> Op:
        """Return CREATE_EXCLUSIVE, which may not run twice, or CREATE."""
        return Op.CREATE_EXCLUSIVE if self.new.exclusive else Op.CREATE

    @property
    def paths(self) -> tuple[Path, ...]:
        """Return the new file's path."""
        return ((*self.path, self.name),)

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[OpenFile]:
        """Return the open file."""
        yield from walk(session, self.path, self.qid)
        file = yield from dialect.create(session, self.path, self.name, self.new, self.open_mode)
        session.keep_open_file((*self.path, self.name), self.open_mode, file)
        return file


@dataclass(frozen=True, slots=True)
class Read(Work):
    """Reads at most `count` bytes of an open file from `offset` on."""

    OP = Op.READ
    open_mode: OpenMode = OpenMode()
    offset: int = 0
    count: int = 0

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[bytes]:
        """Return the bytes of one message; none at the end of the file."""
        assert self.qid
        file = yield from open_file(session, dialect, self.path, self.open_mode, self.qid)
        count = min(self.count, session.max_data_bytes)
        reply = yield codec.Tread(file.fid, self.offset, count)
        data = expect(reply, codec.Rread).data
        if len(data) > count:
            raise BackendProtocolError("more data than asked for")
        return data


@dataclass(frozen=True, slots=True)
class ReadDirectory(Work):
    """Lists a directory from `cookie` on, about `count` bytes of it.

    With `attributes`, the entries have them: the client's dialect sends them with the names.
    """

    OP = Op.READ_DIRECTORY
    open_mode: OpenMode = OpenMode()
    cookie: int = 0
    count: int = 0
    attributes: bool = False

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[list[Entry]]:
        """Return the entries; none at the directory's end."""
        assert self.qid
        count = max(self.count, MIN_LISTING_BYTES) if self.attributes else self.count
        cookie = self.cookie
        while True:
            entries = yield from dialect.entries(session, self.path, self.open_mode, self.qid, cookie, count)
            if not self.attributes or dialect.lists_attributes:
                return entries
            entries = yield from self._with_attributes(session, dialect, entries)
            if not entries or any(entry.attr for entry in entries):
                return entries
            # None of these is for a 9P2000 client. An empty answer would be the directory's end to it.
            cookie = entries[-1].cookie

    def _with_attributes(
        self, session: Session, dialect: ClientDialect, entries: list[Entry]
    ) -> Steps[list[Entry]]:
        """Ask for the attributes of each entry, as far as `count` bytes of stats go.

        `.` and `..` are not among a 9P2000 directory's entries, and stay without. A file that no longer
        exists is called `.`, so that its cookie still counts.
        """
        bytes_left = self.count
        complete: list[Entry] = []
        for entry in entries:
            if entry.name in (".", ".."):
                complete.append(entry)
                continue
            if bytes_left <= 0:
                break
            try:
                fid, _ = yield from walk(session, (*self.path, entry.name), None)
                attr = yield from dialect.stat(fid)
            except OperationFailedError as error:
                if error.problem.number not in (errors.ENOENT, errors.ESTALE):
                    raise
                complete.append(replace(entry, name="."))
                continue
            complete.append(replace(entry, qid=attr.qid, attr=attr))
            text_bytes = len(entry.name.encode()) + len(attr.uid) + len(attr.gid) + len(attr.muid)
            bytes_left -= MIN_STAT_BYTES + text_bytes
        return complete


@dataclass(frozen=True, slots=True)
class Write(Work):
    """Writes to an open file, at `offset` or, with `append`, at its end."""

    open_mode: OpenMode = OpenMode(codec.OWRITE)
    offset: int = 0
    data: bytes = field(default=b"", repr=False)
    append: bool = False

    @property
    def op(self) -> Op:
        """Return APPEND, which may not run twice, or WRITE."""
        return Op.APPEND if self.append else Op.WRITE

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[int]:
        """Write in as many messages as the server's msize makes necessary.

        Returns the bytes written, fewer than there are when the server takes no more.
        """
        assert self.qid
        file = yield from open_file(session, dialect, self.path, self.open_mode, self.qid)
        max_part_bytes = min(session.max_data_bytes, file.iounit or session.max_data_bytes)
        written = 0
        while True:
            part = self.data[written : written + max_part_bytes]
            reply = yield codec.Twrite(file.fid, self.offset + written, part)
            try:
                count = expect(reply, codec.Rwrite).count
            except OperationFailedError:
                if written:
                    return written  # as write(2): what went before has been written
                raise
            if count > len(part):
                raise BackendProtocolError("more written than sent")
            written += count
            if count < len(part) or written == len(self.data):
                return written


@dataclass(frozen=True, slots=True)
class Stat(Work):
    """Asks for the file's attributes."""

    OP = Op.STAT

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[Attr]:
        """Return the attributes."""
        fid, _ = yield from walk(session, self.path, self.qid)
        return (yield from dialect.stat(fid))


@dataclass(frozen=True, slots=True)
class Change(Work):
    """A wstat or setattr. A new name is a rename, which no server does twice to the same end."""

    changes: AttributeChanges = AttributeChanges()

    @property
    def op(self) -> Op:
        """Return SYNC, SET_ATTRIBUTES or RENAME, depending on the changes."""
        if self.changes.is_empty:
            return Op.SYNC
        return Op.SET_ATTRIBUTES if self.changes.name is None else Op.RENAME

    @property
    def paths(self) -> tuple[Path, ...]:
        """Return the path, and the new one of a rename."""
        new_name = self.changes.name
        if new_name is None:
            return (self.path,)
        return (self.path, (*self.path[:-1], new_name))

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[None]:
        """Make the changes; an existing file is never replaced by the new name."""
        changes = self.changes
        fid, qid = yield from walk(session, self.path, self.qid)
        if changes.name is None or not dialect.rename_replaces:
            yield from dialect.change(fid, qid, changes)
        elif changes == AttributeChanges(name=changes.name):
            yield from self._rename(session, dialect, changes.name)
        else:
            raise unsupported("a new name together with other changes", dialect.version)

    def _rename(self, session: Session, dialect: ClientDialect, new_name: str) -> Steps[None]:
        """Rename as a wstat does: the dialect's own rename would replace a file that has the name."""
        target = (*self.path[:-1], new_name)
        if target == self.path:
            return
        try:
            yield from walk(session, target, None)
        except OperationFailedError as error:
            if error.problem.number != errors.ENOENT:
                raise
        else:
            raise OperationFailedError(Problem(errors.EEXIST))
        yield from dialect.move(session, self.path, target, None)


@dataclass(frozen=True, slots=True)
class Sync(Work):
    """Stores what was written to an open file, or its data alone."""

    OP = Op.SYNC
    open_mode: OpenMode = OpenMode()
    data_only: bool = False

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[None]:
        """Return once it is stored."""
        assert self.qid
        yield from dialect.sync(session, self.path, self.qid, self.open_mode, self.data_only)


@dataclass(frozen=True, slots=True)
class Remove(Work):
    """Removes the file that a fid of the client stands for."""

    OP = Op.REMOVE

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[None]:  # noqa: ARG002 - of Work
        """Remove by Tremove, which both dialects have."""
        fid, _ = yield from walk(session, self.path, self.qid)
        session.surplus_fids.remove(fid)  # a remove clunks it, whatever comes of it
        expect((yield codec.Tremove(fid)), codec.Rremove)


@dataclass(frozen=True, slots=True)
class ReadLink(Work):
    """Asks where a symbolic link leads."""

    OP = Op.READ_LINK

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[str]:
        """Return the link's text."""
        fid, _ = yield from walk(session, self.path, self.qid)
        return (yield from dialect.read_link(fid))


@dataclass(frozen=True, slots=True)
class StatFs(Work):
    """Asks for the figures of the file system."""

    OP = Op.STAT_FS

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[FileSystemStats]:
        """Return the figures."""
        fid, _ = yield from walk(session, self.path, self.qid)
        return (yield from dialect.stat_fs(fid))
