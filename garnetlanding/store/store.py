"""The replicated map with its revisions and its log of changes. No wire format and no file.

The configured writer assigns revisions; every other instance holds a copy. There is no leader election:
while the writer is unreachable, followers keep using their copies, and nothing can be written.

Invariants:

* `epoch` identifies one incarnation of the writer. It increases with each start of the writer and never
  decreases in a copy. Revisions of different epochs cannot be compared.
* Within an epoch, `revision` is the number of changes made so far. Entry `n` takes a store from revision
  `n - 1` to `n`; a copy applies entries without gaps or repeats, so equal (epoch, revision) means equal
  values.
* The log holds the latest entries, without gaps and ending at `revision`. Its length is bounded, so
  `entries_since` may not reach back far enough.
* A value is JSON. Putting None deletes the key.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from garnetlanding.store.errors import LogGapError, ReadOnlyStoreError, WriterRejectedError


@dataclass(frozen=True, slots=True)
class Entry:
    """One change: the revision after it, the key, and the new value, or None if the key is deleted."""

    revision: int
    key: str
    value: Any


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All values of a store at one revision."""

    epoch: int
    revision: int
    values: dict[str, Any]


Observer = Callable[[Entry | None], None]
"""Called after each change with its entry, or with None after a snapshot has replaced all values."""


class Store:
    """The map at one instance: the writer's original, or a copy.

    `writer` is the configured writer's name, `writable` whether that is this instance, and `log_entries` the
    number of changes kept for followers that reconnect.
    """

    def __init__(self, writer: str, *, writable: bool, log_entries: int, epoch: int = 0) -> None:
        self.writer = writer
        self.writable = writable
        self.epoch = epoch
        self.revision = 0
        self.observers: list[Observer] = []
        self._values: dict[str, Any] = {}
        self._log: deque[Entry] = deque(maxlen=log_entries)

    # Reading

    def get(self, key: str, absent: Any = None) -> Any:
        """Return the key's value, or `absent` if it has none."""
        return self._values.get(key, absent)

    def with_prefix(self, prefix: str) -> dict[str, Any]:
        """Return the keys with this prefix and their values, in the order in which they were first put."""
        return {key: value for key, value in self._values.items() if key.startswith(prefix)}

    def snapshot(self) -> Snapshot:
        """Return a copy of the current values, which later changes do not affect."""
        return Snapshot(self.epoch, self.revision, dict(self._values))

    def entries_since(self, revision: int) -> list[Entry] | None:
        """Return the entries after a revision of this epoch.

        Return None if the log does not reach back to it, or if this store has not reached it yet.
        """
        first_logged = self._log[0].revision if self._log else self.revision + 1
        if revision > self.revision or revision + 1 < first_logged:
            return None
        return [entry for entry in self._log if entry.revision > revision]

    # Writing

    def put(self, key: str, value: Any) -> None:
        """Set a key, or delete it if `value` is None. Raises ReadOnlyStoreError on a copy.

        Setting a key to its current value has no effect and uses no revision.
        """
        if not self.writable:
            raise ReadOnlyStoreError(self.writer)
        if self._values.get(key) != value:
            self._append(Entry(self.revision + 1, key, value))

    # Replication

    def check_writer(self, name: str, epoch: int) -> None:
        """Check that a peer is the configured writer in the newest epoch. Raises WriterRejectedError."""
        if self.writable:
            raise WriterRejectedError.second_writer(name, epoch)
        if name != self.writer:
            raise WriterRejectedError.not_configured(name, epoch, self.writer)
        if epoch < self.epoch:
            raise WriterRejectedError.stale_epoch(name, epoch, self.epoch)

    def restore(self, snapshot: Snapshot) -> None:
        """Replace all values, the epoch and the revision by those of a snapshot, and clear the log."""
        self.epoch = snapshot.epoch
        self.revision = snapshot.revision
        self._values = dict(snapshot.values)
        self._log.clear()
        self._notify(None)

    def apply(self, epoch: int, entry: Entry) -> None:
        """Apply the writer's next change. Raises LogGapError, without an effect, for any other entry."""
        if epoch != self.epoch or entry.revision != self.revision + 1:
            raise LogGapError.out_of_order(epoch, entry.revision, self.epoch, self.revision)
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
        # Iterate over a copy: an observer may remove itself, as a follower's connection does at its end.
        for observer in list(self.observers):
            observer(entry)
