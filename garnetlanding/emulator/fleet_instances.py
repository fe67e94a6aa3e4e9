"""The instances of a simulated fleet, each with a real Controller whose actions are carried out."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Protocol

from garnetlanding.decision import interface as api
from garnetlanding.emulator.fleet_backends import BackendPool
from garnetlanding.emulator.fleet_clock import EventQueue
from garnetlanding.emulator.fleet_config import READ, WRITE, FleetConfig, instance_settings
from garnetlanding.emulator.fleet_totals import FleetTotals


class DecisionModule(Protocol):
    """The part of a Controller that an instance uses."""

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        """Return the actions that follow from the events."""


class EndpointDiscovery(Protocol):
    """Discovery, as an instance sees it."""

    def call(self, instance: SimulatedInstance) -> None:
        """Ask for the whole endpoint list and for its changes from then on."""


@dataclass(frozen=True, slots=True)
class FleetContext:
    """What all instances of a fleet share."""

    config: FleetConfig
    clock: EventQueue
    backends: BackendPool
    discovery: EndpointDiscovery
    totals: FleetTotals
    make_controller: Callable[[api.Settings, int], DecisionModule]


@dataclass(slots=True, eq=False)
class SimulatedRequest:
    """A client's request at one instance."""

    arrival: api.Arrival
    arrived_at_us: int
    value: float  # if served within the latency objective
    in_flight: int | None = None  # the number of the attempt that is in flight
    attempts: int = 0
    is_answered: bool = False


class SimulatedInstance:
    """One instance, over all its incarnations. Events for an earlier incarnation are dropped."""

    def __init__(self, number: int, context: FleetContext) -> None:
        self.number = number
        self.incarnation = 0
        self.requests: dict[str, SimulatedRequest] = {}
        self._controller: DecisionModule | None = None
        self._context = context
        self._clock = context.clock
        self._totals = context.totals

    @property
    def is_running(self) -> bool:
        """Whether it has a process."""
        return self._controller is not None

    def start(self, cached_endpoints: tuple[api.Endpoint, ...]) -> None:
        """Start a new incarnation with a cached endpoint list."""
        config = self._context.config
        self.incarnation += 1
        self.requests = {}
        self._controller = self._context.make_controller(
            instance_settings(config, self.number),
            config.seed * 1000 + self.number * 10 + self.incarnation,
        )
        self.receive(api.EndpointListUpdate(cached_endpoints, complete=True, at_start=True))

    def kill(self) -> None:
        """End the process; its open requests are lost."""
        self._controller = None
        self.incarnation += 1
        self.requests = {}

    def accept(self, arrival: api.Arrival, value: float) -> None:
        """Take a client's request."""
        self.requests[arrival.request] = SimulatedRequest(arrival, self._clock.now, value)
        self.receive(arrival)

    def receive_in(self, incarnation: int, event: api.Event) -> None:
        """Pass an event to the Controller if that incarnation still runs."""
        if self.incarnation == incarnation:
            self.receive(event)

    def receive(self, event: api.Event) -> None:
        """Pass an event to the Controller and carry out its actions."""
        if self._controller is None:
            return
        for action in self._controller.handle(self._clock.now, [event]):
            self._carry_out(action)

    def _carry_out(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(action)
            case api.Reject() | api.Fail():
                self._answer(self.requests[action.request], value_share=0.0)
            case api.WakeAfter():
                fire = partial(self.receive_in, self.incarnation, api.TimerFired("look"))
                self._clock.schedule(self._clock.now + action.span_us, fire)
            case api.Subscribe():
                self._totals.list_calls += 1
                self._context.discovery.call(self)
            case api.Cancel():
                self._cancel(action)

    def _send(self, send: api.Send) -> None:
        request = self.requests[send.request]
        attempt = request.attempts
        request.in_flight = attempt
        request.attempts += 1
        response = self._context.backends.submit(self.number, send.backend, request.arrival.units)
        if response.at_us is not None:
            self._schedule_result(response.at_us, request, attempt, response.outcome)
        self._schedule_result(request.arrival.deadline_us, request, attempt, api.Outcome.TIMEOUT)

    def _cancel(self, cancel: api.Cancel) -> None:
        request = self.requests.get(cancel.request)
        if request and request.in_flight == cancel.attempt:
            request.in_flight = None
            self._schedule_result(self._clock.now, request, cancel.attempt, api.Outcome.CANCELLED)

    def _schedule_result(
        self, at_us: int, request: SimulatedRequest, attempt: int, outcome: api.Outcome
    ) -> None:
        incarnation = self.incarnation
        sent_at_us = self._clock.now

        def end() -> None:
            if self.incarnation == incarnation:
                self._end_attempt(request, attempt, outcome, self._clock.now - sent_at_us)

        self._clock.schedule(at_us, end)

    def _end_attempt(
        self, request: SimulatedRequest, attempt: int, outcome: api.Outcome, duration_us: int
    ) -> None:
        """Report an attempt's result, unless it was cancelled or has already ended."""
        if outcome is not api.Outcome.CANCELLED:
            if request.in_flight != attempt:
                return
            request.in_flight = None
        if outcome is api.Outcome.SERVED and not request.is_answered:
            self._answer(request, self._value_share(request))
        result = api.Result(request.arrival.request, attempt, "", outcome, duration_us, request.is_answered)
        self.receive(result)

    def _value_share(self, request: SimulatedRequest) -> float:
        """Return the share of its value that a request earns if it is answered now."""
        request_class = WRITE if request.arrival.is_write else READ
        if self._clock.now - request.arrived_at_us <= request_class.latency_objective_us:
            return 1.0
        return request_class.late_value_fraction

    def _answer(self, request: SimulatedRequest, value_share: float) -> None:
        self._totals.answered_twice += request.is_answered
        request.is_answered = True
        self._totals.earned_value += request.value * value_share
