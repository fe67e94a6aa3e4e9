"""What the head keeps in its store: its settings, and the list of servers as discovery wrote it."""

from __future__ import annotations

from typing import Any

from garnetlanding.store.store import Store

SETTINGS, GENERATION, SERVERS = "config/settings", "list/generation", "list/servers/"


def cache_listing(store: Store, data: dict[str, Any]) -> None:
    """A whole list or changes, in discovery's form. A follower's store has them from its writer."""
    if not store.writable:
        return
    entries = {SERVERS + e["instanceId"]: e for e in data["instances"]}
    if data.get("reset"):
        for key in [k for k in store.with_prefix(SERVERS) if k not in entries]:
            store.put(key, None)
    for key, entry in entries.items():
        store.put(key, None if entry["lifecycle"] == "DELETED" else entry)
    store.put(GENERATION, data.get("generation", 0))


def cached_listing(store: Store) -> dict[str, Any]:
    return {
        "generation": store.get(GENERATION, 0),
        "reset": True,
        "instances": list(store.with_prefix(SERVERS).values()),
    }


def newest_listing(store: Store, given: dict[str, Any]) -> dict[str, Any]:
    """Of the store's list and the one that the configuration gives, the one that discovery wrote last."""
    kept = cached_listing(store)
    newer = kept["instances"] and kept["generation"] >= given.get("generation", 0)
    return kept if newer else given
