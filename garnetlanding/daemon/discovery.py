"""The subscription to the endpoint list: started from the newest list that is cached, moved by a reload."""

from __future__ import annotations

import time
from collections.abc import Callable

from garnetlanding.config import Config
from garnetlanding.daemon.instance import Instance
from garnetlanding.daemon.lifecycle import Subsystem
from garnetlanding.discovery.listing import read_list
from garnetlanding.discovery.watch import Watch, WatchCallbacks, WatchRuntime
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.store.cached_endpoints import cache_listing, newest_listing


class DiscoveryWatch(Subsystem):
    """Owns the watch of the discovery service; it runs from the composition of the instance on."""

    name = "discovery"

    def __init__(self, instance: Instance, clock: Callable[[], int]) -> None:
        self._instance = instance
        limits = instance.limits
        core = instance.core
        store = instance.store
        # One offset for good: were it read anew, a server's start time would seem to move.
        offset_us = time.time_ns() // 1000 - clock()
        cached = newest_listing(store, instance.config.known)
        cache_listing(store, cached)
        version, listing = read_list(cached, lambda us: us - offset_us, complete=True, at_start=True)
        # Buffers of its own: clients and servers may have all others.
        own = BufferPool(limits.buffer_bytes, limits.discovery_buffers, limits.discovery_buffers)
        callbacks = WatchCallbacks(
            core.update_endpoints,
            core.endpoint_update_failed,
            lambda data: cache_listing(store, data),
            lambda: not core.settings.poll_endpoints,
        )
        runtime = WatchRuntime(instance.scheduler, own, limits, lambda us: us - offset_us)
        self.watch = Watch(runtime, callbacks, instance.config.discovery, version)
        core.subscriptions = self.watch
        core.update_endpoints(listing)
        self.watch.keep_open()

    def reload(self, previous: Config) -> None:
        """Move the watch to a new address at once, and not when the decision module asks next.

        What the new discovery has counts as known soon.
        """
        address = self._instance.config.discovery
        if address != previous.discovery:
            self.watch.switch_to(address)
