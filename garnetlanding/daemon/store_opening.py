"""Opening of the store, which has the settings in force and the cached endpoints."""

from __future__ import annotations

import time

from garnetlanding.config import Config
from garnetlanding.runtime.scheduler import Scheduler
from garnetlanding.store.cached_endpoints import SETTINGS
from garnetlanding.store.setup import StoreRole
from garnetlanding.store.store import Store


def open_store(config: Config, scheduler: Scheduler) -> Store:
    """Open the store, from its file where it has one; a writer puts the configuration's settings into it.

    Raises StoreFileError for a file that is damaged, OSError for one that cannot be read or written.
    """
    setup = config.operator.store
    # Only followers read the log: without any it would hold on to lists long replaced.
    log_entries = config.limits.store_log_entries if setup.role is StoreRole.WRITER else 0
    store = Store(setup.writer, setup.role is not StoreRole.FOLLOWER, log_entries)
    persister = None
    if setup.file:
        from garnetlanding.store.persister import StorePersister

        persister = StorePersister(scheduler, store, setup.file, config.limits.store_save_us)
    if store.writable:
        # Each incarnation of the writer has a greater epoch, also when its file is lost.
        store.epoch = max(store.epoch + 1, time.time_ns() // 1_000_000)
        store.put(SETTINGS, config.raw_settings)
    if persister:
        persister.save()
    return store
