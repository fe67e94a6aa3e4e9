"""The subset tracker in an instance, its configuration section and retry budgets."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from garnetlanding import config
from garnetlanding.choices.setup import ChoicesSetup, read
from garnetlanding.choices.subset_tracker import SubsetTracker
from garnetlanding.emulator.backend import EmulatedBackend
from garnetlanding.emulator.discovery import EmulatedEndpoint
from tests.support import decision_bench
from tests.support.clock import SECOND
from tests.support.simulated_instance import LoopbackClient, SimulatedInstance, read_command


def test_the_subset_is_computed_only_when_its_inputs_change() -> None:
    tracker, zones = SubsetTracker(2), {f"s{i}": "a" for i in range(6)}
    first = tracker.update(1, range(4), zones)
    assert len(first) == 2
    assert tracker.update(1, [3, 2, 1, 0], dict(zones)) == first
    assert tracker.computations == 1
    assert len(tracker.update(1, range(4), zones | {"s9": "b"})) == 2
    assert tracker.computations == 2
    assert tracker.update(9, range(4), zones) == frozenset(), "an instance that its peers have excluded"


def test_idle_connections_outside_the_subset_are_closed() -> None:
    instance = SimulatedInstance()
    backends = [instance.server(EmulatedBackend), instance.server(EmulatedBackend)]
    instance.list_endpoints(
        EmulatedEndpoint("n0", backends[0].address, 0), EmulatedEndpoint("n1", backends[1].address, 1)
    )
    sweeper = instance.resp_upstream.sweeper
    sweeper.backend_subset, sweeper.outside_subset_idle_us = lambda: frozenset({"n1"}), SECOND
    peer = LoopbackClient(instance, instance.start_resp_listener().address)
    assert all(peer.send_bytes(read_command(f"r{cell}", cell=cell)).startswith(b"$") for cell in (0, 1))
    assert [len(backend.connections) for backend in backends] == [1, 1]
    instance.run(3 * SECOND)
    open_connections = [len(backend.connections) for backend in backends]
    assert open_connections == [0, 1], "the next request to n0 opens a new connection"
    assert peer.send_bytes(read_command("r2")).startswith(b"$")


@pytest.mark.parametrize(
    ("data", "key"),
    [
        pytest.param({"subset": 1.5}, "key choices.subset: expected a whole", id="subset-not-whole"),
        pytest.param({"subset": -1}, "key choices.subset", id="subset-negative"),
        pytest.param({"idle_s": 0}, "key choices.idle_s", id="idle-zero"),
        pytest.param({"resend_share": "x"}, "key choices.resend_share", id="share-not-a-number"),
        pytest.param({"turns": 1}, "key choices.turns: not known", id="unknown-key"),
    ],
)
def test_an_invalid_value_raises_an_error_that_names_its_key(data: dict[str, Any], key: str) -> None:
    with pytest.raises(config.ConfigError, match=key):
        read(data)


def test_the_operators_retry_budget_applies_if_the_settings_have_none() -> None:
    without_budget = decision_bench.make_settings()
    choices = ChoicesSetup(retry_budget_ratio=0.1, retry_budget_floor=3, retry_budget_window_us=5 * SECOND)
    settings = choices.with_retry_budget(without_budget)
    assert (settings.retry_budget_ratio, settings.retry_budget_floor, settings.retry_budget_window_us) == (
        0.1,
        3,
        5 * SECOND,
    )
    with_budget = replace(without_budget, retry_budget_ratio=0.5, retry_budget_window_us=SECOND)
    assert choices.with_retry_budget(with_budget) == with_budget
    assert ChoicesSetup().with_retry_budget(without_budget) == without_budget
