"""The fids of a client session: which file each refers to and how it is open."""

from __future__ import annotations

from dataclasses import dataclass

from garnetlanding.ninep.codec import QTDIR, Qid
from garnetlanding.ninep.errors import ErrorReply, NinepError
from garnetlanding.ninep.model import Path
from garnetlanding.ninep.session import Identity, OpenMode
from garnetlanding.ninep.setup import Export


class RequestRejectedError(NinepError):
    """A message is rejected without asking a file server; `error_reply` is the reply to the client."""

    def __init__(self, number: int, text: str = "") -> None:
        self.error_reply = ErrorReply(number, text)
        super().__init__(self.error_reply.text)


@dataclass(frozen=True, slots=True)
class DirectoryPosition:
    """How far a 9P2000 client has read a directory: the byte offset, and the cookie of the entry there."""

    offset: int = 0
    cookie: int = 0


@dataclass(slots=True)
class Fid:
    """A path in an export with the qid that the client knows. It is not bound to a file server."""

    export: Export
    identity: Identity
    path: Path
    qid: Qid
    open_mode: OpenMode | None = None
    """The mode in which it is open; None if it is not open."""
    remove_on_close: bool = False
    """Whether its file is removed when the fid is clunked (ORCLOSE, open(5))."""
    position: DirectoryPosition = DirectoryPosition()

    @property
    def is_dir(self) -> bool:
        """Whether it refers to a directory."""
        return bool(self.qid.type & QTDIR)

    @property
    def file_id(self) -> tuple[str, int]:
        """The identity of the file, independent of its path."""
        return self.export.name, self.qid.path


def resolve_walk(path: Path, names: Path) -> Path:
    """Return the path at which a walk ends; `..` leads to the parent, and at the root to itself (walk(5))."""
    resolved = list(path)
    for name in names:
        if name != "..":
            resolved.append(name)
        elif resolved:
            resolved.pop()
    return tuple(resolved)
