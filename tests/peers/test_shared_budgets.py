"""Budgets that all instances share: simulations, seeded bugs, and demand and spending."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from garnetlanding.decision import interface as api
from garnetlanding.decision.control import Controller
from garnetlanding.emulator.budget_simulation import BudgetScenario, BudgetSimulation
from garnetlanding.peers.demand import Demand
from garnetlanding.peers.leases import Leases
from garnetlanding.peers.limits import SECOND
from garnetlanding.peers.name_tag import name_tag
from garnetlanding.peers.shared_budgets import SharedBudgets
from tests.support.clock import T0
from tests.support.decision_bench import up_endpoint
from tests.support.membership import LIMITS, SHARED_BUDGET_SETTINGS

SCENARIOS = {
    "three instances": BudgetScenario(),
    "eight instances": BudgetScenario(instances=8),
    "half of the messages lost": BudgetScenario(loss=0.5),
    "many faults": BudgetScenario(faults=12),
    "delayed messages": BudgetScenario(instances=4, late_us=2 * SECOND, faults=8),
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_all_instances_spend_no_more_than_the_budget_within_any_window(name: str) -> None:
    for seed in range(8):
        result = BudgetSimulation(replace(SCENARIOS[name], seed=seed)).run()
        assert result.max_sum <= 1 + 1e-9, f"seed {seed}: {result.max_sum} at {result.max_sum_at} us"


def test_single_busy_instance_can_spend_most_of_the_budget() -> None:
    calm = BudgetScenario(calm=True, other_demand=0.0, shift_us=60 * SECOND, length_us=20 * SECOND)
    assert BudgetSimulation(calm).run().utilization > 0.75


def reclaim_without_window(self: Leases) -> int:
    return int(self.limits.lease_us * (1 + self.limits.max_clock_drift))


def nothing_locked(_self: Demand, _now: int, _longest_us: int) -> float:
    return 0.0


@pytest.mark.parametrize(
    ("target", "name", "replacement"),
    [
        pytest.param(
            Leases,
            "_reclaim_after_us",
            property(reclaim_without_window),
            id="grants do not outlast the window",
        ),
        pytest.param(Demand, "locked_quota", nothing_locked, id="spent units are granted"),
    ],
)
def test_seeded_bug_in_budgets_is_found_by_simulation(
    target: object, name: str, replacement: Callable[..., Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(target, name, replacement)
    scenarios = [BudgetScenario(shift_us=SECOND), BudgetScenario(window_us=6 * SECOND, shift_us=2 * SECOND)]
    assert any(
        BudgetSimulation(replace(scenarios[seed % 2], seed=seed)).run().max_sum > 1 + 1e-9
        for seed in range(60)
    )


def test_budgets_are_requested_by_events_and_spent_by_actions() -> None:
    budgets = SharedBudgets(LIMITS, SHARED_BUDGET_SETTINGS, 1, T0)
    endpoint = replace(up_endpoint("n0", 0), started_us=T0 - SECOND)
    arrival = api.Arrival("r1", "read", "gold", "v", "k", 2, 0, T0 + SECOND, 1)
    budgets.observe_events(
        T0,
        [
            api.EndpointListUpdate((endpoint, up_endpoint("n1", 1)), complete=True),
            arrival,
            replace(arrival, request="r2", cell=1),
        ],
        SHARED_BUDGET_SETTINGS,
        3,
    )
    assert budgets.refresh_quotas(T0, 3) == {
        "cold:n0": 0.0
    }, "a started instance waits until the window of its earlier incarnation has passed"
    later = T0 + 4 * SECOND
    budgets.observe_events(later, [arrival], SHARED_BUDGET_SETTINGS, 3)
    assert budgets.refresh_quotas(later, 3) == pytest.approx({"cold:n0": 1.0})
    assert budgets.refresh_quotas(later, 3) is None
    budgets.observe_actions(
        later, [api.Send("r1", "n0"), api.Send("r2", "n1"), api.Reject("r2")], SHARED_BUDGET_SETTINGS
    )
    demand = budgets.leases.demands.by_tag[name_tag("cold:n0")]
    window_us = budgets.leases.budget_window_us
    assert window_us is not None
    assert demand.locked_quota(later, window_us) == pytest.approx(2 / 30)
    budgets.observe_events(
        later,
        [api.EndpointListFailure(), api.EndpointListUpdate((up_endpoint("n0", 0),))],
        SHARED_BUDGET_SETTINGS,
        3,
    )
    budgets.observe_actions(later, [api.Subscribe()], SHARED_BUDGET_SETTINGS)
    quotas = budgets.refresh_quotas(later, 3)
    assert quotas
    assert quotas[api.POLL_BUDGET] >= LIMITS.min_endpoint_poll_fraction
    assert "r1" in budgets._warmup_units
    budgets.observe_events(later, [api.ClientLeft("r1")], SHARED_BUDGET_SETTINGS, 3)
    assert not budgets._warmup_units, "the client of the request has left"
    budgets.observe_events(later, [replace(arrival, request="r3")], SHARED_BUDGET_SETTINGS, 3)
    assert "r3" not in budgets._warmup_units, "the backend has warmed up"


def test_decision_module_limits_requests_to_a_warming_backend_by_the_quota() -> None:
    sent: dict[float, int] = {}
    for quota in (0.0, 1.0, 3.0):
        module = Controller(replace(SHARED_BUDGET_SETTINGS, overload_multiple=0.0), 1)
        endpoint = replace(up_endpoint("n0", 0), started_us=T0)
        arrivals: list[api.Event] = [
            api.Arrival(f"r{i}", "read", "gold", "v", "k", 2, 0, T0 + SECOND, 1) for i in range(40)
        ]
        updates: list[api.Event] = [
            api.EndpointListUpdate((endpoint,), complete=True, at_start=True),
            api.QuotaUpdate({}, {"cold:n0": quota}),
        ]
        actions = module.handle(T0, updates + arrivals)
        sent[quota] = sum(isinstance(action, api.Send) for action in actions)
    assert sent[0.0] == 0
    assert 0 < sent[1.0] <= sent[3.0]
