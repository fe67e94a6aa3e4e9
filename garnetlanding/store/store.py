"""The map with its revisions and its log. Knows no wire and no file.

One configured writer counts the revisions; everyone else copies. Nobody is elected: while the writer is
away, followers go on with what they have, and nothing can be written.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any


class NotWriterError(Exception):
    """Only the writer's store takes writes."""


class LogGapError(Exception):
    """An entry does not follow on what is held: a new snapshot is needed."""


class StaleEpochError(Exception):
    """What claims to be the writer is not, or no longer."""


class StoreFileError(ValueError):
    """A file that is there and is not a store's."""


@dataclass(frozen=True, slots=True)
class Entry:
    revision: int
    key: str
    value: Any  # JSON; None: the key is deleted


@dataclass(frozen=True, slots=True)
class Snapshot:
    epoch: int
    revision: int
    values: dict[str, Any]


class Store:
    """`epoch` tells one life of the writer from the next; it only ever grows."""

    def __init__(self, writer: str, writable: bool, log_entries: int, epoch: int = 0) -> None:
        self.writer, self.writable, self.epoch = writer, writable, epoch
        self.revision = 0
        self._values: dict[str, Any] = {}
        self._log: deque[Entry] = deque(maxlen=log_entries)
        self.observers: list[Callable[[Entry | None], None]] = []  # None: everything may have changed

    # Reading

    def get(self, key: str, absent: Any = None) -> Any:
        return self._values.get(key, absent)

    def with_prefix(self, prefix: str) -> dict[str, Any]:
        return {k: v for k, v in self._values.items() if k.startswith(prefix)}

    def snapshot(self) -> Snapshot:
        return Snapshot(self.epoch, self.revision, dict(self._values))

    def entries_since(self, revision: int) -> list[Entry] | None:
        """The entries after a revision; None where the log no longer, or never, reached it."""
        first = self._log[0].revision if self._log else self.revision + 1
        if revision > self.revision or revision + 1 < first:
            return None
        return [e for e in self._log if e.revision > revision]

    # Writing

    def put(self, key: str, value: Any) -> None:
        """None deletes. Writing what is there already is no change and takes no revision."""
        if not self.writable:
            raise NotWriterError(f"{self.writer} is the writer")
        if self._values.get(key) != value:
            self._add(Entry(self.revision + 1, key, value))

    # Copying

    def accept_writer(self, name: str, epoch: int) -> None:
        """Checks who speaks before anything is taken from it."""
        if self.writable:
            raise StaleEpochError(f"{name} claims to be the writer, which is this store")
        if name != self.writer:
            raise StaleEpochError(f"{name} is not the configured writer {self.writer}")
        if epoch < self.epoch:
            raise StaleEpochError(f"epoch {epoch} of {name} has been followed by {self.epoch}")

    def restore(self, snapshot: Snapshot) -> None:
        self.epoch, self.revision = snapshot.epoch, snapshot.revision
        self._values = dict(snapshot.values)
        self._log.clear()
        self._tell(None)

    def apply(self, epoch: int, entry: Entry) -> None:
        if epoch != self.epoch or entry.revision != self.revision + 1:
            raise LogGapError(
                f"entry {entry.revision} of epoch {epoch} after {self.revision} of {self.epoch}"
            )
        self._add(entry)

    def _add(self, entry: Entry) -> None:
        self.revision = entry.revision
        if entry.value is None:
            self._values.pop(entry.key, None)
        else:
            self._values[entry.key] = entry.value
        self._log.append(entry)
        self._tell(entry)

    def _tell(self, entry: Entry | None) -> None:
        for watcher in list(self.observers):
            watcher(entry)
