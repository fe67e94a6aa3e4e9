"""Byte-range locks and exclusive use, as the head keeps them for its own clients.

A head's clients share server connections, and an attempt may go to any server, so no server can hold a
client's lock. The head holds them: POSIX record locks (fcntl(2)) by owner, and 9P2000's exclusive-use files
(open(5)). Clients that come through other heads are not seen; the operators' page says so.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

END = 1 << 64  # a length of 0 reaches to the end, wherever that comes to be

File = tuple[str, int]  # export, and the qid's path


@dataclass(frozen=True, slots=True)
class Owner:
    session: int
    proc_id: int
    client_id: str


@dataclass(frozen=True, slots=True)
class Range:
    owner: Owner
    fid: int
    write: bool
    start: int
    end: int  # past the last byte

    def overlaps(self, other: Range) -> bool:
        return self.start < other.end and other.start < self.end

    def conflicts(self, other: Range) -> bool:
        return self.owner != other.owner and (self.write or other.write) and self.overlaps(other)


def span(start: int, length: int) -> tuple[int, int]:
    return start, min(END, start + length) if length else END


class Locks:
    def __init__(self, most: int) -> None:
        self._most = most
        self._held: dict[File, list[Range]] = {}
        self.count = 0

    def conflict(self, file: File, wanted: Range) -> Range | None:
        """The first range that stands in its way."""
        return next(
            (r for r in sorted(self._held.get(file, ()), key=lambda r: r.start) if r.conflicts(wanted)), None
        )

    def take(self, file: File, wanted: Range) -> bool:
        """False when another owner's range stands in the way. Raises OverflowError past the bound."""
        if self.conflict(file, wanted):
            return False
        kept = self._without(file, wanted)
        # A split may leave two pieces of one; together with the new one that is the most it can add.
        if self.count - len(self._held.get(file, ())) + len(kept) + 1 > self._most:
            raise OverflowError
        self._set(file, [*kept, wanted])
        return True

    def release(self, file: File, owner: Owner, start: int, end: int) -> None:
        self._set(file, self._without(file, Range(owner, 0, True, start, end)))

    def _without(self, file: File, cut: Range) -> list[Range]:
        """What is held beside it, its owner's own ranges cut where it lies."""
        kept: list[Range] = []
        for r in self._held.get(file, ()):
            if r.owner != cut.owner or not r.overlaps(cut):
                kept.append(r)
                continue
            if r.start < cut.start:
                kept.append(replace(r, end=cut.start))
            if r.end > cut.end:
                kept.append(replace(r, start=cut.end))
        return kept

    def _set(self, file: File, ranges: list[Range]) -> None:
        self.count += len(ranges) - len(self._held.get(file, ()))
        if ranges:
            self._held[file] = ranges
        else:
            self._held.pop(file, None)

    def clunked(self, session: int, fid: int | None) -> None:
        """What a fid, or (None) a whole session, held."""
        for file, ranges in list(self._held.items()):
            self._set(file, [r for r in ranges if r.owner.session != session or fid not in (None, r.fid)])


class Exclusive:
    """Who has an exclusive-use file open: one fid of one session."""

    def __init__(self) -> None:
        self._by: dict[File, tuple[int, int]] = {}

    def open(self, file: File, session: int, fid: int) -> bool:
        return self._by.setdefault(file, (session, fid)) == (session, fid)

    def clunked(self, session: int, fid: int | None) -> None:
        for file, (by, its) in list(self._by.items()):
            if by == session and fid in (None, its):
                del self._by[file]
