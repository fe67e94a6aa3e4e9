"""The orders in which the subsystems of an instance start, reload and stop."""

from __future__ import annotations

import pathlib

import pytest

from garnetlanding.daemon.lifecycle import Subsystem
from tests.support.daemon import NINEP, SETTINGS_WITH_PEERS, SimulatedDaemon


def names(subsystems: tuple[Subsystem, ...]) -> list[str]:
    return [subsystem.name for subsystem in subsystems]


def test_all_subsystems_start_reload_and_stop_in_the_defined_orders(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path))
    operator = {
        "ninep": NINEP,
        "telemetry": {"endpoint": "http://127.0.0.1:9"},
        "history": {"file": str(tmp_path / "history")},
        "fleet": {"budgets": True, "server_connections": 4},
        "choices": {"subset": 2},
        "audit": {"folder": str(tmp_path / "audit")},
        "store": {"role": "follower", "writer": "n0", "address": "127.0.0.1:9", "current_s": 5},
    }
    instance = SimulatedDaemon(
        operator,
        settings=SETTINGS_WITH_PEERS,
        ops="127.0.0.1:0",
        peer_listen="127.0.0.1:0",
        peers=["127.0.0.1:9", "127.0.0.1:9"],
    )
    assembly = instance.daemon.assembly
    assert names(assembly.start_order) == [
        "history",
        "peer group",
        "shared connections",
        "settings",
        "audit",
        "backend subset",
        "RESP2 clients",
        "admin",
        "9P clients",
        "replication",
        "telemetry",
        "fencing",
        "peer link",
    ]
    assert names(assembly.reload_order) == ["settings", "peer link", "discovery"]
    assert names(assembly.stop_order) == ["admin", "telemetry", "peer link", "audit", "process registry"]
    instance.daemon.scheduler.close()


def test_received_disables_start_after_telemetry_without_an_admin_service() -> None:
    instance = SimulatedDaemon(
        {"fleet": {}, "telemetry": {"endpoint": "http://127.0.0.1:9"}},
        settings=SETTINGS_WITH_PEERS,
        peer_listen="127.0.0.1:0",
        peers=["127.0.0.1:9", "127.0.0.1:9"],
    )
    assert names(instance.daemon.assembly.start_order) == [
        "peer group",
        "RESP2 clients",
        "telemetry",
        "received disables",
        "fencing",
        "peer link",
    ]


def test_without_optional_subsystems_only_clients_and_peer_link_start() -> None:
    assembly = SimulatedDaemon().daemon.assembly
    assert names(assembly.start_order) == ["RESP2 clients", "peer link"]
    assert names(assembly.stop_order) == ["peer link", "process registry"]
