"""Discovery of a simulated fleet, which answers calls one by one and sends changes to watching instances."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from functools import partial

from garnetlanding.decision import interface as api
from garnetlanding.emulator.fleet_backends import BackendPool
from garnetlanding.emulator.fleet_clock import EventQueue
from garnetlanding.emulator.fleet_config import SECOND, FleetConfig, FleetFault
from garnetlanding.emulator.fleet_instances import SimulatedInstance
from garnetlanding.emulator.fleet_totals import FleetTotals


@dataclass(frozen=True, slots=True)
class ListCall:
    """An instance's call for the whole list."""

    called_at_us: int
    instance: SimulatedInstance
    incarnation: int


class SimulatedDiscovery:
    """A discovery of limited capacity. Each answered call starts a watch, which lasts until `end_watches`."""

    def __init__(
        self, config: FleetConfig, clock: EventQueue, backends: BackendPool, totals: FleetTotals
    ) -> None:
        self._config = config
        self._clock = clock
        self._backends = backends
        self._totals = totals
        self._calls: deque[ListCall] = deque()
        self._is_busy = False
        self._calls_per_s = config.list_calls_per_s
        self._watching: dict[int, SimulatedInstance] = {}  # by number

    def call(self, instance: SimulatedInstance) -> None:
        """Queue a call for the whole list."""
        self._calls.append(ListCall(self._clock.now, instance, instance.incarnation))
        if not self._is_busy:
            self._begin_next()

    def forget(self, instance: SimulatedInstance) -> None:
        """End the watch of an instance that has stopped."""
        self._watching.pop(instance.number, None)

    def publish(self, instances: Sequence[SimulatedInstance], *changed: api.Endpoint) -> None:
        """Send changed entries at once to watching instances; if lists are pushed, to all after a delay."""
        update = api.EndpointListUpdate(changed)
        if self._config.pushed_lists:
            at_us = self._clock.now + self._config.push_delay_us
            for instance in instances:
                self._clock.schedule(at_us, partial(instance.receive_in, instance.incarnation, update))
        for number in sorted(self._watching):
            self._watching[number].receive(update)

    def end_watches(self) -> None:
        """End every watch; under HERD discovery is also overloaded from then on and answers fewer calls."""
        if self._config.fault is FleetFault.HERD:
            self._calls_per_s = self._config.overloaded_list_calls_per_s
        ended = self._watching
        self._watching = {}
        for number in sorted(ended):
            ended[number].receive(api.EndpointListFailure())

    def _begin_next(self) -> None:
        self._is_busy = bool(self._calls)
        if self._is_busy:
            self._clock.schedule(self._clock.now + int(SECOND / self._calls_per_s), self._finish_call)

    def _finish_call(self) -> None:
        call = self._calls.popleft()
        instance = call.instance
        has_timed_out = self._clock.now - call.called_at_us > self._config.list_call_timeout_us
        if self._is_unavailable() or has_timed_out:
            self._totals.list_calls_failed += 1
            kind = api.FailureKind.OVERLOADED if has_timed_out else api.FailureKind.ERROR
            instance.receive_in(call.incarnation, api.EndpointListFailure(kind))
        elif instance.incarnation == call.incarnation:
            self._watching[instance.number] = instance
            instance.receive(api.EndpointListUpdate(self._backends.endpoints(), complete=True))
        self._begin_next()

    def _is_unavailable(self) -> bool:
        begins_us = self._config.fault_at_us
        return begins_us <= self._clock.now < begins_us + self._config.discovery_outage_us
