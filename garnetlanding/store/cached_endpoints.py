"""Keys of the store: the current settings, and the endpoint list as discovery sent it.

An instance starts with the cached endpoint list while discovery is unreachable. The keys are part of the
stored format:

* `config/settings`: the settings object, in the form of the platform's file;
* `list/generation`: the version that discovery gave the list;
* `list/servers/` and an endpoint's instanceId: its entry, in discovery's form.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from garnetlanding.store.store import Store

SETTINGS_KEY = "config/settings"
GENERATION_KEY = "list/generation"
ENDPOINT_PREFIX = "list/servers/"

DELETED = "DELETED"
"""The lifecycle, in a change to the list, of an endpoint that no longer exists."""

JsonObject = dict[str, Any]


@dataclass(frozen=True, slots=True)
class RawEntry:
    """One endpoint as discovery sent it, of which the store interprets no more than these attributes."""

    name: str
    is_deleted: bool
    json: JsonObject

    @classmethod
    def from_json(cls, entry: JsonObject) -> RawEntry:
        """Wrap an entry in discovery's form."""
        return cls(entry["instanceId"], entry["lifecycle"] == DELETED, entry)

    @property
    def key(self) -> str:
        """The entry's key in the store."""
        return ENDPOINT_PREFIX + self.name


@dataclass(frozen=True, slots=True)
class RawListing:
    """An endpoint list or changes to it, as discovery sent it."""

    generation: int
    is_complete: bool
    entries: tuple[RawEntry, ...]

    @classmethod
    def from_json(cls, listing: JsonObject) -> RawListing:
        """Wrap a list in discovery's form."""
        return cls(
            generation=listing.get("generation", 0),
            is_complete=bool(listing.get("reset")),
            entries=tuple(map(RawEntry.from_json, listing["instances"])),
        )


def cache_listing(store: Store, listing: JsonObject) -> None:
    """Store an endpoint list, or changes to it, in discovery's form.

    A follower's store is left unchanged: it receives the list from its writer.
    """
    if not store.writable:
        return
    received = RawListing.from_json(listing)
    entries = {entry.key: entry for entry in received.entries}
    if received.is_complete:
        for key in [key for key in store.with_prefix(ENDPOINT_PREFIX) if key not in entries]:
            store.put(key, None)
    for key, entry in entries.items():
        store.put(key, None if entry.is_deleted else entry.json)
    store.put(GENERATION_KEY, received.generation)


def cached_listing(store: Store) -> JsonObject:
    """Return the stored endpoint list, complete, in discovery's form."""
    return {
        "generation": store.get(GENERATION_KEY, 0),
        "reset": True,
        "instances": list(store.with_prefix(ENDPOINT_PREFIX).values()),
    }


def newest_listing(store: Store, configured: JsonObject) -> JsonObject:
    """Return the cached or the configured endpoint list, whichever is newer.

    The configured one is returned if the cached one has no entries.
    """
    cached = cached_listing(store)
    if cached["instances"] and cached["generation"] >= configured.get("generation", 0):
        return cached
    return configured
