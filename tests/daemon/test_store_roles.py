"""A daemon as the store's writer and as a follower, and its restart from the stored endpoint list."""

from __future__ import annotations

import json
import pathlib

import pytest

from garnetlanding import config
from garnetlanding.daemon import Daemon
from garnetlanding.emulator.discovery import EmulatedEndpoint
from garnetlanding.store.cached_endpoints import ENDPOINT_PREFIX, SETTINGS_KEY
from garnetlanding.store.persister import load_snapshot
from garnetlanding.store.store import Entry, Snapshot
from tests.support.clock import MS, SECOND, T0
from tests.support.daemon import PLATFORM_CONFIG, PLATFORM_SETTINGS, SimulatedDaemon


def test_follower_applies_its_writers_settings_except_the_instance_number(
    caplog: pytest.LogCaptureFixture,
) -> None:
    instance = SimulatedDaemon({"store": {"role": "follower", "writer": "n0", "address": "127.0.0.1:9"}})
    writer_settings = PLATFORM_SETTINGS | {
        "Limits": PLATFORM_SETTINGS["Limits"] | {"MaxAttempts": 2},
        "Balancers": 3,
        "Me": 2,
    }
    instance.daemon.store.restore(Snapshot(5, 1, {SETTINGS_KEY: writer_settings}))
    assert instance.daemon.core.settings.max_attempts == 2
    assert (
        instance.daemon.core.settings.instance_id == 0
    ), "the writer's number does not apply to its followers"
    instance.daemon.store.apply(5, Entry(2, SETTINGS_KEY, {}))
    assert instance.daemon.core.settings.max_attempts == 2
    assert "settings rejected" in caplog.text


def test_restart_uses_the_newer_of_the_stored_and_the_configured_list(tmp_path: pathlib.Path) -> None:
    path = str(tmp_path / "store.json")
    operator = {"store": {"role": "alone", "file": path}}
    first = SimulatedDaemon(operator)
    first.discovery.publish(EmulatedEndpoint("b9", first.backend.address, 5))
    first.run(SECOND, 100 * MS)
    stored = load_snapshot(path)
    assert stored
    assert ENDPOINT_PREFIX + "b9" in stored.values
    second = Daemon(config.read(PLATFORM_CONFIG, operator), lambda: T0)
    assert second.core.endpoints.address_of("b9") is None, "the configured list is newer"
    older = PLATFORM_CONFIG | {"known": PLATFORM_CONFIG["known"] | {"generation": 1}}
    third = Daemon(config.read(older, operator), lambda: T0)
    assert third.core.endpoints.address_of("b9")
    assert third.store.epoch > stored.epoch


def test_follower_starts_with_the_stored_settings_of_its_writer(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "store.json"
    writer_settings = PLATFORM_SETTINGS | {"Limits": PLATFORM_SETTINGS["Limits"] | {"MaxAttempts": 2}}
    path.write_text(json.dumps({"epoch": 5, "revision": 1, "values": {"config/settings": writer_settings}}))
    operator = {"store": {"role": "follower", "writer": "n0", "address": "127.0.0.1:9", "file": str(path)}}
    assert Daemon(config.read(PLATFORM_CONFIG, operator), lambda: T0).core.settings.max_attempts == 2


def test_writer_sends_a_snapshot_to_followers_on_its_own_listener() -> None:
    instance = SimulatedDaemon({"store": {"role": "writer", "writer": "n1", "address": "127.0.0.1:0"}})
    lines = instance.client(1).send_bytes(b'{"follow": [0, -1]}\n').split(b"\n")
    assert json.loads(lines[0])["writer"][0] == "n1"
    assert "config/settings" in json.loads(lines[1])["snapshot"][1]
