"""A whole fleet on a fake clock: many decision modules, shared backends, one discovery of fixed capacity.

It complements the bench and does not replace it: backends serve one request after another, there is no
network time, and what counts are sums over instances that no single instance sees. The same seed gives the
same day.

The parts: `fleet_config` (what a day is made of), `fleet_load` (its requests), `fleet_faults` (what fails),
`fleet_instances`, `fleet_backends` and `fleet_discovery` (who takes part), `fleet_tally` (what it came to).
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
from garnetlanding.emulator.fleet_instances import DecisionModule, SimulatedInstance, Surroundings
from garnetlanding.emulator.fleet_load import schedule_load
from garnetlanding.emulator.fleet_tally import Tally

__all__ = ["SECOND", "Controller", "FleetConfig", "FleetFault", "FleetSimulation", "Tally", "play"]


def make_controller(settings: api.Settings, seed: int) -> DecisionModule:
    """Return an instance's Controller: this module's, which a test may put a recorder in place of."""
    return Controller(settings, seed)


class FleetSimulation:
    """One simulated day, to be run once.

    All draws of chance come from one generator, so the order in which the parts are set up
    belongs to the day.
    """

    def __init__(self, config: FleetConfig) -> None:
        self._config = config
        self._tally = Tally()
        self._clock = EventQueue()
        rng = random.Random(config.seed)
        backends = BackendPool(config, self._clock, rng, self._tally)
        discovery = SimulatedDiscovery(config, self._clock, backends, self._tally)
        surroundings = Surroundings(config, self._clock, backends, discovery, self._tally, make_controller)
        self._instances = [SimulatedInstance(number, surroundings) for number in range(config.instances)]
        endpoints_at_start = backends.endpoints()
        for instance in self._instances:
            instance.start(endpoints_at_start)
        schedule_load(config, self._clock, rng, self._tally, self._instances)
        FaultSchedule(config, self._clock, rng, backends, discovery, self._instances).schedule()

    def run(self) -> Tally:
        """Run the day until every request is past its deadline, and return its sums."""
        self._clock.run_until(self._config.length_us + WRITE.deadline_us + SECOND)
        self._tally.unanswered = sum(
            not request.is_answered for instance in self._instances for request in instance.requests.values()
        )
        return self._tally


def play(fault: str, instances: int, seed: int = 1, **changes: object) -> Tally:
    """Simulate one day with a fault (herd, zone or join); `changes` are other fields of its configuration."""
    config = FleetConfig(fault=FleetFault(fault), instances=instances, seed=seed)
    return FleetSimulation(replace(config, **changes)).run()  # type: ignore[arg-type]
