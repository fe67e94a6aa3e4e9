"""The subscription to the endpoint list, which starts from the newest cached list."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from garnetlanding.config import Config
from garnetlanding.daemon.instance import Instance
from garnetlanding.daemon.lifecycle import Subsystem
from garnetlanding.discovery.listing import read_list
from garnetlanding.discovery.watch import Watch, WatchCallbacks, WatchRuntime
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.store.cached_endpoints import cache_listing, newest_listing


class DiscoveryWatch(Subsystem):
    """Owns the watch of the discovery service, which is opened at construction."""

    name = "discovery"

    def __init__(self, instance: Instance, clock: Callable[[], int]) -> None:
        self._instance = instance
        limits = instance.limits
        core = instance.core
        # Read once: if the offset varied, a backend's start time would appear to change.
        self._wall_offset_us = time.time_ns() // 1000 - clock()
        cached = newest_listing(instance.store, instance.config.configured_listing)
        self._cache(cached)
        version, listing = read_list(cached, self._to_monotonic_us, complete=True, at_start=True)
        # A separate pool, since clients and backends may exhaust the shared one.
        own_pool = BufferPool(limits.buffer_bytes, limits.discovery_buffers, limits.discovery_buffers)
        callbacks = WatchCallbacks(
            core.update_endpoints, core.endpoint_update_failed, self._cache, self._is_pushed
        )
        runtime = WatchRuntime(instance.scheduler, own_pool, limits, self._to_monotonic_us)
        self.watch = Watch(runtime, callbacks, instance.config.discovery, version)
        core.endpoint_subscription = self.watch
        core.update_endpoints(listing)
        self.watch.keep_open()

    def _to_monotonic_us(self, wall_us: int) -> int:
        return wall_us - self._wall_offset_us

    def _cache(self, listing: dict[str, Any]) -> None:
        cache_listing(self._instance.store, listing)

    def _is_pushed(self) -> bool:
        """Return whether discovery pushes endpoint lists, by the settings in force."""
        return not self._instance.core.settings.poll_endpoints

    def reload(self, previous: Config) -> None:
        """Switch to a new address at once, without waiting for the decision module's next poll."""
        address = self._instance.config.discovery
        if address != previous.discovery:
            self.watch.switch_to(address)
