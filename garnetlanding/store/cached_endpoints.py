"""What an instance keeps in its store: the settings in force and the endpoint list as discovery wrote it.

The endpoint list is what an instance starts with while discovery is unreachable. The keys are stored data:

* `config/settings`: the settings object, as the platform's file has it;
* `list/generation`: the number that discovery gave the list;
* `list/servers/` and an endpoint's instanceId: its entry, in discovery's form.
"""

from __future__ import annotations

from typing import Any

from garnetlanding.store.store import Store

SETTINGS = "config/settings"
GENERATION = "list/generation"
ENDPOINT_PREFIX = "list/servers/"


def cache_listing(store: Store, listing: dict[str, Any]) -> None:
    """Store a complete list, or changes to it, in discovery's form. A copy gets them from its writer."""
    if not store.writable:
        return
    entries = {ENDPOINT_PREFIX + entry["instanceId"]: entry for entry in listing["instances"]}
    if listing.get("reset"):
        for key in [key for key in store.with_prefix(ENDPOINT_PREFIX) if key not in entries]:
            store.put(key, None)
    for key, entry in entries.items():
        store.put(key, None if entry["lifecycle"] == "DELETED" else entry)
    store.put(GENERATION, listing.get("generation", 0))


def cached_listing(store: Store) -> dict[str, Any]:
    """Return the stored list, complete, in discovery's form."""
    return {
        "generation": store.get(GENERATION, 0),
        "reset": True,
        "instances": list(store.with_prefix(ENDPOINT_PREFIX).values()),
    }


def newest_listing(store: Store, configured: dict[str, Any]) -> dict[str, Any]:
    """Return the stored list or the configured one, whichever discovery wrote last; an empty one loses."""
    cached = cached_listing(store)
    if cached["instances"] and cached["generation"] >= configured.get("generation", 0):
        return cached
    return configured
