"""The interface of the dialects used with file servers, which translate steps of operations to messages."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from garnetlanding.ninep import codec, codec_linux, errors
from garnetlanding.ninep.codec import Message, Qid
from garnetlanding.ninep.errors import ErrorReply, OperationFailedError
from garnetlanding.ninep.model import AttributeChanges, DirectoryEntry, FileAttributes, FileSystemStats, Path
from garnetlanding.ninep.session import FILE_REPLACED, Identity, OpenFile, OpenMode, Session, Steps, walk

MIN_LISTING_BYTES = 4096
"""Minimum size of a 9P2000 directory read, whose entries are larger than those of Rreaddir."""

MAX_ATTRIBUTE_LISTING_BYTES = 8192
"""Maximum size of a directory read whose entries are held while the attributes of each are requested."""


@dataclass(frozen=True, slots=True)
class NewFile:
    """The attributes of a file to be created, and how to treat an existing one.

    `perm` has the POSIX mode (type and permission bits), `flags` the DM bits of 9P2000, and `gid` is a
    numeric group ID or NOGID. Unless `exclusive` is set, an existing file is opened, and emptied if
    `truncate` is set.
    """

    perm: int
    flags: int = 0
    gid: int = codec_linux.NOGID
    exclusive: bool = True
    truncate: bool = False


class ClientDialect(Protocol):
    """A dialect used with file servers. Each method except `attach` is part of a message exchange.

    A `fid` argument refers to the file, or to the directory in which an entry is created. Every method raises
    OperationFailedError for an error reply and for an operation that the dialect cannot express.
    """

    version: str
    table: codec.MessageTable
    lists_attributes: bool
    """Whether directory entries include the attributes of the files."""
    rename_replaces: bool
    """Whether `rename` replaces an existing file with the new name; otherwise it fails."""

    def attach(self, fid: int, identity: Identity) -> Message:
        """Return the message that attaches the identity's tree."""
        ...

    def open(self, fid: int, open_mode: OpenMode, truncate: bool) -> Steps[OpenFile]:
        """Open the fid's file."""
        ...

    def create(
        self, session: Session, parent: Path, name: str, new_file: NewFile, open_mode: OpenMode
    ) -> Steps[OpenFile]:
        """Create a regular file and open it."""
        ...

    def stat(self, fid: int) -> Steps[FileAttributes]:
        """Return the attributes."""
        ...

    def change(self, fid: int, qid: Qid, changes: AttributeChanges) -> Steps[None]:
        """Change attributes; an empty `changes` flushes written data to stable storage."""
        ...

    def rename(self, session: Session, old: Path, new: Path, qid: Qid | None) -> Steps[None]:
        """Rename a file; it must still have the qid `qid`, if that is not None."""
        ...

    def list_entries(
        self, session: Session, path: Path, open_mode: OpenMode, qid: Qid, cookie: int, count: int
    ) -> Steps[list[DirectoryEntry]]:
        """Return about `count` bytes of directory entries from `cookie` on; none at the end."""
        ...

    def sync(
        self, session: Session, path: Path, qid: Qid, open_mode: OpenMode, data_only: bool
    ) -> Steps[None]:
        """Flush a file, or only its data, to stable storage."""
        ...

    def make_directory(self, fid: int, name: str, new_file: NewFile) -> Steps[Qid]:
        """Create a directory."""
        ...

    def make_node(self, fid: int, name: str, new_file: NewFile, major: int, minor: int) -> Steps[Qid]:
        """Create a file of any type without opening it."""
        ...

    def symlink(self, fid: int, name: str, target: str, gid: int) -> Steps[Qid]:
        """Create a symbolic link."""
        ...

    def read_link(self, fid: int) -> Steps[str]:
        """Return the target of a symbolic link."""
        ...

    def link(self, parent: int, fid: int, name: str) -> Steps[None]:
        """Create a hard link to a file in the directory of the fid `parent`."""
        ...

    def unlink(self, session: Session, parent: Path, name: str, directory: bool) -> Steps[None]:
        """Remove a directory entry; `directory` says whether it must be a directory or must not be one."""
        ...

    def stat_fs(self, fid: int) -> Steps[FileSystemStats]:
        """Return the statistics of the file system."""
        ...


def unsupported(feature: str, version: str) -> OperationFailedError:
    """Return the error for a feature that the dialect `version` cannot express."""
    text = f"operation not supported: {feature} cannot be expressed in {version}"
    return OperationFailedError(ErrorReply(errors.EOPNOTSUPP, text))


def check_changeable(changes: AttributeChanges) -> None:
    """Raise OperationFailedError if the changes include fields that a wstat cannot change."""
    if changes.unchangeable:
        field_names = ", ".join(changes.unchangeable)
        raise OperationFailedError(ErrorReply(errors.EPERM, f"wstat cannot change {field_names}"))


def open_file(
    session: Session, dialect: ClientDialect, path: Path, open_mode: OpenMode, qid: Qid
) -> Steps[OpenFile]:
    """Return the file that an earlier attempt left open on this connection, or open it.

    It stays open for later attempts; it is never truncated or created. Raises OperationFailedError if the
    path names a file with another qid.
    """
    file = session.open_files.get((path, open_mode))
    if file and file.qid.path == qid.path:
        session.open_files.move_to_end((path, open_mode))
        return file
    # The open file, if any, is another one, which had this path when it was opened.
    session.release_open_file(path, open_mode)
    fid, _ = yield from walk(session, path, qid)
    session.fids_to_clunk.remove(fid)
    try:
        file = yield from dialect.open(fid, open_mode, truncate=False)
    except OperationFailedError:
        session.fids_to_clunk.append(fid)
        raise
    if file.qid.path != qid.path:
        session.fids_to_clunk.append(fid)
        raise OperationFailedError(FILE_REPLACED)
    session.retain_open_file(path, open_mode, file)
    return file


_CHANGE_MESSAGES = (
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
    """Return whether a server that has received the complete message may have changed the tree."""
    match message:
        case codec.Topen(_, mode):
            return bool(mode & codec.OTRUNC)
        case codec_linux.Tlopen(_, flags):
            return bool(flags & codec_linux.L_TRUNC)
    return isinstance(message, _CHANGE_MESSAGES)
