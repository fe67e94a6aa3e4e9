"""The store's optional file, which lets a restarted instance go on with what it held.

The file is one JSON object, `{"epoch": int, "revision": int, "values": {key: value, ...}}`, on one line
without a line end. It is replaced as a whole, so that a crash at any moment leaves the old or the new one.
The log of changes is not stored: after a restart of the writer its followers get snapshots.
"""

from __future__ import annotations

import json
import logging
from typing import Any

from garnetlanding.runtime.files import replace_whole
from garnetlanding.runtime.scheduler import Scheduler
from garnetlanding.store.errors import StoreFileError
from garnetlanding.store.store import Entry, Snapshot, Store

log = logging.getLogger(__name__)


def load(path: str) -> Snapshot | None:
    """Read a store's file; None where there is none. Raises StoreFileError for one that cannot be used."""
    try:
        with open(path, encoding="utf-8") as file:
            data: Any = json.load(file)
    except FileNotFoundError:
        return None
    except (OSError, ValueError) as problem:
        raise StoreFileError(path, problem) from problem
    match data:
        case {"epoch": int() as epoch, "revision": int() as revision, "values": dict() as values}:
            return Snapshot(epoch, revision, values)
    raise StoreFileError(path, "not a store's file")


def save(path: str, snapshot: Snapshot) -> None:
    """Replace the file by one of this snapshot, durably. Raises OSError; the old file then stands."""
    text = json.dumps({"epoch": snapshot.epoch, "revision": snapshot.revision, "values": snapshot.values})
    replace_whole(path, text.encode())


class StorePersister:
    """Restores a store from its file, and writes it out a moment after each change.

    Changes within `save_delay_us` of the first go to the file together. Raises StoreFileError, at its
    construction only.
    """

    def __init__(self, scheduler: Scheduler, store: Store, path: str, save_delay_us: int) -> None:
        self._scheduler = scheduler
        self._store = store
        self._path = path
        self._save_delay_us = save_delay_us
        self._save_scheduled = False
        stored = load(path)
        if stored:
            store.restore(stored)
        store.observers.append(self._schedule_save)

    def save(self) -> None:
        """Write the file now. A failure is logged; the next change tries again."""
        self._save_scheduled = False
        try:
            save(self._path, self._store.snapshot())
        except OSError as problem:
            # An instance serves without its file too: it must not stop for a full disk.
            log.error("store not saved", extra={"kv": {"path": self._path, "why": problem}})

    def _schedule_save(self, _: Entry | None) -> None:
        if not self._save_scheduled:
            self._save_scheduled = True
            self._scheduler.call_at(self._scheduler.now + self._save_delay_us, self.save)
