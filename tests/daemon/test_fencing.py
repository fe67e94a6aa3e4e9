"""The fencing of a daemon: its effects in addition to the engine's rejection of requests."""

from __future__ import annotations

import pytest

from tests.support.daemon import SETTINGS_WITH_PEERS, SimulatedDaemon


def test_fenced_instance_suspends_its_use_of_shared_quotas_until_it_is_unfenced(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    instance = SimulatedDaemon(
        {"fleet": {}}, settings=SETTINGS_WITH_PEERS, peer_listen="127.0.0.1:0", peers=["127.0.0.1:9"] * 2
    )
    coordinator = instance.daemon.assembly.peer_link.coordinator
    assert coordinator
    calls: list[set[object]] = []
    monkeypatch.setattr(
        coordinator, "set_suspended", lambda *args, **kwargs: calls.append({*args, *kwargs.values()})
    )
    fence = instance.daemon.core.fence
    for fenced in (True, False):
        fence.is_fenced = fenced
        fence.notify()
    now = instance.daemon.scheduler.now
    assert calls == [{True, now}, {False, now}]
    instance.daemon.scheduler.close()
