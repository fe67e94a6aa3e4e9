"""The store's optional file, from which a restarted instance restores its store.

The file is one JSON object, `{"epoch": int, "revision": int, "values": {key: value, ...}}`, on one line
without a line end. It is replaced atomically, so that a crash at any moment leaves the old or the new one.
The log of changes is not saved: after a restart of the writer its followers get snapshots.
"""

from __future__ import annotations

import json
import logging
from typing import Any

from garnetlanding.runtime.files import write_atomically
from garnetlanding.runtime.scheduler import Scheduler
from garnetlanding.store.errors import StoreFileError
from garnetlanding.store.store import Entry, Snapshot, Store

log = logging.getLogger(__name__)


def load_snapshot(path: str) -> Snapshot | None:
    """Read a store's file; return None if there is none. Raises StoreFileError for an unusable file."""
    try:
        # `Path.open` would normalize the path, which an OSError shows to the operator who wrote it.
        with open(path, encoding="utf-8") as file:  # noqa: PTH123
            data: Any = json.load(file)
    except FileNotFoundError:
        return None
    except (OSError, ValueError) as problem:
        raise StoreFileError(path, problem) from problem
    match data:
        case {"epoch": int() as epoch, "revision": int() as revision, "values": dict() as values}:
            return Snapshot(epoch, revision, values)
    raise StoreFileError(path, "not a store's file")


def save_snapshot(path: str, snapshot: Snapshot) -> None:
    """Write a snapshot to the file, atomically and durably. Raises OSError, and then keeps the old file."""
    text = json.dumps({"epoch": snapshot.epoch, "revision": snapshot.revision, "values": snapshot.values})
    write_atomically(path, text.encode())


class StorePersister:
    """Restores a store from its file on construction, and saves it shortly after each change.

    Changes within `save_delay_us` of the first one are saved together. Only the constructor raises
    StoreFileError.
    """

    def __init__(self, scheduler: Scheduler, store: Store, path: str, save_delay_us: int) -> None:
        self._scheduler = scheduler
        self._store = store
        self._path = path
        self._save_delay_us = save_delay_us
        self._save_scheduled = False
        saved = load_snapshot(path)
        if saved:
            store.restore(saved)
        store.observers.append(self._schedule_save)

    def save(self) -> None:
        """Save the store now. A failure is logged; the next change tries again."""
        self._save_scheduled = False
        try:
            save_snapshot(self._path, self._store.snapshot())
        except OSError as problem:
            # An instance can serve without its file, so a full disk must not stop it.
            reason = {"path": self._path, "why": problem}
            log.error("store not saved", extra={"kv": reason})  # noqa: TRY400 - no traceback for operators

    def _schedule_save(self, _: Entry | None) -> None:
        if not self._save_scheduled:
            self._save_scheduled = True
            self._scheduler.call_at(self._scheduler.now + self._save_delay_us, self.save)
