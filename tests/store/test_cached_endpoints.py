"""The endpoint list cached in the store, and the list that an instance starts with."""

from __future__ import annotations

from garnetlanding.store.cached_endpoints import (
    ENDPOINT_PREFIX,
    cache_listing,
    cached_listing,
    newest_listing,
)
from garnetlanding.store.store import Store


def test_cached_listing_follows_changes_and_the_newest_listing_wins() -> None:
    store = Store("w", writable=True, log_entries=50)
    one, two = ({"instanceId": n, "lifecycle": "SERVING"} for n in ("one", "two"))
    cache_listing(store, {"generation": 5, "reset": True, "instances": [one, two]})
    cache_listing(store, {"generation": 6, "reset": False, "instances": [one | {"lifecycle": "DELETED"}]})
    assert cached_listing(store) == {"generation": 6, "reset": True, "instances": [two]}
    assert newest_listing(store, {"generation": 7}) == {"generation": 7}
    assert newest_listing(store, {"generation": 5})["generation"] == 6
    cache_listing(store, {"generation": 8, "reset": True, "instances": [one]})
    assert list(store.with_prefix(ENDPOINT_PREFIX)) == [ENDPOINT_PREFIX + "one"]


def test_a_follower_leaves_the_cached_listing_to_its_writer() -> None:
    copy = Store("w", writable=False, log_entries=50)
    entry = {"instanceId": "one", "lifecycle": "SERVING"}
    cache_listing(copy, {"generation": 5, "reset": True, "instances": [entry]})
    assert cached_listing(copy) == {"generation": 0, "reset": True, "instances": []}


def test_an_empty_cached_listing_never_replaces_the_configured_one() -> None:
    store = Store("w", writable=True, log_entries=50)
    cache_listing(store, {"generation": 9, "reset": True, "instances": []})
    assert newest_listing(store, {"generation": 5}) == {"generation": 5}
