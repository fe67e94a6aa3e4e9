"""What the fids of a client session stand for. No bytes, no state of a connection."""

from __future__ import annotations

from dataclasses import dataclass

from garnetlanding.ninep.codec import QTDIR, Qid
from garnetlanding.ninep.errors import ErrorReply, NinepError
from garnetlanding.ninep.model import Path
from garnetlanding.ninep.session import Identity, OpenMode
from garnetlanding.ninep.setup import Export


class RequestRejectedError(NinepError):
    """A message asks for what cannot be done, whatever a file server would say; `problem` is the reply."""

    def __init__(self, number: int, words: str = "") -> None:
        self.problem = ErrorReply(number, words)
        super().__init__(self.problem.text)


@dataclass(frozen=True, slots=True)
class DirectoryPosition:
    """How far a 9P2000 client has read a directory: the stream's offset, and the entry's cookie there."""

    offset: int = 0
    cookie: int = 0


@dataclass(slots=True)
class Fid:
    """A path in an export with the qid that the client knows. It binds the client to no file server."""

    export: Export
    identity: Identity
    path: Path
    qid: Qid
    open_mode: OpenMode | None = None
    """How it is open; None until it is."""
    remove_on_close: bool = False
    """Whether its file is removed when it is clunked (ORCLOSE, open(5))."""
    position: DirectoryPosition = DirectoryPosition()

    @property
    def is_dir(self) -> bool:
        """Whether it stands for a directory."""
        return bool(self.qid.type & QTDIR)

    @property
    def file(self) -> tuple[str, int]:
        """The file's identity, whatever its name."""
        return self.export.name, self.qid.path


def resolve(path: Path, names: Path) -> Path:
    """Return where a walk ends: `..` goes up, and stays at the root (walk(5))."""
    resolved = list(path)
    for name in names:
        if name != "..":
            resolved.append(name)
        elif resolved:
            resolved.pop()
    return tuple(resolved)
