"""Byte-range locks and exclusive-use files, managed by the instance for its own clients.

Clients of an instance share server connections, and an attempt may be sent to any server, so a server cannot
keep the lock of a client. The instance manages POSIX record locks (fcntl(2)) by owner and the exclusive-use
files of 9P2000 (open(5)) itself. Locks of other instances' clients are not taken into account; the operators'
page documents this.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from garnetlanding.ninep.errors import NinepError

UNBOUNDED_END = 1 << 64
"""The end of a range of length 0, which extends to the end of the file however large it grows."""

FileId = tuple[str, int]
"""The name of an export and the path field of the file's qid."""


class LockLimitError(NinepError, OverflowError):
    """The lock would exceed `max_locks`, the limit on the number of locks of all clients."""

    def __init__(self, max_locks: int) -> None:
        super().__init__(f"more than {max_locks} locks")
        self.max_locks = max_locks


@dataclass(frozen=True, slots=True)
class LockOwner:
    """The owner of a lock: a process of a client, in the session that requested it."""

    session: int
    proc_id: int
    client_id: str


@dataclass(frozen=True, slots=True)
class LockRange:
    """A lock on the bytes from `start` to `end` (exclusive), set through `fid`."""

    owner: LockOwner
    fid: int
    write: bool
    start: int
    end: int

    def overlaps(self, other: LockRange) -> bool:
        """Return whether the two ranges have a byte in common."""
        return self.start < other.end and other.start < self.end

    def conflicts(self, other: LockRange) -> bool:
        """Return whether the two overlap, have different owners, and at least one is a write lock."""
        return self.owner != other.owner and (self.write or other.write) and self.overlaps(other)


def byte_span(start: int, length: int) -> tuple[int, int]:
    """Return start and end of the range in a Tlock; a length of 0 extends to the end of the file."""
    if not length:
        return start, UNBOUNDED_END
    return start, min(UNBOUNDED_END, start + length)


class LockTable:
    """The byte-range locks of all clients; `count` is the number of ranges held."""

    def __init__(self, max_locks: int) -> None:
        self._max_locks = max_locks
        self._held: dict[FileId, list[LockRange]] = {}
        self.count = 0

    def find_conflict(self, file: FileId, requested: LockRange) -> LockRange | None:
        """Return the conflicting held range with the lowest start, or None."""
        by_start = sorted(self._held.get(file, ()), key=lambda held: held.start)
        return next((held for held in by_start if held.conflicts(requested)), None)

    def acquire(self, file: FileId, requested: LockRange) -> bool:
        """Acquire a lock; return False if a lock of another owner conflicts.

        The owner's own locks in that range are replaced, as specified in fcntl(2). Raises LockLimitError if
        there would be too many locks.
        """
        if self.find_conflict(file, requested):
            return False
        remaining = self._subtract(file, requested)
        # Splitting one held range into two and adding the new one increases the count by at most two.
        if self.count - len(self._held.get(file, ())) + len(remaining) + 1 > self._max_locks:
            raise LockLimitError(self._max_locks)
        self._set(file, [*remaining, requested])
        return True

    def release(self, file: FileId, owner: LockOwner, start: int, end: int) -> None:
        """Release the owner's locks in this range; locks that extend beyond it are shortened or split."""
        self._set(file, self._subtract(file, LockRange(owner, 0, True, start, end)))

    def _subtract(self, file: FileId, removed: LockRange) -> list[LockRange]:
        """Return the ranges that remain held when `removed` is subtracted from its owner's locks."""
        remaining: list[LockRange] = []
        for held in self._held.get(file, ()):
            if held.owner != removed.owner or not held.overlaps(removed):
                remaining.append(held)
                continue
            if held.start < removed.start:
                remaining.append(replace(held, end=removed.start))
            if held.end > removed.end:
                remaining.append(replace(held, start=removed.end))
        return remaining

    def _set(self, file: FileId, ranges: list[LockRange]) -> None:
        self.count += len(ranges) - len(self._held.get(file, ()))
        if ranges:
            self._held[file] = ranges
        else:
            self._held.pop(file, None)

    def release_fid(self, session: int, fid: int) -> None:
        """Release the locks that were set through a fid that is being clunked."""
        for file, ranges in list(self._held.items()):
            self._set(file, [held for held in ranges if held.owner.session != session or held.fid != fid])

    def release_session(self, session: int) -> None:
        """Release all locks of a session that has ended."""
        for file, ranges in list(self._held.items()):
            self._set(file, [held for held in ranges if held.owner.session != session])


class ExclusiveUse:
    """Tracks which fid has each exclusive-use file open; only one may at a time (open(5))."""

    def __init__(self) -> None:
        self._holders: dict[FileId, tuple[int, int]] = {}  # session and fid

    def acquire(self, file: FileId, session: int, fid: int) -> bool:
        """Reserve the file for a fid; return False if another fid has it open."""
        return self._holders.setdefault(file, (session, fid)) == (session, fid)

    def release_fid(self, session: int, fid: int) -> None:
        """Release the file that is open through a fid."""
        for file, holder in list(self._holders.items()):
            if holder == (session, fid):
                del self._holders[file]

    def release_session(self, session: int) -> None:
        """Release all files that are open in a session."""
        for file, (holding_session, _) in list(self._holders.items()):
            if holding_session == session:
                del self._holders[file]
