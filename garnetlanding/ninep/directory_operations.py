"""Operations that change names in directories: unlink, make, link, rename. See `operations`."""

from __future__ import annotations

from dataclasses import dataclass, replace

from garnetlanding.ninep.client_dialect import (
    ClientDialect,
    NewFile,
)
from garnetlanding.ninep.codec import Qid
from garnetlanding.ninep.model import Path
from garnetlanding.ninep.operation_table import Op
from garnetlanding.ninep.operations import Work, renamed_path
from garnetlanding.ninep.session import (
    Session,
    Steps,
    walk,
)


@dataclass(frozen=True, slots=True)
class _DirectoryWork(Work):
    """Changes the name `name` in a directory; `path` is the directory, `qid` its own."""

    name: str = ""

    @property
    def paths(self) -> tuple[Path, ...]:
        """Return the path of the name."""
        return ((*self.path, self.name),)


@dataclass(frozen=True, slots=True)
class Unlink(_DirectoryWork):
    """Removes a name; `directory` says what it has to be the name of."""

    OP = Op.REMOVE
    directory: bool = False

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[None]:
        """Remove it."""
        yield from walk(session, self.path, self.qid)
        yield from dialect.unlink(session, self.path, self.name, self.directory)


@dataclass(frozen=True, slots=True)
class MakeDirectory(_DirectoryWork):
    """Makes a directory."""

    OP = Op.MAKE_DIRECTORY
    new: NewFile = NewFile(0o755)

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[Qid]:
        """Return its qid."""
        fid, _ = yield from walk(session, self.path, self.qid)
        return (yield from dialect.make_directory(fid, self.name, self.new))


@dataclass(frozen=True, slots=True)
class MakeNode(_DirectoryWork):
    """Makes a file of any type, without opening it; `major` and `minor` are a device's numbers."""

    OP = Op.MAKE_NODE
    new: NewFile = NewFile(0o644)
    major: int = 0
    minor: int = 0

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[Qid]:
        """Return its qid."""
        fid, _ = yield from walk(session, self.path, self.qid)
        return (yield from dialect.make_node(fid, self.name, self.new, self.major, self.minor))


@dataclass(frozen=True, slots=True)
class Symlink(_DirectoryWork):
    """Makes a symbolic link to `target`."""

    OP = Op.SYMLINK
    target: str = ""
    gid: int = 0

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[Qid]:
        """Return its qid."""
        fid, _ = yield from walk(session, self.path, self.qid)
        return (yield from dialect.symlink(fid, self.name, self.target, self.gid))


@dataclass(frozen=True, slots=True)
class Link(_DirectoryWork):
    """Gives the file `target` a further name."""

    OP = Op.LINK
    target: Path = ()
    target_qid: Qid | None = None

    @property
    def paths(self) -> tuple[Path, ...]:
        """Return the new name's path and the target's."""
        return ((*self.path, self.name), self.target)

    def under(self, old: Path, new: Path) -> Work:
        """Return the same request after `old`, a part of either path, has become `new`."""
        return replace(
            self,
            path=renamed_path(self.path, old, new),
            target=renamed_path(self.target, old, new),
            trace=self.trace,
        )

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[None]:
        """Make the name."""
        fid, _ = yield from walk(session, self.target, self.target_qid)
        parent, _ = yield from walk(session, self.path, self.qid)
        yield from dialect.link(parent, fid, self.name)


@dataclass(frozen=True, slots=True)
class Rename(Work):
    """Gives the file the path `new`; a file there is replaced where the server's dialect can."""

    OP = Op.RENAME
    new: Path = ()

    @property
    def paths(self) -> tuple[Path, ...]:
        """Return the old path and the new one."""
        return (self.path, self.new)

    def under(self, old: Path, new: Path) -> Work:
        """Return the same request after `old`, a part of either path, has become `new`."""
        return replace(
            self,
            path=renamed_path(self.path, old, new),
            new=renamed_path(self.new, old, new),
            trace=self.trace,
        )

    def steps(self, session: Session, dialect: ClientDialect) -> Steps[None]:
        """Rename it."""
        yield from dialect.rename(session, self.path, self.new, self.qid)
