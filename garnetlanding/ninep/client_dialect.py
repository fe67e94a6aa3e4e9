"""How the neutral steps are said to a server of each dialect, and what a dialect has no words for.

Each method is a program's part: it yields T-messages for one connection and returns neutral values.
"""

from __future__ import annotations

from typing import Protocol

from garnetlanding.ninep import codec, codec_linux, errors
from garnetlanding.ninep.codec import Message, Qid
from garnetlanding.ninep.errors import OperationFailedError, Problem
from garnetlanding.ninep.model import Attr, Changes, Entry, Path, Space
from garnetlanding.ninep.session import Identity, OpenFile, OpenMode, Session, Steps


def unsupported(what: str, dialect: str) -> OperationFailedError:
    words = f"operation not supported: {what} cannot be expressed in {dialect}"
    return OperationFailedError(Problem(errors.EOPNOTSUPP, words))


class ClientDialect(Protocol):
    version: str
    table: codec.Table

    def attach(self, fid: int, identity: Identity) -> Message: ...

    def open(self, session: Session, fid: int, open_mode: OpenMode, truncate: bool) -> Steps[OpenFile]: ...

    def create(
        self, session: Session, parent: Path, name: str, new: NewFile, open_mode: OpenMode
    ) -> Steps[OpenFile]: ...

    def stat(self, session: Session, fid: int) -> Steps[Attr]: ...

    def change(self, session: Session, fid: int, qid: Qid, changes: Changes) -> Steps[None]: ...

    def move(self, session: Session, old: Path, new: Path, qid: Qid | None) -> Steps[None]: ...

    def entries(
        self,
        session: Session,
        path: Path,
        open_mode: OpenMode,
        qid: Qid,
        cookie: int,
        count: int,
    ) -> Steps[list[Entry]]: ...

    def sync(
        self, session: Session, path: Path, qid: Qid, open_mode: OpenMode, data_only: bool
    ) -> Steps[None]: ...

    def make_directory(self, session: Session, fid: int, name: str, new: NewFile) -> Steps[Qid]: ...

    def make_node(
        self,
        session: Session,
        fid: int,
        name: str,
        new: NewFile,
        major: int,
        minor: int,
    ) -> Steps[Qid]: ...

    def symlink(self, session: Session, fid: int, name: str, target: str, gid: int) -> Steps[Qid]: ...

    def read_link(self, session: Session, fid: int) -> Steps[str]: ...

    def link(self, session: Session, parent: int, fid: int, name: str) -> Steps[None]: ...

    def unlink(self, session: Session, parent: Path, name: str, directory: bool) -> Steps[None]: ...

    def stat_fs(self, session: Session, fid: int) -> Steps[Space]: ...


CHANGING = (
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


class NewFile:
    """What a file to be created is to be: its mode in both forms, and how its name may be taken already."""

    __slots__ = ("perm", "flags", "gid", "exclusive", "truncate")

    def __init__(
        self,
        perm: int,
        flags: int = 0,
        gid: int = codec_linux.NOGID,
        exclusive: bool = True,
        truncate: bool = False,
    ) -> None:
        self.perm, self.flags, self.gid = perm, flags, gid
        self.exclusive, self.truncate = exclusive, truncate


def may_change(message: Message) -> bool:
    """Whether a server that has this whole may have changed the tree."""
    match message:
        case codec.Topen(_, mode):
            return bool(mode & codec.OTRUNC)
        case codec_linux.Tlopen(_, flags):
            return bool(flags & codec_linux.L_TRUNC)
    return isinstance(message, CHANGING)


def _talks() -> dict[str, ClientDialect]:
    from garnetlanding.ninep.client_dialect_linux import LinuxClientDialect
    from garnetlanding.ninep.client_dialect_plain import PlainClientDialect

    return {codec.VERSION: PlainClientDialect(), codec_linux.VERSION: LinuxClientDialect()}


CLIENT_DIALECTS: dict[str, ClientDialect] = _talks()
