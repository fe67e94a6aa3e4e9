"""What a client's fids stand for, and the requests that wait for an answer. No bytes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from garnetlanding.ninep.codec import QTDIR, Qid
from garnetlanding.ninep.errors import Problem
from garnetlanding.ninep.model import Path
from garnetlanding.ninep.operations import Work
from garnetlanding.ninep.session import Identity, OpenMode
from garnetlanding.ninep.setup import Export


class RequestRejectedError(Exception):
    """What a message asks for cannot be done; no server needs to be asked."""

    def __init__(self, number: int, words: str = "") -> None:
        super().__init__(number, words)
        self.problem = Problem(number, words)


@dataclass(slots=True)
class Fid:
    """A logical path with its qid. It binds the client to no server."""

    export: Export
    identity: Identity
    path: Path
    qid: Qid
    open_mode: OpenMode | None = None  # set once it is open
    remove_on_close: bool = False
    listing: tuple[int, int] = (0, 0)  # 9P2000: a directory is read on from this offset, which is that cookie

    @property
    def is_dir(self) -> bool:
        return bool(self.qid.type & QTDIR)

    @property
    def file(self) -> tuple[str, int]:
        return self.export.name, self.qid.path


@dataclass(slots=True)
class Pending:
    """A T-message that waits for its answer."""

    fid: int
    work: Work | None = None
    newfid: int | None = None  # reserved for it; nobody else may take it meanwhile
    alone: bool = False  # changes its fid: no other message may use that meanwhile
    ticket: str = ""  # the core's; empty while it waits for its turn
    order: int = 0  # its place in the order of changes; 0: none
    settled: bool = False  # nobody waits for its answer any more
    dropped: bool = False  # and it need not be sent
    stays: bool = False  # what it does cannot be taken back: a flush waits for its end
    flushes: list[int] = field(default_factory=list)  # tags answered right after it

    @property
    def must_end(self) -> bool:
        """Whether it may have changed something, so that nobody may say it never came."""
        work = self.work
        return self.stays or bool(work and work.spec.change and work.trace.exposed)


def normal(path: Path, names: Path) -> Path:
    """Where a walk ends: `..` goes up, and stays at the root."""
    out = list(path)
    for name in names:
        if name != "..":
            out.append(name)
        elif out:
            out.pop()
    return tuple(out)


Told = Callable[[object], object]
