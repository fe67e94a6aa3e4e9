"""The store's optional file: one JSON object, replaced whole, so that a crash leaves the old or the new."""

from __future__ import annotations

import json
import logging
from typing import Any

from garnetlanding.runtime.files import replace_whole
from garnetlanding.runtime.scheduler import Scheduler
from garnetlanding.store.store import Entry, Snapshot, Store, StoreFileError

log = logging.getLogger(__name__)


def load(path: str) -> Snapshot | None:
    try:
        with open(path, encoding="utf-8") as file:
            data: Any = json.load(file)
    except FileNotFoundError:
        return None
    except (OSError, ValueError) as problem:
        raise StoreFileError(f"{path}: {problem}") from None
    match data:
        case {"epoch": int() as epoch, "revision": int() as revision, "values": dict() as values}:
            return Snapshot(epoch, revision, values)
    raise StoreFileError(f"{path}: not a store's file")


def save(path: str, snapshot: Snapshot) -> None:
    text = json.dumps({"epoch": snapshot.epoch, "revision": snapshot.revision, "values": snapshot.values})
    replace_whole(path, text.encode())


class StorePersister:
    """Starts a store from its file, and writes it out a moment after it has changed."""

    def __init__(self, scheduler: Scheduler, store: Store, path: str, pause_us: int) -> None:
        self._scheduler, self._store, self._path, self._pause_us = scheduler, store, path, pause_us
        self._planned = False
        kept = load(path)
        if kept:
            store.restore(kept)
        store.observers.append(self._changed)

    def _changed(self, _: Entry | None) -> None:
        if not self._planned:
            self._planned = True
            self._scheduler.call_at(self._scheduler.now + self._pause_us, self.save)

    def save(self) -> None:
        self._planned = False
        try:
            save(self._path, self._store.snapshot())
        except OSError as problem:
            # The head can serve without its file; it says so, and tries again with the next change.
            log.error("store not saved", extra={"kv": {"path": self._path, "why": problem}})
