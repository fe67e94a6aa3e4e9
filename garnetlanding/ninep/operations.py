"""The operations that attempts run at a file server, independent of the server's dialect.

Operations identify files by their path from the root of the export, never by the client's fids, so any server
that holds the data can run them without earlier state. Each first checks that the path still leads to the
file that the client knows by its qid. State that stays on the connection between attempts is kept in
`Session`. Operations that change names in directories are in `directory_operations`.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Any, ClassVar

from garnetlanding.ninep import codec, errors
from garnetlanding.ninep.client_dialect import (
    MAX_ATTRIBUTE_LISTING_BYTES,
    MIN_LISTING_BYTES,
    ClientDialect,
    NewFile,
    open_file,
    unsupported,
)
from garnetlanding.ninep.codec import Qid
from garnetlanding.ninep.errors import ErrorReply, OperationFailedError
from garnetlanding.ninep.handshake import negotiate_and_attach
from garnetlanding.ninep.model import AttributeChanges, DirectoryEntry, FileAttributes, FileSystemStats, Path
from garnetlanding.ninep.operation_table import OPERATION_SPECS, OperationKind, OperationSpec
from garnetlanding.ninep.session import (
    FILE_NOT_FOUND,
    FILE_REPLACED,
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
    """Return the path of the same file after `old` has been renamed to `new`."""
    if path[: len(old)] != old:
        return path
    return new + path[len(old) :]


@dataclass(slots=True)
class DeliveryState:
    """What is known about the attempts of one request: whether a change may have been made.

    `maybe_delivered`: a server may have received the complete message that makes the change.
    `unresolved_attempts`: the number of attempts of which that holds and whose outcome is unknown.
    """

    maybe_delivered: bool = False
    unresolved_attempts: int = 0


@dataclass(frozen=True, slots=True)
class Operation:
    """One request to a file server.

    `path` leads to the file that it concerns; `qid` is the one that the client knows, None if it knows none
    yet. A subclass defines either the constant `KIND` or the property `kind`.
    """

    identity: Identity
    path: Path
    qid: Qid | None = None
    delivery: DeliveryState = field(default_factory=DeliveryState, compare=False, kw_only=True)

    KIND: ClassVar[OperationKind]

    @property
    def kind(self) -> OperationKind:
        """Return the kind of operation."""
        return self.KIND

    @property
    def spec(self) -> OperationSpec:
        """Return whether it changes the tree and is idempotent."""
        return OPERATION_SPECS[self.kind]

    @property
    def affected_paths(self) -> tuple[Path, ...]:
        """Return the paths that it changes, or that must not change while it runs."""
        return (self.path,)

    def with_renamed_path(self, old: Path, new: Path) -> Operation:
        """Return the same request after `old`, a prefix of its path, has been renamed to `new`."""
        return replace(self, path=renamed_path(self.path, old, new), delivery=self.delivery)

    def attempt_steps(self, session: Session) -> Steps[Any]:
        """Run one attempt on the connection, after the handshake if it is new.

        Returns what `steps` returns, or the ErrorReply that the server answered.
        """
        try:
            dialect = yield from negotiate_and_attach(session)
            return (yield from self.steps(session, dialect))
        except OperationFailedError as error:
            return error.error_reply

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[Any]:
        """Run the operation. Raises OperationFailedError for an error reply of the server."""
        raise NotImplementedError


@dataclass(frozen=True, slots=True)
class Attach(Operation):
    """Attaches to the export, which the handshake has already done."""

    KIND = OperationKind.ATTACH

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[Qid]:  # noqa: ARG002 - of Operation
        """Return the root's qid."""
        assert session.root
        return session.root
        yield  # makes this function a generator


@dataclass(frozen=True, slots=True)
class Walk(Operation):
    """Walks from the file by these names."""

    KIND = OperationKind.WALK
    names: Path = ()

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[tuple[Qid, ...]]:  # noqa: ARG002 - of Operation
        """Return the qids of the names found. It is an error if the first name does not exist."""
        _, qids = yield from walk_prefix(session, self.path + self.names)
        depth = len(self.path)
        if depth and self.qid and len(qids) >= depth and qids[depth - 1].path != self.qid.path:
            raise OperationFailedError(FILE_REPLACED)
        found = qids[depth:]
        if len(qids) < depth or (not found and self.names):
            raise OperationFailedError(FILE_NOT_FOUND)
        return tuple(found)


@dataclass(frozen=True, slots=True)
class Open(Operation):
    """Opens the file."""

    open_mode: OpenMode = OpenMode()
    truncate: bool = False

    @property
    def kind(self) -> OperationKind:
        """Return OPEN_TRUNCATE, which changes the file, or OPEN."""
        return OperationKind.OPEN_TRUNCATE if self.truncate else OperationKind.OPEN

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[OpenFile]:
        """Open the file again even if it is already open: the server may no longer permit it."""
        fid, _ = yield from walk(session, self.path, self.qid)
        file = yield from dialect.open(fid, self.open_mode, self.truncate)
        session.fids_to_clunk.remove(fid)
        session.retain_open_file(self.path, self.open_mode, file)
        return file


@dataclass(frozen=True, slots=True)
class Create(Operation):
    """Creates and opens the regular file `name`; `path` and `qid` are those of the directory."""

    name: str = ""
    new_file: NewFile = NewFile(0o644)
    open_mode: OpenMode = OpenMode()

    @property
    def kind(self) -> OperationKind:
        """Return CREATE_EXCLUSIVE, which is not idempotent, or CREATE."""
        return OperationKind.CREATE_EXCLUSIVE if self.new_file.exclusive else OperationKind.CREATE

    @property
    def affected_paths(self) -> tuple[Path, ...]:
        """Return the new file's path."""
        return ((*self.path, self.name),)

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[OpenFile]:
        """Return the open file."""
        yield from walk(session, self.path, self.qid)
        file = yield from dialect.create(session, self.path, self.name, self.new_file, self.open_mode)
        session.retain_open_file((*self.path, self.name), self.open_mode, file)
        return file


@dataclass(frozen=True, slots=True)
class Read(Operation):
    """Reads at most `count` bytes of an open file, starting at `offset`."""

    KIND = OperationKind.READ
    open_mode: OpenMode = OpenMode()
    offset: int = 0
    count: int = 0

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[bytes]:
        """Return the data of one Rread; it is empty at the end of the file."""
        assert self.qid
        file = yield from open_file(session, dialect, self.path, self.open_mode, self.qid)
        count = min(self.count, session.max_data_bytes)
        reply = yield codec.Tread(file.fid, self.offset, count)
        data = expect(reply, codec.Rread).data
        if len(data) > count:
            raise BackendProtocolError("more data than requested")
        return data


@dataclass(frozen=True, slots=True)
class ReadDirectory(Operation):
    """Lists about `count` bytes of a directory's entries, starting at `cookie`.

    With `attributes`, the entries include them, for clients whose dialect sends them with the names.
    """

    KIND = OperationKind.READ_DIRECTORY
    open_mode: OpenMode = OpenMode()
    cookie: int = 0
    count: int = 0
    attributes: bool = False

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[list[DirectoryEntry]]:
        """Return the entries; the list is empty at the end of the directory."""
        assert self.qid
        count = self.count
        if self.attributes:
            count = min(max(count, MIN_LISTING_BYTES), MAX_ATTRIBUTE_LISTING_BYTES)
        cookie = self.cookie
        while True:
            entries = yield from dialect.list_entries(
                session, self.path, self.open_mode, self.qid, cookie, count
            )
            if not self.attributes or dialect.lists_attributes:
                return entries
            entries = yield from self._with_attributes(session, dialect, entries)
            if not entries or any(entry.attr for entry in entries):
                return entries
            # No entry is visible to a 9P2000 client, which would take an empty reply for the directory's end.
            cookie = entries[-1].cookie

    def _with_attributes(
        self, session: Session, dialect: ClientDialect, entries: list[DirectoryEntry]
    ) -> Steps[list[DirectoryEntry]]:
        """Request the attributes of the entries, up to about `count` bytes of encoded stats.

        `.` and `..` are not listed in a 9P2000 directory and get no attributes. The entry of a file that
        no longer exists gets the name `.`, so that it is not listed but its cookie still counts.
        """
        bytes_left = self.count
        complete: list[DirectoryEntry] = []
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
                if error.error_reply.errno not in (errors.ENOENT, errors.ESTALE):
                    raise
                complete.append(replace(entry, name="."))
                continue
            complete.append(replace(entry, qid=attr.qid, attr=attr))
            text_bytes = len(entry.name.encode()) + len(attr.uid) + len(attr.gid) + len(attr.muid)
            bytes_left -= MIN_STAT_BYTES + text_bytes
        return complete


@dataclass(frozen=True, slots=True)
class Write(Operation):
    """Writes to an open file, at `offset` or, with `append`, at its end."""

    open_mode: OpenMode = OpenMode(codec.OWRITE)
    offset: int = 0
    data: bytes = field(default=b"", repr=False)
    append: bool = False

    @property
    def kind(self) -> OperationKind:
        """Return APPEND, which is not idempotent, or WRITE."""
        return OperationKind.APPEND if self.append else OperationKind.WRITE

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[int]:
        """Write in as many messages as the server's msize requires.

        Returns the number of bytes written, which is less than the data if the server accepts no more.
        """
        assert self.qid
        file = yield from open_file(session, dialect, self.path, self.open_mode, self.qid)
        max_chunk_bytes = min(session.max_data_bytes, file.iounit or session.max_data_bytes)
        written = 0
        while True:
            chunk = self.data[written : written + max_chunk_bytes]
            reply = yield codec.Twrite(file.fid, self.offset + written, chunk)
            try:
                count = expect(reply, codec.Rwrite).count
            except OperationFailedError:
                if written:
                    return written  # a short count as in write(2): the earlier messages were written
                raise
            if count > len(chunk):
                raise BackendProtocolError("write count exceeds the data sent")
            written += count
            if count < len(chunk) or written == len(self.data):
                return written


@dataclass(frozen=True, slots=True)
class Stat(Operation):
    """Requests the file's attributes."""

    KIND = OperationKind.STAT

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[FileAttributes]:
        """Return the attributes."""
        fid, _ = yield from walk(session, self.path, self.qid)
        return (yield from dialect.stat(fid))


@dataclass(frozen=True, slots=True)
class ChangeAttributes(Operation):
    """A wstat or setattr. With a new name it is a rename, which is not idempotent."""

    changes: AttributeChanges = AttributeChanges()

    @property
    def kind(self) -> OperationKind:
        """Return SYNC, SET_ATTRIBUTES or RENAME, depending on the changes."""
        if self.changes.is_empty:
            return OperationKind.SYNC
        return OperationKind.SET_ATTRIBUTES if self.changes.name is None else OperationKind.RENAME

    @property
    def affected_paths(self) -> tuple[Path, ...]:
        """Return the path, and for a rename also the new path."""
        new_name = self.changes.name
        if new_name is None:
            return (self.path,)
        return (self.path, (*self.path[:-1], new_name))

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[None]:
        """Make the changes; a rename never replaces an existing file."""
        changes = self.changes
        fid, qid = yield from walk(session, self.path, self.qid)
        if changes.name is None or not dialect.rename_replaces:
            yield from dialect.change(fid, qid, changes)
        elif changes == AttributeChanges(name=changes.name):
            yield from self._rename(session, dialect, changes.name)
        else:
            raise unsupported("a new name together with other changes", dialect.version)

    def _rename(self, session: Session, dialect: ClientDialect, new_name: str) -> Steps[None]:
        """Rename as a wstat does: fail if the name exists, which the dialect's own rename would replace."""
        target = (*self.path[:-1], new_name)
        if target == self.path:
            return
        try:
            yield from walk(session, target, None)
        except OperationFailedError as error:
            if error.error_reply.errno != errors.ENOENT:
                raise
        else:
            raise OperationFailedError(ErrorReply(errors.EEXIST))
        yield from dialect.rename(session, self.path, target, None)


@dataclass(frozen=True, slots=True)
class Sync(Operation):
    """Flushes an open file to stable storage, or only its data."""

    KIND = OperationKind.SYNC
    open_mode: OpenMode = OpenMode()
    data_only: bool = False

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[None]:
        """Return once the file is on stable storage."""
        assert self.qid
        yield from dialect.sync(session, self.path, self.qid, self.open_mode, self.data_only)


@dataclass(frozen=True, slots=True)
class Remove(Operation):
    """Removes the file that a fid of the client is bound to."""

    KIND = OperationKind.REMOVE

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[None]:  # noqa: ARG002 - of Operation
        """Remove the file with Tremove, which both dialects have."""
        fid, _ = yield from walk(session, self.path, self.qid)
        session.fids_to_clunk.remove(fid)  # a remove clunks the fid even if it fails
        expect((yield codec.Tremove(fid)), codec.Rremove)


@dataclass(frozen=True, slots=True)
class ReadLink(Operation):
    """Requests the target of a symbolic link."""

    KIND = OperationKind.READ_LINK

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[str]:
        """Return the target."""
        fid, _ = yield from walk(session, self.path, self.qid)
        return (yield from dialect.read_link(fid))


@dataclass(frozen=True, slots=True)
class StatFs(Operation):
    """Requests the statistics of the file system."""

    KIND = OperationKind.STAT_FS

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[FileSystemStats]:
        """Return the statistics."""
        fid, _ = yield from walk(session, self.path, self.qid)
        return (yield from dialect.stat_fs(fid))
