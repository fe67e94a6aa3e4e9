"""Decides when each change may go to a server: those of one client that touch each other, one at a time.

A file server runs what comes on two connections in any order, so a head that spreads attempts over
connections must hold back a change until the one before it has its end. Two changes touch each other when
a path of one is a path of the other or leads to it: a rename of a directory waits for writes below it.

A change whose attempt may still be in work when its item ends (the connection was given up, no end was
heard) could run late, over what came after it. Its paths rest for a while, for every client of the head.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, replace

Path = tuple[str, ...]
Paths = tuple[tuple[str, Path], ...]  # each with the export that it lies in


def touch(a: tuple[str, Path], b: tuple[str, Path]) -> bool:
    """One is the other, or lies below it."""
    n = min(len(a[1]), len(b[1]))
    return a[0] == b[0] and a[1][:n] == b[1][:n]


def moved(path: tuple[str, Path], old: tuple[str, Path], new: Path) -> tuple[str, Path]:
    """Where a path lies once `old` is called `new`."""
    if path[0] == old[0] and path[1][: len(old[1])] == old[1]:
        return path[0], new + path[1][len(old[1]) :]
    return path


@dataclass(frozen=True, slots=True)
class Entry:
    ticket: int
    client: int
    paths: Paths

    def touches(self, paths: Paths) -> bool:
        return any(touch(mine, other) for mine in self.paths for other in paths)


class Order:
    """All changes of one head. Times are microseconds; nothing here looks at a clock."""

    def __init__(self, rest_us: int, most_rests: int) -> None:
        self._rest_us, self._most_rests = rest_us, most_rests
        self._waiting: dict[int, list[Entry]] = {}  # by client, as they came
        self._out: dict[int, list[Entry]] = {}
        self._rests: OrderedDict[tuple[str, Path], int] = OrderedDict()  # until when
        self._count = 0

    def __len__(self) -> int:
        return sum(map(len, self._waiting.values())) + sum(map(len, self._out.values()))

    def enter(self, client: int, paths: Paths, now: int) -> tuple[int, bool]:
        """A change, with its ticket, and whether it may go at once; else `ended` or `rested` will name it."""
        self._count += 1
        entry = Entry(self._count, client, paths)
        if self._free(entry, self._waiting.get(client, []), now):
            self._out.setdefault(client, []).append(entry)
            return entry.ticket, True
        self._waiting.setdefault(client, []).append(entry)
        return entry.ticket, False

    def _free(self, entry: Entry, before: list[Entry], now: int) -> bool:
        ahead = [*self._out.get(entry.client, ()), *before]
        return not any(other.touches(entry.paths) for other in ahead) and not self._rests_on(entry, now)

    def _rests_on(self, entry: Entry, now: int) -> bool:
        return any(
            until > now and any(touch(path, mine) for mine in entry.paths)
            for path, until in self._rests.items()
        )

    def ended(self, client: int, ticket: int, now: int, unsure: bool) -> list[int]:
        """The change is over, or was given up before it went. Returns the tickets that may go now."""
        for among in (self._out, self._waiting):
            entries = among.get(client, [])
            for entry in [e for e in entries if e.ticket == ticket]:
                entries.remove(entry)
                if unsure:
                    self._rest(entry, now)
            if not entries:
                among.pop(client, None)
        return self._release(client, now)

    def _rest(self, entry: Entry, now: int) -> None:
        for path in entry.paths:
            self._rests.pop(path, None)
            self._rests[path] = now + self._rest_us
        while len(self._rests) > self._most_rests:
            self._rests.popitem(last=False)

    def rested(self, now: int) -> list[int]:
        """Forgets the rests that are over; the tickets that may go since."""
        while self._rests and next(iter(self._rests.values())) <= now:
            self._rests.popitem(last=False)
        return [ticket for client in list(self._waiting) for ticket in self._release(client, now)]

    def moved(self, old: tuple[str, Path], new: Path) -> None:
        """A rename has taken effect: what waits or is out goes by the new name."""
        for among in (self._waiting, self._out):
            for entries in among.values():
                entries[:] = [replace(e, paths=tuple(moved(p, old, new) for p in e.paths)) for e in entries]
        self._rests = OrderedDict((moved(path, old, new), until) for path, until in self._rests.items())

    @property
    def next_at(self) -> int | None:
        """When a rest ends that something may wait for."""
        return next(iter(self._rests.values())) if self._rests and self._waiting else None

    def _release(self, client: int, now: int) -> list[int]:
        free: list[int] = []
        before: list[Entry] = []
        for entry in self._waiting.get(client, []):
            if self._free(entry, before, now):
                self._out.setdefault(client, []).append(entry)
                free.append(entry.ticket)
            else:
                before.append(entry)
        if before:
            self._waiting[client] = before
        else:
            self._waiting.pop(client, None)
        return free
