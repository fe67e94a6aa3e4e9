"""Simulates budgets that instances share within a time window, on the network of lease_simulation.py.

Each instance spends units on request as far as its quota allows. The units that all instances spent within
any window are added up.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from garnetlanding.emulator.lease_simulation import SECOND, RunResult, Scenario, Simulation
from garnetlanding.peers.leases import Leases
from garnetlanding.peers.name_tag import name_tag

BUDGET = 40.0  # units within a window
NAME = "cold:n0"
BUDGET_TAG = name_tag(NAME)
ROUNDING_SLACK = 1e-9


@dataclass(frozen=True, slots=True)
class BudgetScenario(Scenario):
    """The parameters of a run in which every instance is a host of the budget."""

    window_us: int = 2 * SECOND


class BudgetSimulation(Simulation):
    """One run of a scenario.

    In the result, `max_sum` is the greatest fraction of the budget that was spent within any window, and
    `utilization` the mean fraction.
    """

    def __init__(self, scenario: BudgetScenario) -> None:
        self.window_us = scenario.window_us
        self._spent_at: deque[int] = deque()  # when each unit was spent, within the last window
        self._most_spent = 0
        self._sum = 0.0
        super().__init__(scenario)

    def _make_leases(self, number: int, started_at: int) -> Leases:
        return Leases(self.limits, self._next_identity(number), started_at, budget_window_us=self.window_us)

    def run(self) -> RunResult:
        """Run the scenario to its end."""
        super().run()
        self.result.max_sum = self._most_spent / BUDGET
        self.result.utilization = self._sum / (self.scenario.length_us / self.scenario.step_us) / BUDGET
        return self.result

    def _run_iteration(self, number: int) -> None:
        instance = self.instances[number]
        now = instance.clock(self.now)
        leases = instance.leases
        self._receive(instance, now)
        is_requested = self.rng.random() < self._rate(number) * self.scenario.step_us / SECOND
        if is_requested:
            limit = BUDGET * SECOND / self.window_us
            leases.record_demand(NAME, self.scenario.instances, limit, 1, now, self.window_us)
        payloads = self._compose_if_due(instance, now)
        leases.refresh_quotas(now)
        if is_requested:
            self._spend(leases, now)
        for receiver, payload in payloads.items():
            self._send(number, receiver, payload)

    def _busiest(self) -> int:
        return self.now // self.scenario.shift_us % self.scenario.instances

    def _rate(self, number: int) -> float:
        """Return how many units a second are requested at an instance."""
        demand = 2 if number == self._busiest() else self.scenario.other_demand
        return BUDGET / (self.window_us / SECOND) * demand

    def _spend(self, leases: Leases, now: int) -> None:
        """Spend a unit if the quota of the window allows it, as the decision module does."""
        demand = leases.demands.by_tag[BUDGET_TAG]
        assert demand.budget
        after = demand.budget.spent.total(now - self.window_us) + 1
        if after <= leases.usable_quota(BUDGET_TAG, now) * BUDGET + ROUNDING_SLACK:
            leases.demands.record_spent(NAME, 1, now)
            self._spent_at.append(self.now)

    def _record_quota_sum(self) -> None:
        # The slowest and the fastest clock differ by twice the drift in how long a window lasts.
        window_us = self.window_us * (1 - 2 * self.scenario.drift)
        while self._spent_at and self._spent_at[0] <= self.now - window_us:
            self._spent_at.popleft()
        total = len(self._spent_at)
        self._sum += total / self.scenario.instances
        if total > self._most_spent:
            self._most_spent = total
            self.result.max_sum_at = self.now
