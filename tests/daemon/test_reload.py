"""Reloading the configuration of a running daemon."""

from __future__ import annotations

import os
import signal
from typing import Any

import pytest

from garnetlanding.emulator.discovery import Discovery, EmulatedEndpoint
from garnetlanding.store.cached_endpoints import SETTINGS as SETTINGS_KEY
from tests.support.clock import MS, SECOND
from tests.support.daemon import PLATFORM_SETTINGS, SimulatedDaemon, restored_signal_handlers
from tests.support.simulated_instance import read_command


def test_reload_switches_to_the_new_discovery_at_once_while_requests_run_on() -> None:
    h = SimulatedDaemon()
    h.brick.scripted_responses = [None]
    client = h.client()
    client.say(read_command(d=1400))
    second = h.server(Discovery)
    second.endpoints = [
        EmulatedEndpoint("b0", h.brick.address, 0),
        EmulatedEndpoint("b1", h.brick.address, 1),
    ]
    # The environment still has the old address: it must not hide what the file newly says.
    h.file = h.file | {"discovery": second.address}
    h.daemon.reload()
    h.settle()
    assert second.calls == ["/v1/servers?follow=1&since=0"], "another's versions mean nothing here"
    assert not h.discovery.connections
    assert h.daemon.core.endpoints.address_of("b1")
    h.brick.release()
    h.settle()
    assert client.got == b"$0\r\n\r\n"
    assert not client.closed
    h.daemon.reload()
    h.settle()
    assert len(second.calls) == 1, "nothing new in the file: the watch goes on"


def test_reload_applies_new_settings_through_the_store() -> None:
    h = SimulatedDaemon()
    h.file = h.file | {
        "listen": "127.0.0.1:1",
        "settings": PLATFORM_SETTINGS | {"Classes": [PLATFORM_SETTINGS["Classes"][0] | {"Name": "scan"}]},
    }
    h.daemon.reload()
    h.settle()
    assert h.client().say(read_command(cls="scan")) == b"$0\r\n\r\n"
    assert h.client().say(read_command()) == b"-ERR unknown class\r\n"
    assert h.daemon.store.get(SETTINGS_KEY)["Classes"][0]["Name"] == "scan"


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"discovery": "nowhere"}, "key discovery"),
        ({"settings": {}}, "key settings"),
        ({"seed": "x"}, "key seed"),
    ],
    ids=["discovery", "settings", "seed"],
)
def test_reload_of_a_faulty_configuration_is_rejected_and_logged(
    change: dict[str, Any], key: str, caplog: pytest.LogCaptureFixture
) -> None:
    h = SimulatedDaemon()
    before, calls = h.daemon.config, len(h.discovery.calls)
    h.file = h.file | {"discovery": "127.0.0.1:9"} | change
    h.daemon.reload()
    h.settle()
    [record] = [r for r in caplog.records if "reload rejected" in r.message]
    assert key in str(record.__dict__["kv"]["why"])
    assert h.daemon.config is before
    assert len(h.discovery.calls) == calls
    assert h.client().say(read_command()) == b"$0\r\n\r\n"


def test_sigterm_ends_the_daemon_after_sighup_reloaded_it() -> None:
    """SIGHUP had no handler and ended the process; the signal pipe was read for the end alone."""
    with restored_signal_handlers():
        h = SimulatedDaemon()
        h.daemon.catch_signals()
        second = h.server(Discovery)
        h.file = h.file | {"discovery": second.address}
        os.kill(os.getpid(), signal.SIGHUP)
        h.settle()
        assert len(second.calls) == 1
        assert not h.daemon.scheduler._stopped
        os.kill(os.getpid(), signal.SIGHUP)
        os.kill(os.getpid(), signal.SIGTERM)
        h.run(SECOND, 50 * MS)
        assert h.daemon.scheduler._stopped
