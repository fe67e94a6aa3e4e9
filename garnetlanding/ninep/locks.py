"""Byte-range locks and exclusive use, as an instance keeps them for its own clients.

Clients of an instance share server connections, and an attempt may go to any server, so no server can keep a
client's lock. The instance keeps them: POSIX record locks (fcntl(2)) by owner, and the exclusive-use files of
9P2000 (open(5)). Clients of other instances are not seen; the operators' page says so.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from garnetlanding.ninep.errors import NinepError

END = 1 << 64
"""The end of a range of length 0, which reaches to the end of the file, wherever that comes to be."""

File = tuple[str, int]
"""The name of an export, and the path field of the file's qid."""


class LockLimitError(NinepError, OverflowError):
    """The lock would exceed the bound on all locks, `max_locks`."""

    def __init__(self, max_locks: int) -> None:
        super().__init__(f"more than {max_locks} locks")
        self.max_locks = max_locks


@dataclass(frozen=True, slots=True)
class LockOwner:
    """The owner of a lock: a process of a client, in the session that asked for it."""

    session: int
    proc_id: int
    client_id: str


@dataclass(frozen=True, slots=True)
class LockRange:
    """A lock on the bytes from `start` up to, not including, `end`, set through `fid`."""

    owner: LockOwner
    fid: int
    write: bool
    start: int
    end: int

    def overlaps(self, other: LockRange) -> bool:
        """Return whether the two have a byte in common."""
        return self.start < other.end and other.start < self.end

    def conflicts(self, other: LockRange) -> bool:
        """Return whether the two may not be held at once: different owners, and one of them writes."""
        return self.owner != other.owner and (self.write or other.write) and self.overlaps(other)


def byte_span(start: int, length: int) -> tuple[int, int]:
    """Return start and end of a range as Tlock gives it; a length of 0 means up to the end of the file."""
    if not length:
        return start, END
    return start, min(END, start + length)


class LockTable:
    """The byte-range locks of all clients; `count` is the number of ranges that are held."""

    def __init__(self, max_locks: int) -> None:
        self._max_locks = max_locks
        self._held: dict[File, list[LockRange]] = {}
        self.count = 0

    def conflict(self, file: File, wanted: LockRange) -> LockRange | None:
        """Return the first held range, by its start, that conflicts with the wanted one."""
        by_start = sorted(self._held.get(file, ()), key=lambda held: held.start)
        return next((held for held in by_start if held.conflicts(wanted)), None)

    def acquire(self, file: File, wanted: LockRange) -> bool:
        """Take a lock; return False when another owner's lock conflicts. Raise LockLimitError past the bound.

        The owner's own locks in that range are replaced, as fcntl(2) says.
        """
        if self.conflict(file, wanted):
            return False
        remaining = self._without(file, wanted)
        # A split may leave two pieces of one; together with the new one that is the most it can add.
        if self.count - len(self._held.get(file, ())) + len(remaining) + 1 > self._max_locks:
            raise LockLimitError(self._max_locks)
        self._set(file, [*remaining, wanted])
        return True

    def release(self, file: File, owner: LockOwner, start: int, end: int) -> None:
        """Release what the owner holds of this range; locks that reach beyond it keep the rest."""
        self._set(file, self._without(file, LockRange(owner, 0, True, start, end)))

    def _without(self, file: File, cut: LockRange) -> list[LockRange]:
        """Return what stays held when this range is cut out of its owner's locks."""
        remaining: list[LockRange] = []
        for held in self._held.get(file, ()):
            if held.owner != cut.owner or not held.overlaps(cut):
                remaining.append(held)
                continue
            if held.start < cut.start:
                remaining.append(replace(held, end=cut.start))
            if held.end > cut.end:
                remaining.append(replace(held, start=cut.end))
        return remaining

    def _set(self, file: File, ranges: list[LockRange]) -> None:
        self.count += len(ranges) - len(self._held.get(file, ()))
        if ranges:
            self._held[file] = ranges
        else:
            self._held.pop(file, None)

    def release_fid(self, session: int, fid: int) -> None:
        """Release the locks that were set through a fid, which is being clunked."""
        for file, ranges in list(self._held.items()):
            self._set(file, [held for held in ranges if held.owner.session != session or held.fid != fid])

    def release_session(self, session: int) -> None:
        """Release all locks of a session that has ended."""
        for file, ranges in list(self._held.items()):
            self._set(file, [held for held in ranges if held.owner.session != session])


class ExclusiveUse:
    """Which fid has each exclusive-use file open: one at a time may (open(5))."""

    def __init__(self) -> None:
        self._holders: dict[File, tuple[int, int]] = {}  # session and fid

    def acquire(self, file: File, session: int, fid: int) -> bool:
        """Return whether this fid has the file to itself from now on."""
        return self._holders.setdefault(file, (session, fid)) == (session, fid)

    def release_fid(self, session: int, fid: int) -> None:
        """Release the file that a fid had open."""
        for file, holder in list(self._holders.items()):
            if holder == (session, fid):
                del self._holders[file]

    def release_session(self, session: int) -> None:
        """Release all files that a session had open."""
        for file, (holding_session, _) in list(self._holders.items()):
            if holding_session == session:
                del self._holders[file]
