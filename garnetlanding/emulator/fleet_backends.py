"""The backends of a simulated fleet, which serve one request after another, slower during warm-up."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field

from garnetlanding.decision import interface as api
from garnetlanding.emulator.fleet_clock import EventQueue
from garnetlanding.emulator.fleet_config import SECOND, FleetConfig
from garnetlanding.emulator.fleet_totals import FleetTotals

ZONE = "z"


@dataclass(slots=True, eq=False)
class SimulatedBackend:
    """One process of a backend. A restart creates another object, under the same or another name."""

    name: str
    cell: int
    started_us: int = 0  # 0: started before the run, and warm
    is_up: bool = True
    is_draining: bool = False
    is_unresponsive: bool = False
    free_at_us: int = 0
    queued: int = 0
    clients: set[int] = field(default_factory=set)  # numbers of the instances with a connection
    window: deque[tuple[int, float]] = field(default_factory=deque)  # time and units of each attempt
    window_units: float = 0.0

    def endpoint(self, *, is_gone: bool = False) -> api.Endpoint:
        """Return its entry in the endpoint list."""
        state = api.EndpointState.UP
        if is_gone:
            state = api.EndpointState.GONE
        elif self.is_draining:
            state = api.EndpointState.DRAINING
        return api.Endpoint(self.name, self.cell, ZONE, state, self.started_us)

    def become_unresponsive(self) -> None:
        """Accept work from now on and never respond."""
        self.is_unresponsive = True


@dataclass(frozen=True, slots=True)
class Response:
    """A backend's response to an attempt; `at_us` is None if the backend never responds."""

    outcome: api.Outcome
    at_us: int | None


class BackendPool:
    """All backends of the fleet, by name, with their queues."""

    def __init__(
        self, config: FleetConfig, clock: EventQueue, rng: random.Random, totals: FleetTotals
    ) -> None:
        self._config = config
        self._clock = clock
        self._rng = rng
        self._totals = totals
        names = [(f"b{cell}", cell) for cell in range(config.backends)]
        self.by_name = {name: SimulatedBackend(name, cell) for name, cell in names}

    def start(self, name: str, cell: int) -> SimulatedBackend:
        """Start a cold backend now, in place of any with the same name."""
        backend = SimulatedBackend(name, cell, started_us=self._clock.now)
        self.by_name[name] = backend
        return backend

    def endpoints(self) -> tuple[api.Endpoint, ...]:
        """Return the endpoint list: all backends that are up."""
        return tuple(backend.endpoint() for backend in self.by_name.values() if backend.is_up)

    def submit(self, instance: int, name: str, units: float) -> Response:
        """Send an attempt to a backend, over the instance's connection or a new one."""
        now = self._clock.now
        backend = self.by_name[name]
        is_connected = instance in backend.clients
        has_free_connection = len(backend.clients) < self._config.connection_limit
        if not backend.is_up or not (is_connected or has_free_connection):
            return Response(api.Outcome.UNREACHABLE, now)
        self._totals.handshakes += not is_connected
        backend.clients.add(instance)
        self._count_warmup_load(backend, units)
        if backend.is_draining or backend.queued >= self._config.queue_limit:
            response = Response(api.Outcome.FULL, now)
        else:
            response = Response(api.Outcome.SERVED, self._enqueue(backend, units))
        if backend.is_unresponsive:
            return Response(response.outcome, None)
        return response

    def _enqueue(self, backend: SimulatedBackend, units: float) -> int:
        """Queue an attempt and return when it will be finished."""
        backend.queued += 1
        self._totals.max_queue = max(self._totals.max_queue, backend.queued)
        spread = self._rng.expovariate(1.0)
        service_us = int(units / self._config.service_rate / self._warm_fraction(backend) * SECOND * spread)
        backend.free_at_us = max(backend.free_at_us, self._clock.now) + service_us

        def finish() -> None:
            backend.queued -= 1

        self._clock.schedule(backend.free_at_us, finish)
        return backend.free_at_us

    def _warm_fraction(self, backend: SimulatedBackend) -> float:
        """Return its service rate as a fraction of its rate when warm."""
        config = self._config
        warmed = 1.0
        if backend.started_us:
            warmed = min(1.0, (self._clock.now - backend.started_us) / config.warmup_us)
        return config.warmup_initial_fraction + (1 - config.warmup_initial_fraction) * warmed

    def _count_warmup_load(self, backend: SimulatedBackend, units: float) -> None:
        """Record the load of a backend in warm-up within the window, relative to its limit."""
        config = self._config
        now = self._clock.now
        if not backend.started_us or now >= backend.started_us + config.warmup_us:
            return
        backend.window.append((now, units))
        backend.window_units += units
        while backend.window[0][0] <= now - config.overload_window_us:
            _, expired_units = backend.window.popleft()
            backend.window_units -= expired_units
        warm_fraction = self._warm_fraction(backend)
        allowed = max(
            config.warmup_units,
            config.overload_multiple
            * warm_fraction
            * config.service_rate
            * config.overload_window_us
            / SECOND,
        )
        self._totals.max_warmup_load = max(self._totals.max_warmup_load, backend.window_units / allowed)
