"""Simulates the decision modules of several instances in front of backends, some of which fail for a time.

The instances run on one simulated clock and network; the same seed gives the same run. The attempts at failed
backends are recorded, so that runs with and without gossip about backends can be compared.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from garnetlanding.decision import interface as api
from garnetlanding.decision.control import Controller
from garnetlanding.decision.interface import Outcome
from garnetlanding.peers.coordinator import PeerCoordinator, PeerSubsystems
from garnetlanding.peers.failure_detector import FailureDetector
from garnetlanding.peers.limits import PeerLimits

MS = 1_000
SECOND = 1_000_000
READ = api.ClassSpec("read", 2.0, 0.2, 200 * MS, SECOND, api.Effect.SAFE)
PLAN = api.PlanSpec("plan", 1.0, 40.0, 40.0)
AFTER_FAILURE_US = 10 * SECOND  # the period from the failure in which requests are counted separately


class Failure(Enum):
    """How a backend fails."""

    UNRESPONSIVE = "silent"
    REFUSING = "refuses"


@dataclass(frozen=True, slots=True)
class Scenario:
    """The parameters of a run. Times are microseconds."""

    seed: int = 1
    instances: int = 4
    backends: int = 8
    gossip: bool = True
    failure: Failure = Failure.UNRESPONSIVE
    failing: int = 1  # backends, the first ones
    rate: float = 60.0  # requests a second for each backend, over all instances
    serve_us: int = 15 * MS
    fails_at: int = 6 * SECOND
    recovers_at: int = 14 * SECOND
    length_us: int = 20 * SECOND
    loss: float = 0.02  # of the messages between instances
    delay_us: int = 10 * MS  # of messages between instances; at most twice that

    def has_failed(self, backend: str, now: int) -> bool:
        """Return whether a backend has failed and not recovered yet."""
        return int(backend[1:]) < self.failing and self.fails_at <= now < self.recovers_at


@dataclass(frozen=True, slots=True)
class Attempt:
    """An attempt at a failed backend."""

    at: int
    instance: int


@dataclass(slots=True)
class RequestCounts:
    """Requests within `AFTER_FAILURE_US` after the failure."""

    requested: int = 0
    served: int = 0


@dataclass(slots=True)
class RunResult:
    """The result of a run."""

    attempts: list[Attempt] = field(default_factory=list)  # at backends that have failed
    # At the first failing backend, by instance, within the last second before the failure.
    attempts_before_failure: Counter[int] = field(default_factory=Counter)
    served: int = 0
    requested: int = 0
    bytes: int = 0  # of messages between instances
    suspected: set[tuple[int, str]] = field(default_factory=set)  # instance and backend, before the failure
    after_failure: RequestCounts = field(default_factory=RequestCounts)


@dataclass(frozen=True, slots=True, order=True)
class Delivery:
    """An event to be delivered to an instance; deliveries are ordered by time."""

    at: int
    sequence: int
    instance: int = field(compare=False)
    event: api.Event = field(compare=False)


def settings(scenario: Scenario, instance_id: int) -> api.Settings:
    """Return the settings of one instance's decision module."""
    return api.Settings(
        instances=scenario.instances,
        instance_id=instance_id,
        tick_us=MS,
        classes={"read": READ},
        plans={"plan": PLAN},
        poll_endpoints=False,
        max_attempts=2,
        parallel_attempts=False,
        may_cancel=True,
        may_check_health=False,
        honors_retry_after=True,
        max_retry_after_us=SECOND,
        warmup_initial_fraction=0.2,
        warmup_us=0,
        warmup_units=10.0,
        overload_multiple=2.0,
        overload_window_us=2 * SECOND,
        ordered_key_pause_us=SECOND,
        retry_budget_ratio=0.0,
        retry_budget_floor=0.0,
        retry_budget_window_us=0,
        over_quota_value_fraction=0.4,
        idle_value_fraction=0.08,
        max_units=8.0,
        may_message_peers=True,
    )


class Simulation:
    """One run of a scenario."""

    def __init__(self, scenario: Scenario, limits: PeerLimits | None = None) -> None:
        self.scenario = scenario
        self.rng = random.Random(scenario.seed)
        self.result = RunResult()
        self._deliveries: list[Delivery] = []
        self._sequence = 0
        self._attempts: Counter[tuple[int, str]] = Counter()  # by instance and request
        limits = limits or PeerLimits()
        self.instances = [self._make_instance(number, limits) for number in range(scenario.instances)]
        self._list_backends()
        self._draw_requests()

    def _make_instance(self, number: int, limits: PeerLimits) -> PeerCoordinator:
        return PeerCoordinator(
            Controller(settings(self.scenario, number), number),
            incarnation=1,
            limits=limits,
            subsystems=PeerSubsystems(FailureDetector(limits) if self.scenario.gossip else None),
        )

    def _list_backends(self) -> None:
        entries = tuple(
            api.Endpoint(f"n{number}", number, "z", api.EndpointState.UP)
            for number in range(self.scenario.backends)
        )
        for number in range(self.scenario.instances):
            self._deliver(0, number, api.EndpointListUpdate(entries, complete=True, at_start=True))

    def _draw_requests(self) -> None:
        scenario = self.scenario
        at = 0.0
        number = 0
        while True:
            at += self.rng.expovariate(scenario.rate * scenario.backends) * SECOND
            if at >= scenario.length_us:
                return
            number += 1
            instance = self.rng.randrange(scenario.instances)
            cell = self.rng.randrange(scenario.backends)
            deadline = int(at) + READ.deadline_us
            arrival = api.Arrival(
                f"r{number}", "read", "plan", "v", "", 1.0, cell, deadline, scenario.instances
            )
            self._deliver(int(at), instance, arrival)

    def _deliver(self, at: int, instance: int, event: api.Event) -> None:
        self._sequence += 1
        heapq.heappush(self._deliveries, Delivery(at, self._sequence, instance, event))

    def run(self) -> RunResult:
        """Run the scenario to its end."""
        while self._deliveries:
            delivery = heapq.heappop(self._deliveries)
            if delivery.at > self.scenario.length_us:
                break
            self._count(delivery)
            instance = self.instances[delivery.instance]
            for action in instance.handle(delivery.at, [delivery.event]):
                self._act(delivery.at, delivery.instance, action)
            detector = instance.subsystems.detector
            if detector and delivery.at < self.scenario.fails_at:
                suspected = detector.suspicions.suspected(delivery.at, detector.observations)
                self.result.suspected |= {(delivery.instance, backend) for backend in suspected}
        return self.result

    def _count(self, delivery: Delivery) -> None:
        event = delivery.event
        is_request = isinstance(event, api.Arrival)
        is_served = isinstance(event, api.Result) and event.outcome is Outcome.SERVED
        self.result.requested += is_request
        self.result.served += is_served
        if 0 <= delivery.at - self.scenario.fails_at < AFTER_FAILURE_US:
            self.result.after_failure.requested += is_request
            self.result.after_failure.served += is_served

    def _act(self, now: int, instance: int, action: api.Action) -> None:
        match action:
            case api.WakeAfter(span_us=span_us, token=token):
                self._deliver(now + max(1, span_us), instance, api.TimerFired(token))
            case api.Send():
                self._send_request(now, instance, action)
            case api.SendPeerMessage(payload=payload, recipient=int() as receiver):
                self.result.bytes += len(payload)
                if self.rng.random() >= self.scenario.loss:
                    delay_us = self.rng.randrange(self.scenario.delay_us // 5, 2 * self.scenario.delay_us)
                    self._deliver(now + delay_us, receiver, api.PeerMessage(instance, payload))

    def _send_request(self, now: int, instance: int, attempt: api.Send) -> None:
        scenario = self.scenario
        number = self._attempts[instance, attempt.request]
        self._attempts[instance, attempt.request] += 1
        has_failed = scenario.has_failed(attempt.backend, now)
        if attempt.backend == "n0" and scenario.fails_at - SECOND <= now < scenario.fails_at:
            self.result.attempts_before_failure[instance] += 1
        if has_failed:
            self.result.attempts.append(Attempt(now, instance))
        duration_us = int(scenario.serve_us * self.rng.uniform(0.5, 2))
        outcome = Outcome.SERVED
        if has_failed and scenario.failure is Failure.UNRESPONSIVE:
            duration_us = READ.deadline_us
            outcome = Outcome.TIMEOUT
        elif has_failed:
            duration_us = MS
            outcome = Outcome.UNREACHABLE
        is_over = outcome is Outcome.SERVED
        result = api.Result(attempt.request, number, attempt.backend, outcome, duration_us, answered=is_over)
        self._deliver(now + duration_us, instance, result)


def time_to_avoidance_us(
    scenario: Scenario, result: RunResult, fraction: float = 0.1, window_us: int = 500 * MS
) -> int:
    """Return how long after the failure all instances avoided the backend, in microseconds.

    This is the last time when they sent it at least `fraction` of its usual requests within a window.
    """
    usual = result.attempts_before_failure.total() * window_us / SECOND
    times = [attempt.at - scenario.fails_at for attempt in result.attempts]
    last = 0
    for index, when in enumerate(times):
        window = times[index : index + int(usual) + 1]
        if sum(other < when + window_us for other in window) >= fraction * usual:
            last = when
    return last
