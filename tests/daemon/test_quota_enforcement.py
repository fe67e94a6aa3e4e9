"""The quota of a process that has a successor: applied to every limit before it is published."""

from __future__ import annotations

import pathlib
from collections.abc import Iterator
from dataclasses import replace

import pytest

from garnetlanding.ops.process_registry import ProcessRegistry
from tests.support.clock import MS
from tests.support.daemon import SimulatedDaemon


@pytest.fixture
def instance(tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[SimulatedDaemon]:
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path))
    instance = SimulatedDaemon(ops="127.0.0.1:0")
    yield instance
    instance.daemon.scheduler.close()


def quotas_in_force(instance: SimulatedDaemon) -> set[float]:
    components = instance.daemon.assembly.instance
    return {
        components.process.quota,
        components.listeners[0].capacity_quota,
        components.backends.capacity.quota,
        components.pool.budget.quota,
        components.core.capacity.quota,
        components.core.settings.process_quota,
    }


def test_quota_of_a_predecessor_is_applied_to_every_limit_and_to_the_settings(
    instance: SimulatedDaemon, tmp_path: pathlib.Path
) -> None:
    registry = instance.daemon.assembly.instance.process.registry
    assert registry
    assert quotas_in_force(instance) == {1.0}
    successor = ProcessRegistry(str(tmp_path), "n1")
    instance.run(2 * instance.daemon.limits.ops_poll_us, 10 * MS)
    assert quotas_in_force(instance) == {0.5}
    assert registry.record.quota == 0.5
    successor.close()
    instance.run(2 * instance.daemon.limits.ops_poll_us, 10 * MS)
    assert quotas_in_force(instance) == {1.0}
    assert registry.record.quota == 1.0


def test_lower_quota_is_in_force_before_it_is_published(
    instance: SimulatedDaemon, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    registry = instance.daemon.assembly.instance.process.registry
    assert registry
    published: list[tuple[float, set[float]]] = []  # each quota, and those in force at the time
    monkeypatch.setattr(
        registry, "publish", lambda quota: published.append((quota, quotas_in_force(instance)))
    )
    successor = ProcessRegistry(str(tmp_path), "n1")
    instance.run(2 * instance.daemon.limits.ops_poll_us, 10 * MS)
    successor.close()
    assert (0.5, {0.5}) in published
    assert all(in_force == {quota} for quota, in_force in published)


def test_idle_clients_beyond_half_of_the_limit_are_disconnected_for_a_successor(
    instance: SimulatedDaemon, tmp_path: pathlib.Path
) -> None:
    components = instance.daemon.assembly.instance
    clients = [instance.client() for _ in range(4)]
    limits = replace(components.config.limits, client_connections=4)
    components.config = replace(components.config, limits=limits)
    instance.run(2 * instance.daemon.limits.ops_poll_us, 10 * MS)
    assert [client.closed for client in clients] == [False] * 4
    successor = ProcessRegistry(str(tmp_path), "n1")
    instance.run(2 * instance.daemon.limits.ops_poll_us, 10 * MS)
    successor.close()
    assert sum(client.closed for client in clients) == 2
