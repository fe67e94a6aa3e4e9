"""The faults of a simulated fleet: draws before the run which processes fail, and schedules the failures."""

from __future__ import annotations

import random
from collections.abc import Sequence
from functools import partial

from garnetlanding.decision import interface as api
from garnetlanding.emulator.fleet_backends import BackendPool
from garnetlanding.emulator.fleet_clock import EventQueue
from garnetlanding.emulator.fleet_config import SECOND, FleetConfig, FleetFault
from garnetlanding.emulator.fleet_discovery import SimulatedDiscovery
from garnetlanding.emulator.fleet_instances import SimulatedInstance

KILLED_SHARE = 0.7  # of the instances, under HERD
WATCHES_END_BEFORE_US = 5 * SECOND  # the fault, under HERD
KILL_AFTER_US = 2 * SECOND  # the fault, under HERD
RESTART_AFTER_US = 4 * SECOND  # the fault, under HERD


class FaultSchedule:
    """Schedules the run's faults on the fleet's clock."""

    def __init__(
        self,
        config: FleetConfig,
        clock: EventQueue,
        rng: random.Random,
        backends: BackendPool,
        discovery: SimulatedDiscovery,
        instances: Sequence[SimulatedInstance],
    ) -> None:
        self._config = config
        self._clock = clock
        self._rng = rng
        self._backends = backends
        self._discovery = discovery
        self._instances = instances

    def schedule(self) -> None:
        """Draw which processes fail and schedule their failures."""
        config = self._config
        match config.fault:
            case FleetFault.HERD:
                self._schedule_herd()
            case FleetFault.ZONE:
                self._schedule_zone_loss()
            case FleetFault.JOIN:
                self._schedule_replacements()
        if config.discovery_outage_us:
            self._clock.schedule(config.fault_at_us, self._discovery.end_watches)
        backends = list(self._backends.by_name.values())
        for backend in self._rng.sample(backends, int(config.unresponsive_share * config.backends)):
            self._clock.schedule(config.fault_at_us, backend.become_unresponsive)

    def _schedule_herd(self) -> None:
        config = self._config
        endpoints_at_start = self._backends.endpoints()
        count = int(KILLED_SHARE * config.instances)
        killed = [self._instances[number] for number in self._rng.sample(range(config.instances), count)]

        def kill() -> None:
            for instance in killed:
                instance.kill()
                self._discovery.forget(instance)

        def restart() -> None:
            for instance in killed:
                instance.start(endpoints_at_start)

        self._clock.schedule(config.fault_at_us - WATCHES_END_BEFORE_US, self._discovery.end_watches)
        self._schedule_replacements()
        self._clock.schedule(config.fault_at_us + KILL_AFTER_US, kill)
        self._clock.schedule(config.fault_at_us + RESTART_AFTER_US, restart)

    def _schedule_zone_loss(self) -> None:
        config = self._config
        count = int(config.affected_share / 2 * config.backends)
        lost = [f"b{cell}" for cell in self._rng.sample(range(config.backends), count)]

        def stop_lost() -> None:
            for name in lost:
                self._backends.by_name[name].is_up = False

        def restart() -> None:
            for name in lost:
                backend = self._backends.start(name, self._backends.by_name[name].cell)
                self._publish(backend.endpoint())

        self._clock.schedule(config.fault_at_us, stop_lost)
        self._clock.schedule(config.fault_at_us + config.absence_us, restart)

    def _schedule_replacements(self) -> None:
        config = self._config
        count = int(config.affected_share * config.backends)
        cells = self._rng.sample(range(config.backends), count)
        for i, cell in enumerate(cells):
            at_us = config.fault_at_us + config.replacement_spread_us * i // len(cells)
            self._clock.schedule(at_us, partial(self._drain, f"b{cell}"))
            self._clock.schedule(
                at_us + config.absence_us, partial(self._replace, f"b{cell}", f"b{cell}-new")
            )

    def _drain(self, name: str) -> None:
        backend = self._backends.by_name[name]
        backend.is_draining = True
        self._publish(backend.endpoint())

    def _replace(self, old_name: str, new_name: str) -> None:
        old = self._backends.by_name[old_name]
        old.is_up = False
        new = self._backends.start(new_name, old.cell)
        self._publish(old.endpoint(is_gone=True), new.endpoint())

    def _publish(self, *changed: api.Endpoint) -> None:
        self._discovery.publish(self._instances, *changed)
