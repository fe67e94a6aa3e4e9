"""What a dialect towards file servers has to do: the operations' steps as messages of that dialect."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from garnetlanding.ninep import codec, codec_linux, errors
from garnetlanding.ninep.codec import Message, Qid
from garnetlanding.ninep.errors import ErrorReply, OperationFailedError
from garnetlanding.ninep.model import AttributeChanges, DirectoryEntry, FileAttributes, FileSystemStats, Path
from garnetlanding.ninep.session import REPLACED, Identity, OpenFile, OpenMode, Session, Steps, walk

MIN_LISTING_BYTES = 4096
"""A 9P2000 directory is asked for at least this: its entries are larger than those of a readdir."""


@dataclass(frozen=True, slots=True)
class NewFile:
    """What a file to be created is to be.

    `perm` has the POSIX mode (type and permission bits), `flags` the DM bits of 9P2000, and `gid` is a number
    or NOGID. Unless `exclusive`, a file that has the name already is opened, and emptied with `truncate`.
    """

    perm: int
    flags: int = 0
    gid: int = codec_linux.NOGID
    exclusive: bool = True
    truncate: bool = False


class ClientDialect(Protocol):
    """One dialect towards file servers. Each method but `attach` is part of a program.

    A fid that is given stands for the file, or for the directory that gets a name. Every method raises
    OperationFailedError for an error of the server, and for what the dialect cannot express.
    """

    version: str
    table: codec.MessageTable
    lists_attributes: bool
    """Whether the entries of a directory come with their attributes."""
    rename_replaces: bool
    """Whether `move` replaces a file that has the new name; else that is an error."""

    def attach(self, fid: int, identity: Identity) -> Message:
        """Return the message that attaches the identity's tree."""
        ...

    def open(self, fid: int, open_mode: OpenMode, truncate: bool) -> Steps[OpenFile]:
        """Open the fid's file."""
        ...

    def create(
        self, session: Session, parent: Path, name: str, new_file: NewFile, open_mode: OpenMode
    ) -> Steps[OpenFile]:
        """Make a regular file and open it."""
        ...

    def stat(self, fid: int) -> Steps[FileAttributes]:
        """Return the attributes."""
        ...

    def change(self, fid: int, qid: Qid, changes: AttributeChanges) -> Steps[None]:
        """Change attributes; with no changes at all, store what was written."""
        ...

    def move(self, session: Session, old: Path, new: Path, qid: Qid | None) -> Steps[None]:
        """Give a file a new name; `qid`, if known, is what it must still have."""
        ...

    def entries(
        self, session: Session, path: Path, open_mode: OpenMode, qid: Qid, cookie: int, count: int
    ) -> Steps[list[DirectoryEntry]]:
        """Return a directory's entries from `cookie` on, about `count` bytes of them; none at its end."""
        ...

    def sync(
        self, session: Session, path: Path, qid: Qid, open_mode: OpenMode, data_only: bool
    ) -> Steps[None]:
        """Store what was written to a file, or its data alone."""
        ...

    def make_directory(self, fid: int, name: str, new_file: NewFile) -> Steps[Qid]:
        """Make a directory."""
        ...

    def make_node(self, fid: int, name: str, new_file: NewFile, major: int, minor: int) -> Steps[Qid]:
        """Make a file of any type, without opening it."""
        ...

    def symlink(self, fid: int, name: str, target: str, gid: int) -> Steps[Qid]:
        """Make a symbolic link."""
        ...

    def read_link(self, fid: int) -> Steps[str]:
        """Return where a symbolic link leads."""
        ...

    def link(self, parent: int, fid: int, name: str) -> Steps[None]:
        """Give a file a further name in the directory of the fid `parent`."""
        ...

    def unlink(self, session: Session, parent: Path, name: str, directory: bool) -> Steps[None]:
        """Remove a name; `directory` says what it has to be the name of."""
        ...

    def stat_fs(self, fid: int) -> Steps[FileSystemStats]:
        """Return the figures of the file system."""
        ...


def unsupported(what: str, version: str) -> OperationFailedError:
    """Return the error for what the dialect `version` cannot express."""
    text = f"operation not supported: {what} cannot be expressed in {version}"
    return OperationFailedError(ErrorReply(errors.EOPNOTSUPP, text))


def check_changeable(changes: AttributeChanges) -> None:
    """Raise OperationFailedError if fields are to change that no wstat may change."""
    if changes.unchangeable:
        field_names = ", ".join(changes.unchangeable)
        raise OperationFailedError(ErrorReply(errors.EPERM, f"wstat cannot change {field_names}"))


def open_file(
    session: Session, dialect: ClientDialect, path: Path, open_mode: OpenMode, qid: Qid
) -> Steps[OpenFile]:
    """Return the file as an earlier attempt left it open on this connection, or open it anew.

    It stays open for later attempts; it is never truncated or created. Raises OperationFailedError when the
    name's file is not the one of `qid`.
    """
    file = session.open_files.get((path, open_mode))
    if file and file.qid.path == qid.path:
        session.open_files.move_to_end((path, open_mode))
        return file
    # What is open is another file, which had this name then.
    session.drop_open_file(path, open_mode)
    fid, _ = yield from walk(session, path, qid)
    session.surplus_fids.remove(fid)
    try:
        file = yield from dialect.open(fid, open_mode, truncate=False)
    except OperationFailedError:
        session.surplus_fids.append(fid)
        raise
    if file.qid.path != qid.path:
        session.surplus_fids.append(fid)
        raise OperationFailedError(REPLACED)
    session.keep_open_file(path, open_mode, file)
    return file


_CHANGING = (
    codec.Tcreate,
    codec.Twrite,
    codec.Tremove,
    codec.Twstat,
    codec_linux.Tlcreate,
    codec_linux.Tsymlink,
    codec_linux.Tmknod,
    codec_linux.Trename,
    codec_linux.Tsetattr,
    codec_linux.Tfsync,
    codec_linux.Tlink,
    codec_linux.Tmkdir,
    codec_linux.Trenameat,
    codec_linux.Tunlinkat,
)


def may_change(message: Message) -> bool:
    """Return whether a server that has the complete message may have changed the tree."""
    match message:
        case codec.Topen(_, mode):
            return bool(mode & codec.OTRUNC)
        case codec_linux.Tlopen(_, flags):
            return bool(flags & codec_linux.L_TRUNC)
    return isinstance(message, _CHANGING)
