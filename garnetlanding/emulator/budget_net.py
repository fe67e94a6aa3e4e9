"""Budgets of a window on the simulated clocks and network of lease_net.py.

Each instance spends what its share allows as soon as it is requested. What all instances spent within any
window is added up.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from garnetlanding.emulator.lease_net import SECOND, RunResult, Scenario, Simulation
from garnetlanding.peers import codec
from garnetlanding.peers.leases import Leases

BUDGET = 40.0  # units within a window
NAME = "cold:n0"
BUDGET_TAG = codec.tag(NAME)
ROUNDING_SLACK = 1e-9


@dataclass(frozen=True, slots=True)
class BudgetScenario(Scenario):
    """Every instance is one of the budget's hosts."""

    window_us: int = 2 * SECOND


class BudgetSimulation(Simulation):
    """One run of a scenario.

    In the result, `greatest_sum` is the greatest share of the budget that was spent within any window, and
    `usable` the mean of what was spent.
    """

    def __init__(self, scenario: BudgetScenario) -> None:
        self.window_us = scenario.window_us
        self._spent_at: deque[int] = deque()  # when each unit was spent, within the last window
        self._most_spent = 0
        self._sum = 0.0
        super().__init__(scenario)

    def _make_leases(self, number: int, started_at: int) -> Leases:
        return Leases(self.limits, self._next_identity(number), started_at, window_us=self.window_us)

    def run(self) -> RunResult:
        """Run the scenario to its end."""
        super().run()
        self.result.greatest_sum = self._most_spent / BUDGET
        self.result.usable = self._sum / (self.scenario.length_us / self.scenario.step_us) / BUDGET
        return self.result

    def _take_turn(self, number: int) -> None:
        instance = self.instances[number]
        now = instance.clock(self.now)
        leases = instance.leases
        self._receive(instance, now)
        is_requested = self.rng.random() < self._rate(number) * self.scenario.step_us / SECOND
        if is_requested:
            limit = BUDGET * SECOND / self.window_us
            leases.record_demand(NAME, self.scenario.instances, limit, 1, now, self.window_us)
        payloads = self._compose_if_due(instance, now)
        leases.changed_shares(now)
        if is_requested:
            self._spend(leases, now)
        for receiver, payload in payloads.items():
            self._send(number, receiver, payload)

    def _busiest(self) -> int:
        return self.now // self.scenario.shift_us % self.scenario.instances

    def _rate(self, number: int) -> float:
        """Return the units a second that are requested at an instance."""
        demand = 2 if number == self._busiest() else self.scenario.other_demand
        return BUDGET / (self.window_us / SECOND) * demand

    def _spend(self, leases: Leases, now: int) -> None:
        """Spend a unit as the decision module does: where its share of the window is not used up."""
        demand = leases.demands[BUDGET_TAG]
        assert demand.spent
        after = demand.spent.total(now - self.window_us) + 1
        if after <= leases.usable_share(BUDGET_TAG, now) * BUDGET + ROUNDING_SLACK:
            leases.record_spent(NAME, 1, now)
            self._spent_at.append(self.now)

    def _add_up(self) -> None:
        # Clocks drift apart: a window is shorter by so much to the one that is slowest.
        window_us = self.window_us * (1 - 2 * self.scenario.drift)
        while self._spent_at and self._spent_at[0] <= self.now - window_us:
            self._spent_at.popleft()
        total = len(self._spent_at)
        self._sum += total / self.scenario.instances
        if total > self._most_spent:
            self._most_spent = total
            self.result.greatest_sum_at = self.now
