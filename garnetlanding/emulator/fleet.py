"""Simulates a whole fleet: many decision modules, shared backends and one discovery of limited capacity.

It complements the benchmarks on real processes: backends serve one request after another, the network takes
no time, and the results are sums over all instances that no single instance sees. The same seed gives the
same run.

The parts: `fleet_config` (the parameters), `fleet_load` (the requests), `fleet_faults` (the faults),
`fleet_instances`, `fleet_backends` and `fleet_discovery` (the participants), `fleet_totals` (the results).
"""

from __future__ import annotations

import random
from dataclasses import replace

from garnetlanding.decision import interface as api
from garnetlanding.decision.control import Controller
from garnetlanding.emulator.fleet_backends import BackendPool
from garnetlanding.emulator.fleet_clock import EventQueue
from garnetlanding.emulator.fleet_config import SECOND, WRITE, FleetConfig, FleetFault
from garnetlanding.emulator.fleet_discovery import SimulatedDiscovery
from garnetlanding.emulator.fleet_faults import FaultSchedule
from garnetlanding.emulator.fleet_instances import DecisionModule, FleetContext, SimulatedInstance
from garnetlanding.emulator.fleet_load import schedule_load
from garnetlanding.emulator.fleet_totals import FleetTotals

__all__ = [
    "SECOND",
    "Controller",
    "FleetConfig",
    "FleetFault",
    "FleetSimulation",
    "FleetTotals",
    "simulate_fleet",
]


def make_controller(settings: api.Settings, seed: int) -> DecisionModule:
    """Return a Controller for an instance. Tests replace this module's `Controller` to record decisions."""
    return Controller(settings, seed)


class FleetSimulation:
    """One simulated run.

    All parts draw from one random generator, so the order in which they are set up affects the run.
    """

    def __init__(self, config: FleetConfig) -> None:
        self._config = config
        self._totals = FleetTotals()
        self._clock = EventQueue()
        rng = random.Random(config.seed)
        backends = BackendPool(config, self._clock, rng, self._totals)
        discovery = SimulatedDiscovery(config, self._clock, backends, self._totals)
        context = FleetContext(config, self._clock, backends, discovery, self._totals, make_controller)
        self._instances = [SimulatedInstance(number, context) for number in range(config.instances)]
        endpoints_at_start = backends.endpoints()
        for instance in self._instances:
            instance.start(endpoints_at_start)
        schedule_load(config, self._clock, rng, self._totals, self._instances)
        FaultSchedule(config, self._clock, rng, backends, discovery, self._instances).schedule()

    def run(self) -> FleetTotals:
        """Run until every request is past its deadline, and return the totals."""
        self._clock.run_until(self._config.length_us + WRITE.deadline_us + SECOND)
        self._totals.unanswered = sum(
            not request.is_answered for instance in self._instances for request in instance.requests.values()
        )
        return self._totals


def simulate_fleet(fault: str, instances: int, seed: int = 1, **changes: object) -> FleetTotals:
    """Simulate one run with a fault (herd, zone or join); `changes` are other fields of `FleetConfig`."""
    config = FleetConfig(fault=FleetFault(fault), instances=instances, seed=seed)
    return FleetSimulation(replace(config, **changes)).run()  # type: ignore[arg-type]
