"""Decides when each change may be sent to a file server: overlapping changes of a client run one at a time.

A file server executes messages from different connections in any order. An instance that spreads attempts
over connections must therefore delay a change until earlier overlapping changes have ended. Two changes
overlap if a path of one equals a path of the other or is an ancestor of it: the rename of a directory waits
for writes below it.

If an attempt may still be running when its request ends (the connection was closed before the reply arrived),
the change could take effect late and overwrite later changes. Its paths are then paused for a fixed time, for
all clients of the instance.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, replace
from typing import NamedTuple

from garnetlanding.ninep.model import Path

ExportPath = tuple[str, Path]
"""The name of an export and a path in it."""
ExportPaths = tuple[ExportPath, ...]


def paths_overlap(first: ExportPath, second: ExportPath) -> bool:
    """Return whether the paths are equal or one is an ancestor of the other."""
    first_export, first_path = first
    second_export, second_path = second
    common_length = min(len(first_path), len(second_path))
    return first_export == second_export and first_path[:common_length] == second_path[:common_length]


def path_after_rename(path: ExportPath, old: ExportPath, new: Path) -> ExportPath:
    """Return the path of the same file after `old` has been renamed to `new` in its export."""
    export, names = path
    old_export, old_names = old
    if export == old_export and names[: len(old_names)] == old_names:
        return export, new + names[len(old_names) :]
    return path


@dataclass(frozen=True, slots=True)
class OrderedChange:
    """A change that is queued or in flight, and the paths that it affects."""

    ticket: int
    client: int
    paths: ExportPaths

    def overlaps(self, paths: ExportPaths) -> bool:
        """Return whether any of its paths overlaps any of `paths`."""
        return any(paths_overlap(own, other) for own in self.paths for other in paths)


class Enqueued(NamedTuple):
    """The ticket of a change, and whether it may be sent at once."""

    ticket: int
    may_start: bool


class ChangeOrder:
    """The changes of all clients of one instance; overlapping changes of one client keep their order.

    Times are in microseconds and are passed in by the caller.
    """

    def __init__(self, pause_us: int, max_pauses: int) -> None:
        """`pause_us` is the duration of a pause; beyond `max_pauses` paused paths, the oldest are dropped."""
        self._pause_us = pause_us
        self._max_pauses = max_pauses
        self._queued: dict[int, list[OrderedChange]] = {}  # by client, in order of arrival
        self._in_flight: dict[int, list[OrderedChange]] = {}  # by client
        self._paused_until: OrderedDict[ExportPath, int] = OrderedDict()  # ordered by end time
        self._last_ticket = 0

    def __len__(self) -> int:
        return sum(map(len, self._queued.values())) + sum(map(len, self._in_flight.values()))

    def enqueue(self, client: int, paths: ExportPaths, now: int) -> Enqueued:
        """Add a change. If it may not start yet, a later `finish` or `expire_pauses` returns its ticket."""
        self._last_ticket += 1
        change = OrderedChange(self._last_ticket, client, paths)
        may_start = self._may_start(change, self._queued.get(client, []), now)
        changes = self._in_flight if may_start else self._queued
        changes.setdefault(client, []).append(change)
        return Enqueued(change.ticket, may_start)

    def _may_start(self, change: OrderedChange, queued_before: list[OrderedChange], now: int) -> bool:
        ahead = [*self._in_flight.get(change.client, ()), *queued_before]
        if any(other.overlaps(change.paths) for other in ahead):
            return False
        return not self._is_paused(change, now)

    def _is_paused(self, change: OrderedChange, now: int) -> bool:
        return any(
            until > now and any(paths_overlap(path, own) for own in change.paths)
            for path, until in self._paused_until.items()
        )

    def finish(self, client: int, ticket: int, now: int, outcome_unknown: bool) -> list[int]:
        """Remove a change that has ended or was cancelled; return the tickets that may start now.

        `outcome_unknown` means that one of its attempts may still be running, so its paths are paused.
        """
        for changes in (self._in_flight, self._queued):
            of_client = changes.get(client, [])
            for change in [change for change in of_client if change.ticket == ticket]:
                of_client.remove(change)
                if outcome_unknown:
                    self._pause(change, now)
            if not of_client:
                changes.pop(client, None)
        return self._start_queued(client, now)

    def _pause(self, change: OrderedChange, now: int) -> None:
        for path in change.paths:
            self._paused_until.pop(path, None)
            self._paused_until[path] = now + self._pause_us
        while len(self._paused_until) > self._max_pauses:
            self._paused_until.popitem(last=False)

    def expire_pauses(self, now: int) -> list[int]:
        """Remove expired pauses; return the tickets that may start now."""
        while self._paused_until and next(iter(self._paused_until.values())) <= now:
            self._paused_until.popitem(last=False)
        return [ticket for client in list(self._queued) for ticket in self._start_queued(client, now)]

    def rename(self, old: ExportPath, new: Path) -> None:
        """Update all queued, in-flight and paused paths after a rename."""
        for changes in (self._queued, self._in_flight):
            for of_client in changes.values():
                of_client[:] = [
                    replace(change, paths=tuple(path_after_rename(path, old, new) for path in change.paths))
                    for change in of_client
                ]
        self._paused_until = OrderedDict(
            (path_after_rename(path, old, new), until) for path, until in self._paused_until.items()
        )

    @property
    def next_expiry(self) -> int | None:
        """Return when the next pause ends, or None if no change is queued or no path is paused."""
        if self._paused_until and self._queued:
            return next(iter(self._paused_until.values()))
        return None

    def _start_queued(self, client: int, now: int) -> list[int]:
        """Start the client's queued changes that may start; return their tickets."""
        started: list[int] = []
        still_queued: list[OrderedChange] = []
        for change in self._queued.get(client, []):
            if self._may_start(change, still_queued, now):
                self._in_flight.setdefault(client, []).append(change)
                started.append(change.ticket)
            else:
                still_queued.append(change)
        if still_queued:
            self._queued[client] = still_queued
        else:
            self._queued.pop(client, None)
        return started
