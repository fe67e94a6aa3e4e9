"""Operations that change the names in directories: unlink, create, link, rename. See `operations`."""

from __future__ import annotations

from dataclasses import dataclass, replace

from garnetlanding.ninep.client_dialect import ClientDialect, NewFile
from garnetlanding.ninep.codec import Qid
from garnetlanding.ninep.model import Path
from garnetlanding.ninep.operation_table import OperationKind
from garnetlanding.ninep.operations import Operation, renamed_path
from garnetlanding.ninep.session import Session, Steps, walk


@dataclass(frozen=True, slots=True)
class _DirectoryOperation(Operation):
    """Changes the entry `name` of a directory; `path` and `qid` are those of the directory."""

    name: str = ""

    @property
    def affected_paths(self) -> tuple[Path, ...]:
        """Return the path of the entry."""
        return ((*self.path, self.name),)


@dataclass(frozen=True, slots=True)
class Unlink(_DirectoryOperation):
    """Removes a name; `directory` tells whether it must be that of a directory or must not."""

    KIND = OperationKind.REMOVE
    directory: bool = False

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[None]:
        """Remove the name."""
        yield from walk(session, self.path, self.qid)
        yield from dialect.unlink(session, self.path, self.name, self.directory)


@dataclass(frozen=True, slots=True)
class MakeDirectory(_DirectoryOperation):
    """Creates a directory."""

    KIND = OperationKind.MAKE_DIRECTORY
    new_file: NewFile = NewFile(0o755)

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[Qid]:
        """Return the qid of the new file."""
        fid, _ = yield from walk(session, self.path, self.qid)
        return (yield from dialect.make_directory(fid, self.name, self.new_file))


@dataclass(frozen=True, slots=True)
class MakeNode(_DirectoryOperation):
    """Creates a file of any type without opening it; `major` and `minor` are device numbers."""

    KIND = OperationKind.MAKE_NODE
    new_file: NewFile = NewFile(0o644)
    major: int = 0
    minor: int = 0

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[Qid]:
        """Return the qid of the new file."""
        fid, _ = yield from walk(session, self.path, self.qid)
        return (yield from dialect.make_node(fid, self.name, self.new_file, self.major, self.minor))


@dataclass(frozen=True, slots=True)
class Symlink(_DirectoryOperation):
    """Creates a symbolic link to `target`."""

    KIND = OperationKind.SYMLINK
    target: str = ""
    gid: int = 0

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[Qid]:
        """Return the qid of the new file."""
        fid, _ = yield from walk(session, self.path, self.qid)
        return (yield from dialect.symlink(fid, self.name, self.target, self.gid))


@dataclass(frozen=True, slots=True)
class Link(_DirectoryOperation):
    """Creates a hard link to the file `target`."""

    KIND = OperationKind.LINK
    target: Path = ()
    target_qid: Qid | None = None

    @property
    def affected_paths(self) -> tuple[Path, ...]:
        """Return the paths of the link and of the target."""
        return ((*self.path, self.name), self.target)

    def with_renamed_path(self, old: Path, new: Path) -> Operation:
        """Return the same request after `old`, a prefix of either path, has been renamed to `new`."""
        return replace(
            self,
            path=renamed_path(self.path, old, new),
            target=renamed_path(self.target, old, new),
            delivery=self.delivery,
        )

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[None]:
        """Create the link."""
        fid, _ = yield from walk(session, self.target, self.target_qid)
        parent_fid, _ = yield from walk(session, self.path, self.qid)
        yield from dialect.link(parent_fid, fid, self.name)


@dataclass(frozen=True, slots=True)
class Rename(Operation):
    """Renames the file to the path `new`; a file there is replaced if the server's dialect supports it."""

    KIND = OperationKind.RENAME
    new_path: Path = ()

    @property
    def affected_paths(self) -> tuple[Path, ...]:
        """Return the old path and the new one."""
        return (self.path, self.new_path)

    def with_renamed_path(self, old: Path, new: Path) -> Operation:
        """Return the same request after `old`, a prefix of either path, has been renamed to `new`."""
        return replace(
            self,
            path=renamed_path(self.path, old, new),
            new_path=renamed_path(self.new_path, old, new),
            delivery=self.delivery,
        )

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[None]:
        """Rename the file."""
        yield from dialect.rename(session, self.path, self.new_path, self.qid)
