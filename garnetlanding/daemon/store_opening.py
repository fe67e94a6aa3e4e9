"""Opens the store, which holds the settings in force and the cached endpoint list."""

from __future__ import annotations

import time

from garnetlanding.config import Config
from garnetlanding.runtime.scheduler import Scheduler
from garnetlanding.store.cached_endpoints import SETTINGS_KEY
from garnetlanding.store.setup import StoreRole
from garnetlanding.store.store import Store


def open_store(config: Config, scheduler: Scheduler) -> Store:
    """Open the store and load its file, if it has one; a writable store gets the configuration's settings.

    Raises StoreFileError for a damaged file, and OSError for one that cannot be read or written.
    """
    setup = config.operator.store
    # Only followers read the log: without any, its entries would waste memory.
    log_entries = config.limits.store_log_entries if setup.role is StoreRole.WRITER else 0
    store = Store(setup.writer, writable=setup.role is not StoreRole.FOLLOWER, log_entries=log_entries)
    persister = None
    if setup.file:
        from garnetlanding.store.persister import StorePersister

        persister = StorePersister(scheduler, store, setup.file, config.limits.store_save_us)
    if store.writable:
        # Each incarnation of a writer gets a greater epoch, even if the file was lost.
        store.epoch = max(store.epoch + 1, time.time_ns() // 1_000_000)
        store.put(SETTINGS_KEY, config.raw_settings)
    if persister:
        persister.save()
    return store
