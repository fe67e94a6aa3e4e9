"""Simulates the leases of many instances on a faulty network, with clocks that drift apart.

Messages are lost, delayed, duplicated and reordered; links are cut; instances crash and stall. The same seed
gives the same run. At each step the quotas that the volume's hosts may use are added up, as the decision
module of each would use them if it sent at that moment.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from garnetlanding.peers import lease_message
from garnetlanding.peers.demand import Demand
from garnetlanding.peers.lease_message import LeaseMessage
from garnetlanding.peers.leases import Leases
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.name_tag import name_tag
from garnetlanding.peers.peer_contacts import InstanceIdentity

MS = 1_000
SECOND = 1_000_000
VOLUME = "v"
VOLUME_TAG = name_tag(VOLUME)
LIMIT = 40.0  # units a second
REQUEST_UNITS = 2
BUSIEST_DEMAND = 1.5  # of the limit
LATE_FRACTION = 0.1  # of the messages, which take up to `late_us`
FIRST_INCARNATION = 1000


@dataclass(frozen=True, slots=True)
class Scenario:
    """The parameters of a run. Times are microseconds."""

    seed: int = 1
    instances: int = 3
    hosts: int = 2  # of the volume: the instances with the lowest numbers
    length_us: int = 12 * SECOND
    step_us: int = 10 * MS
    loss: float = 0.1  # fraction of the messages
    duplicated: float = 0.05  # fraction of the messages
    delay_us: int = 30 * MS  # twice that at most; some messages take up to `late_us`
    late_us: int = 900 * MS
    drift: float = 0.005  # greatest deviation of a clock's rate
    other_demand: float = 0.1  # of the limit, requested at each host that is not the busiest
    shift_us: int = 3 * SECOND  # after which another host becomes the busiest
    faults: int = 4  # drawn at random
    calm: bool = False  # no fault, nothing lost or late


class FaultKind(StrEnum):
    """What goes wrong with an instance for a time."""

    CRASH = "crash"
    STALL = "stall"
    CUT = "cut"  # its messages are lost
    SPLIT = "split"  # its messages and those to it are lost


@dataclass(frozen=True, slots=True, order=True)
class Fault:
    """A fault to come; faults are ordered by their time."""

    at: int
    kind: FaultKind
    instance: int
    length_us: int  # how long it lasts


@dataclass(frozen=True, slots=True, order=True)
class Datagram:
    """A message in transit; datagrams are ordered by their arrival."""

    arrives_at: int
    sequence: int
    sender: int
    receiver: int
    payload: bytes


@dataclass(slots=True)
class Instance:
    """One simulated instance."""

    clock: Callable[[int], int]  # from the simulation's time to its own
    leases: Leases
    quota: float  # of the limit, as its decision module was last told
    next_send_at: int = 0  # by its own clock
    stalled_until: int = 0
    down_until: int = 0
    inbox: list[Datagram] = field(default_factory=list)

    def is_running(self, now: int) -> bool:
        """Return whether it is neither down nor stalled."""
        return now >= max(self.down_until, self.stalled_until)


@dataclass(slots=True)
class RunResult:
    """The result of a run."""

    max_sum: float = 0.0  # of the hosts' quotas
    max_sum_at: int = 0
    utilization: float = 0.0  # mean quota of the busiest instance
    messages: int = 0
    bytes: int = 0
    states: set[tuple[float, ...]] = field(default_factory=set)  # of the quotas of all running hosts


class Simulation:
    """One run of a scenario."""

    def __init__(self, scenario: Scenario, limits: PeerLimits | None = None) -> None:
        self.scenario = scenario
        self.limits = limits or PeerLimits()
        self.rng = random.Random(scenario.seed)
        self.now = 0
        self.result = RunResult()
        self._incarnations = FIRST_INCARNATION
        self._in_transit: list[Datagram] = []
        self._datagrams = 0
        self._cut_until: dict[tuple[int, int], int] = {}  # by sender and receiver
        self.instances = [self._start(number, self._make_clock(), 0) for number in range(scenario.instances)]
        self._faults = [] if scenario.calm else self._draw_faults()

    def _draw_faults(self) -> list[Fault]:
        faults: list[Fault] = []
        for _ in range(self.scenario.faults):
            at = self.rng.randrange(SECOND, self.scenario.length_us)
            kind = self.rng.choice((FaultKind.CRASH, FaultKind.STALL, FaultKind.CUT, FaultKind.SPLIT))
            instance = self.rng.randrange(self.scenario.instances)
            length_us = self.rng.randrange(200 * MS, 4 * SECOND)
            faults.append(Fault(at, kind, instance, length_us))
        return sorted(faults)

    def _make_clock(self) -> Callable[[int], int]:
        rate = 1 + self.rng.uniform(-self.scenario.drift, self.scenario.drift)
        offset = self.rng.randrange(1, 1000) * SECOND
        return lambda now: offset + int(now * rate)

    def _start(self, number: int, clock: Callable[[int], int], down_until: int) -> Instance:
        """Return a restarted instance, which begins once it is up again."""
        started_at = clock(max(self.now, down_until))
        return Instance(clock, self._make_leases(number, started_at), 0.0, down_until=down_until)

    def _make_leases(self, number: int, started_at: int) -> Leases:
        return Leases(self.limits, self._next_identity(number), started_at)

    def _next_identity(self, number: int) -> InstanceIdentity:
        self._incarnations += 1
        return InstanceIdentity(number, self.scenario.instances, self._incarnations)

    def run(self) -> RunResult:
        """Run the scenario to its end."""
        scenario = self.scenario
        busiest_quotas = 0.0
        steps = range(0, scenario.length_us, scenario.step_us)
        for self.now in steps:
            self._begin_faults()
            self._deliver()
            busiest = self._busiest()
            for number in self.rng.sample(range(scenario.instances), scenario.instances):
                if self.instances[number].is_running(self.now):
                    self._run_iteration(number)
                    self._record_quota_sum()
            busiest_quotas += self.instances[busiest].quota
        self.result.utilization = busiest_quotas / len(steps)
        return self.result

    def _busiest(self) -> int:
        """Return the number of the host with the most requests, which rotates."""
        return self.now // self.scenario.shift_us % self.scenario.hosts

    def _begin_faults(self) -> None:
        while self._faults and self._faults[0].at <= self.now:
            self._begin_fault(self._faults.pop(0))

    def _begin_fault(self, fault: Fault) -> None:
        until = self.now + fault.length_us
        instance = self.instances[fault.instance]
        if fault.kind is FaultKind.CRASH:
            self.instances[fault.instance] = self._start(fault.instance, instance.clock, until)
        elif fault.kind is FaultKind.STALL:
            instance.stalled_until = until
        for other in range(self.scenario.instances):
            if fault.kind in (FaultKind.CUT, FaultKind.SPLIT):
                self._cut_until[fault.instance, other] = until
            if fault.kind is FaultKind.SPLIT:
                self._cut_until[other, fault.instance] = until

    def _deliver(self) -> None:
        while self._in_transit and self._in_transit[0].arrives_at <= self.now:
            datagram = heapq.heappop(self._in_transit)
            receiver = self.instances[datagram.receiver]
            if self.now >= receiver.down_until:
                receiver.inbox.append(datagram)

    def _record_quota_sum(self) -> None:
        """Add up the quotas of the running hosts; those that are down or stalled send nothing."""
        quotas: list[float] = []
        for host in self.instances[: self.scenario.hosts]:
            if host.is_running(self.now):
                self._update_quota(host)
                quotas.append(host.quota)
        self.result.states.add(tuple(round(quota, 2) for quota in quotas))
        if sum(quotas) > self.result.max_sum:
            self.result.max_sum = sum(quotas)
            self.result.max_sum_at = self.now

    def _run_iteration(self, number: int) -> None:
        """Run one event-loop iteration of an instance."""
        instance = self.instances[number]
        now = instance.clock(self.now)
        self._receive(instance, now)
        if number < self.scenario.hosts:
            rate = LIMIT * (BUSIEST_DEMAND if number == self._busiest() else self.scenario.other_demand)
            if self.rng.random() < rate / REQUEST_UNITS * self.scenario.step_us / SECOND:
                instance.leases.record_demand(VOLUME, self.scenario.hosts, LIMIT, REQUEST_UNITS, now)
        payloads = self._compose_if_due(instance, now)
        self._update_quota(instance)
        for receiver, payload in payloads.items():
            self._send(number, receiver, payload)

    def _receive(self, instance: Instance, now: int) -> None:
        for datagram in instance.inbox:
            message = lease_message.decode(datagram.payload, self.limits.datagram_bytes)
            instance.leases.receive(datagram.sender, message, now)
        instance.inbox.clear()

    def _update_quota(self, instance: Instance) -> None:
        """Refresh the quota, as an instance does before its decision module may send."""
        now = instance.clock(self.now)
        leases = instance.leases
        instance.quota = leases.refresh_quotas(now).get(VOLUME, instance.quota)
        if VOLUME_TAG not in leases.demands.by_tag:
            # The first request creates the demand, and its quota then reaches the decision module: read
            # the quota from a temporary demand.
            leases.demands.by_tag[VOLUME_TAG] = Demand(VOLUME, self.scenario.hosts, LIMIT)
            instance.quota = leases.usable_quota(VOLUME_TAG, now)
            del leases.demands.by_tag[VOLUME_TAG]

    def _compose_if_due(self, instance: Instance, now: int) -> dict[int, bytes]:
        """Return the datagrams to send, by receiver."""
        if now < instance.next_send_at:
            return {}
        instance.next_send_at = now + self.limits.send_interval_us
        leases = instance.leases
        number = leases.contacts.next_number(now)
        payloads: dict[int, bytes] = {}
        for peer, page in leases.compose(now).items():
            message = LeaseMessage(
                leases.identity.incarnation, number, *leases.contacts.last_received(peer), *page
            )
            payloads[peer] = lease_message.encode(message)
        return payloads

    def _send(self, sender: int, receiver: int, payload: bytes) -> None:
        self.result.messages += 1
        self.result.bytes += len(payload)
        if self._cut_until.get((sender, receiver), 0) > self.now or self._is_drawn(self.scenario.loss):
            return
        copies = 2 if self._is_drawn(self.scenario.duplicated) else 1
        for _ in range(copies):
            delay_us = self.rng.randrange(self.scenario.delay_us // 10, 2 * self.scenario.delay_us)
            if self._is_drawn(LATE_FRACTION):
                delay_us = self.rng.randrange(self.scenario.late_us)
            self._datagrams += 1
            arrives_at = self.now + delay_us
            heapq.heappush(self._in_transit, Datagram(arrives_at, self._datagrams, sender, receiver, payload))

    def _is_drawn(self, probability: float) -> bool:
        return not self.scenario.calm and self.rng.random() < probability
