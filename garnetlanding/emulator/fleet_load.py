"""The load of a simulated fleet: volumes whose requests arrive at random, drawn before the run."""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from functools import partial

from garnetlanding.decision import interface as api
from garnetlanding.emulator.fleet_clock import EventQueue
from garnetlanding.emulator.fleet_config import PLANS, READ, SECOND, WRITE, FleetConfig
from garnetlanding.emulator.fleet_instances import SimulatedInstance
from garnetlanding.emulator.fleet_totals import FleetTotals

UNITS = (1, 1, 2, 3, 4)  # of a request, each as likely
MEAN_UNITS = 2.2
WRITE_SHARE = 0.3
MAX_HOSTS = 3  # instances that a volume's clients use
MAX_CELLS = 3  # that a volume has data in


@dataclass(frozen=True, slots=True)
class Volume:
    """A volume with its plan, the numbers of the instances that its clients use, and its cells."""

    name: str
    plan: api.PlanSpec
    hosts: list[int]
    cells: list[int]


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """A request that a client will send."""

    volume: Volume
    at_us: int
    instance: int
    units: int
    cell: int | None  # None for a write, whose cell the instance chooses

    @property
    def is_write(self) -> bool:
        """Whether the request is a write."""
        return self.cell is None


def planned_requests(config: FleetConfig, rng: random.Random) -> Iterator[PlannedRequest]:
    """Yield the requests of the run, volume by volume."""
    for number in range(config.backends * config.volumes_per_backend):
        plan = PLANS[rng.choice(sorted(PLANS))]
        hosts = rng.sample(range(config.instances), min(config.instances, rng.randint(1, MAX_HOSTS)))
        cells = rng.sample(range(config.backends), rng.randint(1, MAX_CELLS))
        yield from _requests_of(Volume(f"v{number}", plan, hosts, cells), config, rng)


def _requests_of(volume: Volume, config: FleetConfig, rng: random.Random) -> Iterator[PlannedRequest]:
    at_us = 0.0
    while True:
        units = rng.choice(UNITS)
        at_us += rng.expovariate(volume.plan.usual_rate * config.load / MEAN_UNITS) * SECOND
        if at_us >= config.length_us:
            return
        is_write = rng.random() < WRITE_SHARE
        cell = None if is_write else rng.choice(volume.cells)
        yield PlannedRequest(volume, int(at_us), rng.choice(volume.hosts), units, cell)


def schedule_load(
    config: FleetConfig,
    clock: EventQueue,
    rng: random.Random,
    totals: FleetTotals,
    instances: Sequence[SimulatedInstance],
) -> None:
    """Draw the run's requests and schedule their arrival."""
    for planned in planned_requests(config, rng):
        arrive = partial(_arrive, planned, clock, totals, instances[planned.instance])
        clock.schedule(planned.at_us, arrive)


def _arrive(
    planned: PlannedRequest, clock: EventQueue, totals: FleetTotals, instance: SimulatedInstance
) -> None:
    """Send a request. One to a stopped instance is lost, but its value counts as requested."""
    volume = planned.volume
    request_class = WRITE if planned.is_write else READ
    value = request_class.priority_weight * volume.plan.priority_weight_factor * planned.units
    totals.requested_value += value
    if not instance.is_running:
        return
    arrival = api.Arrival(
        f"r{clock.next_number()}",
        request_class.name,
        volume.plan.name,
        volume.name,
        "",
        planned.units,
        planned.cell,
        clock.now + request_class.deadline_us,
        len(volume.hosts),
        is_write=planned.is_write,
    )
    instance.accept(arrival, value)
