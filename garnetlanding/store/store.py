"""The replicated map with its revisions and its log. Knows no wire and no file.

One configured writer counts the revisions; every other instance holds a copy. No leader is elected: while
the writer is unreachable, followers go on with what they hold, and nothing can be written.

Invariants:

* `epoch` identifies one incarnation of the writer. It grows with each start of the writer and never falls in
  a copy. Revisions of different epochs cannot be compared.
* Within an epoch, `revision` is the number of changes made so far. Entry `n` takes a store from revision
  `n - 1` to `n`; a copy applies entries without gaps or repeats, so equal (epoch, revision) means equal
  values.
* The log holds the latest entries, without gaps and ending at `revision`. It may be shorter than the
  history; `entries_since` says where it no longer reaches.
* A value is JSON. None is no value: it deletes the key.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from garnetlanding.store.errors import LogGapError, NotWriterError, StaleEpochError


@dataclass(frozen=True, slots=True)
class Entry:
    """One change: the revision that it leads to, the key, and the new value, or None where it deletes."""

    revision: int
    key: str
    value: Any


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Everything that a store holds at one revision."""

    epoch: int
    revision: int
    values: dict[str, Any]


Observer = Callable[[Entry | None], None]
"""Called after each change with its entry, or with None when everything may have changed at once."""


class Store:
    """The map at one instance: the writer's original, or a copy.

    `writer` is the configured writer's name, `writable` whether that is this instance, and `log_entries` how
    many changes are remembered for followers that resume.
    """

    def __init__(self, writer: str, writable: bool, log_entries: int, epoch: int = 0) -> None:
        self.writer = writer
        self.writable = writable
        self.epoch = epoch
        self.revision = 0
        self.observers: list[Observer] = []
        self._values: dict[str, Any] = {}
        self._log: deque[Entry] = deque(maxlen=log_entries)

    # Reading

    def get(self, key: str, absent: Any = None) -> Any:
        """Return the key's value, or `absent` where it has none."""
        return self._values.get(key, absent)

    def with_prefix(self, prefix: str) -> dict[str, Any]:
        """Return the keys that begin so, with their values, in the order in which they were first put."""
        return {key: value for key, value in self._values.items() if key.startswith(prefix)}

    def snapshot(self) -> Snapshot:
        """Return what is held now. Later changes do not reach the snapshot's map."""
        return Snapshot(self.epoch, self.revision, dict(self._values))

    def entries_since(self, revision: int) -> list[Entry] | None:
        """Return the entries after a revision of this epoch.

        None where the log no longer reaches back to it, or the revision has not been reached here.
        """
        first_logged = self._log[0].revision if self._log else self.revision + 1
        if revision > self.revision or revision + 1 < first_logged:
            return None
        return [entry for entry in self._log if entry.revision > revision]

    # Writing

    def put(self, key: str, value: Any) -> None:
        """Set a key, or delete it where `value` is None. Raises NotWriterError on a copy.

        Setting the value that is held already is no change and takes no revision.
        """
        if not self.writable:
            raise NotWriterError(self.writer)
        if self._values.get(key) != value:
            self._append(Entry(self.revision + 1, key, value))

    # Copying

    def accept_writer(self, name: str, epoch: int) -> None:
        """Check who a peer claims to be, before anything is copied from it. Raises StaleEpochError."""
        if self.writable:
            raise StaleEpochError(f"{name} claims to be the writer, which is this store", name, epoch)
        if name != self.writer:
            raise StaleEpochError(f"{name} is not the configured writer {self.writer}", name, epoch)
        if epoch < self.epoch:
            raise StaleEpochError(f"epoch {epoch} of {name} has been followed by {self.epoch}", name, epoch)

    def restore(self, snapshot: Snapshot) -> None:
        """Replace everything by a snapshot, with its epoch and revision. The log starts empty."""
        self.epoch = snapshot.epoch
        self.revision = snapshot.revision
        self._values = dict(snapshot.values)
        self._log.clear()
        self._notify(None)

    def apply(self, epoch: int, entry: Entry) -> None:
        """Apply the writer's next change. Raises LogGapError for any other, and leaves the copy as it is."""
        if epoch != self.epoch or entry.revision != self.revision + 1:
            raise LogGapError(
                f"entry {entry.revision} of epoch {epoch} after {self.revision} of {self.epoch}",
                epoch,
                entry.revision,
            )
        self._append(entry)

    def _append(self, entry: Entry) -> None:
        self.revision = entry.revision
        if entry.value is None:
            self._values.pop(entry.key, None)
        else:
            self._values[entry.key] = entry.value
        self._log.append(entry)
        self._notify(entry)

    def _notify(self, entry: Entry | None) -> None:
        # A copy of the list: an observer may remove itself, as a follower's connection does at its end.
        for observer in list(self.observers):
            observer(entry)
