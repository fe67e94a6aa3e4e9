"""Reloading the configuration of a running daemon."""

from __future__ import annotations

import os
import signal
from typing import Any

import pytest

from garnetlanding.emulator.discovery import Discovery, EmulatedEndpoint
from garnetlanding.store.cached_endpoints import SETTINGS_KEY
from tests.support.clock import MS, SECOND
from tests.support.daemon import PLATFORM_SETTINGS, SimulatedDaemon, restored_signal_handlers
from tests.support.simulated_instance import read_command


def test_reload_switches_to_the_new_discovery_at_once_while_requests_continue() -> None:
    instance = SimulatedDaemon()
    instance.backend.scripted_responses = [None]
    client = instance.client()
    client.send_bytes(read_command(d=1400))
    new_discovery = instance.server(Discovery)
    new_discovery.endpoints = [
        EmulatedEndpoint("b0", instance.backend.address, 0),
        EmulatedEndpoint("b1", instance.backend.address, 1),
    ]
    # The environment variable still has the old address, which must not override the changed file.
    instance.platform_config = instance.platform_config | {"discovery": new_discovery.address}
    instance.daemon.reload()
    instance.settle()
    assert new_discovery.calls == [
        "/v1/servers?follow=1&since=0"
    ], "versions of the previous discovery are not used"
    assert not instance.discovery.connections
    assert instance.daemon.core.endpoints.address_of("b1")
    instance.backend.release()
    instance.settle()
    assert client.received == b"$0\r\n\r\n"
    assert not client.closed
    instance.daemon.reload()
    instance.settle()
    assert len(new_discovery.calls) == 1, "the watch continues, since the address is unchanged"


def test_reload_applies_new_settings_through_the_store() -> None:
    instance = SimulatedDaemon()
    instance.platform_config = instance.platform_config | {
        "listen": "127.0.0.1:1",
        "settings": PLATFORM_SETTINGS | {"Classes": [PLATFORM_SETTINGS["Classes"][0] | {"Name": "scan"}]},
    }
    instance.daemon.reload()
    instance.settle()
    assert instance.client().send_bytes(read_command(cls="scan")) == b"$0\r\n\r\n"
    assert instance.client().send_bytes(read_command()) == b"-ERR unknown class\r\n"
    assert instance.daemon.store.get(SETTINGS_KEY)["Classes"][0]["Name"] == "scan"


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"discovery": "nowhere"}, "key discovery"),
        ({"settings": {}}, "key settings"),
        ({"seed": "x"}, "key seed"),
    ],
    ids=["discovery", "settings", "seed"],
)
def test_reload_of_an_invalid_configuration_is_rejected_and_logged(
    change: dict[str, Any], key: str, caplog: pytest.LogCaptureFixture
) -> None:
    instance = SimulatedDaemon()
    before, calls = instance.daemon.config, len(instance.discovery.calls)
    instance.platform_config = instance.platform_config | {"discovery": "127.0.0.1:9"} | change
    instance.daemon.reload()
    instance.settle()
    [record] = [record for record in caplog.records if "reload rejected" in record.message]
    assert key in str(record.__dict__["kv"]["why"])
    assert instance.daemon.config is before
    assert len(instance.discovery.calls) == calls
    assert instance.client().send_bytes(read_command()) == b"$0\r\n\r\n"


def test_sigterm_ends_the_daemon_after_sighup_reloaded_it() -> None:
    """Without a handler SIGHUP kills the process; the signal pipe must be read for both signals."""
    with restored_signal_handlers():
        instance = SimulatedDaemon()
        instance.daemon.catch_signals()
        new_discovery = instance.server(Discovery)
        instance.platform_config = instance.platform_config | {"discovery": new_discovery.address}
        os.kill(os.getpid(), signal.SIGHUP)
        instance.settle()
        assert len(new_discovery.calls) == 1
        assert not instance.daemon.scheduler._stopped
        os.kill(os.getpid(), signal.SIGHUP)
        os.kill(os.getpid(), signal.SIGTERM)
        instance.run(SECOND, 50 * MS)
        assert instance.daemon.scheduler._stopped
