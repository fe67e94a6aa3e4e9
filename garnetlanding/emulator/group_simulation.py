"""Simulates the membership of instances that discover each other on one network.

Instances join, leave, crash and restart, links are partitioned, messages are lost and delayed. The same seed
gives the same run. At each step the even quotas of all running instances are added up. Times are
microseconds.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field
from typing import NamedTuple

from garnetlanding.peers.envelope import decode_envelope, encode_envelope
from garnetlanding.peers.gossip_schedule import GossipSchedule
from garnetlanding.peers.limits import MS, SECOND, PeerLimits
from garnetlanding.peers.membership import FIRST_SEED_NUMBER, Membership
from garnetlanding.peers.membership_protocol import MembershipProtocol
from garnetlanding.peers.peer_contacts import NO_MESSAGE

CLOCK_KEPT_RATE = 0.8  # of starts; the others have a smaller incarnation, as if the clock was set back
PARTITION_RATE = 0.4  # of events at a running instance, which cut its links; the others stop it
CUT_BOTH_WAYS_RATE = 0.5  # of links that are cut
GRACEFUL_RATE = 0.5  # of instances that stop; the others crash


@dataclass(frozen=True, slots=True)
class GroupScenario:
    """The parameters of a run."""

    seed: int = 1
    instances: int = 6  # at most, running or not
    seeds: int = 3  # the first instances form the group; at least one of them is always running
    length_us: int = 20 * SECOND
    step_us: int = 50 * MS
    loss: float = 0.1
    delay_us: int = 400 * MS  # at most
    events: int = 12  # starts, stops, crashes and partitions, at random times
    all_at_once: bool = False  # every instance starts at the beginning
    calm_us: int = 10 * SECOND  # at the end, without events and losses


@dataclass(slots=True)
class Instance:
    """One running instance."""

    protocol: MembershipProtocol
    schedule: GossipSchedule
    incarnation: int

    @property
    def members(self) -> Membership:
        """The instance's membership."""
        return self.protocol.members


@dataclass(slots=True)
class GroupResult:
    """The result of a run."""

    max_quota_sum: float = 0.0  # of the even quotas
    max_quota_sum_at: int = 0
    final_quota_sum: float = 1.0  # at the end of the calm period
    agreed: bool = False  # the tables of all running instances are equal at the end
    starts: int = 0
    known_after_us: list[int] = field(default_factory=list)  # from a start until all knew of it
    bytes_sent: int = 0


class UnnumberedMessages:
    """Gives each message the number 1: nothing here depends on numbers."""

    def number_at(self, index: int) -> int:  # noqa: ARG002 - the interface of `MessageNumbering`
        """Return the number of a message."""
        return 1


class Start(NamedTuple):
    """A start of an instance that some running instances do not know of yet."""

    at: int
    instance: int
    incarnation: int


class Delivery(NamedTuple):
    """A datagram in transit, ordered by arrival; `number` orders those that arrive at one time."""

    at: int
    number: int
    sender: int
    receiver: int
    data: bytes


class Event(NamedTuple):
    """A random event, determined by a seed of its own."""

    at: int
    seed: int


def address(number: int) -> str:
    """Return the address of an instance."""
    return f"127.1.{number // 250}.{number % 250 + 1}:7946"


class GroupSimulation:
    """One run of a scenario."""

    def __init__(self, scenario: GroupScenario, limits: PeerLimits | None = None) -> None:
        self.scenario = scenario
        self.limits = limits or PeerLimits()
        self.result = GroupResult()
        self.instances: dict[int, Instance] = {}  # those that run
        self._rng = random.Random(scenario.seed)
        self._now = 0
        self._start_count = 0
        self._sent_count = 0
        self._crashed: set[int] = set()
        self._unknown_starts: list[Start] = []
        self._deliveries: list[Delivery] = []
        self._cut_until: dict[tuple[int, int], int] = {}  # by sender and receiver
        for number in range(scenario.instances if scenario.all_at_once else scenario.seeds):
            self._start(number)
        self._calm_from = scenario.length_us - scenario.calm_us
        self._events = sorted(
            Event(self._rng.randrange(max(1, self._calm_from)), self._rng.randrange(1 << 30))
            for _ in range(scenario.events)
        )

    def _start(self, number: int) -> None:
        self._start_count += 1
        clock_kept = self._rng.random() < CLOCK_KEPT_RATE
        incarnation = (1000 if clock_kept else 900) + self._start_count
        seeds = [address(seed) for seed in range(self.scenario.seeds)]
        members = Membership(self.limits, number, incarnation, address(number), seeds, self._now)
        protocol = MembershipProtocol(self.limits, members)
        self.instances[number] = Instance(protocol, GossipSchedule(self.limits, number), incarnation)
        self.result.starts += 1
        self._unknown_starts.append(Start(self._now, number, members.table.records[number].incarnation))

    def run(self) -> GroupResult:
        """Run to the end and return the result."""
        scenario = self.scenario
        for self._now in range(0, scenario.length_us, scenario.step_us):
            self._process_events()
            self._deliver()
            # Operators mark instances that will not restart; the second time all stopped ones are covered.
            if self._now in (self._calm_from, scenario.length_us - scenario.calm_us // 2):
                self._mark_crashed_terminated()
            if self._now % self.limits.send_interval_us < scenario.step_us:
                self._check_known_starts()
                for number in self._rng.sample(sorted(self.instances), len(self.instances)):
                    self._send_round(number)
        digests = {instance.members.table.digest for instance in self.instances.values()}
        self.result.agreed = len(digests) == 1
        self.result.final_quota_sum = self._quota_sum()
        return self.result

    # Events

    def _process_events(self) -> None:
        while self._events and self._events[0].at <= self._now:
            self._process_event(random.Random(self._events.pop(0).seed))

    def _process_event(self, rng: random.Random) -> None:
        number = rng.randrange(self.scenario.instances)
        if number not in self.instances:
            self._crashed.discard(number)
            self._start(number)
        elif rng.random() < PARTITION_RATE:
            self._cut_links(number, rng)
        elif self._may_stop(number):
            self._stop(number, rng)

    def _cut_links(self, number: int, rng: random.Random) -> None:
        for peer in range(self.scenario.instances):
            until = self._now + rng.randrange(SECOND, 5 * SECOND)
            self._cut_until[number, peer] = until
            if rng.random() < CUT_BOTH_WAYS_RATE:
                self._cut_until[peer, number] = until

    def _may_stop(self, number: int) -> bool:
        """Return whether an instance may stop: at least one seed keeps running."""
        seeds = self.scenario.seeds
        return number >= seeds or sum(running < seeds for running in self.instances) > 1

    def _stop(self, number: int, rng: random.Random) -> None:
        self._crashed.add(number)
        if rng.random() < GRACEFUL_RATE:
            members = self.instances[number].members
            members.leave()
            self._send(number, list(members.quota_holders))
        del self.instances[number]

    def _mark_crashed_terminated(self) -> None:
        for number in sorted(self._crashed):
            next(iter(self.instances.values())).members.mark_terminated(number)

    # Measurements

    def _check_known_starts(self) -> None:
        for start in list(self._unknown_starts):
            if start.instance not in self.instances:
                self._unknown_starts.remove(start)
            elif self._is_known_to_all(start):
                self._unknown_starts.remove(start)
                self.result.known_after_us.append(self._now - start.at)

    def _is_known_to_all(self, start: Start) -> bool:
        records = [instance.members.table.records.get(start.instance) for instance in self.instances.values()]
        return all(record is not None and record.incarnation >= start.incarnation for record in records)

    def _quota_sum(self) -> float:
        return sum(instance.members.even_quota for instance in self.instances.values())

    # Messages

    def _deliver(self) -> None:
        while self._deliveries and self._deliveries[0].at <= self._now:
            delivery = heapq.heappop(self._deliveries)
            if delivery.receiver not in self.instances:
                continue
            protocol = self.instances[delivery.receiver].protocol
            envelope = decode_envelope(delivery.data, self.limits.datagram_bytes)
            message = protocol.merge(envelope)
            protocol.record_contact(delivery.sender, message, self._now)
            quota_sum = self._quota_sum()
            if quota_sum > self.result.max_quota_sum:
                self.result.max_quota_sum = quota_sum
                self.result.max_quota_sum_at = self._now

    def _send_round(self, number: int) -> None:
        instance = self.instances[number]
        instance.protocol.update_joined(self._now)
        receivers = instance.schedule.next_receivers(instance.members.quota_holders - {number}, ())
        self._send(number, [*receivers, *instance.members.extra_receivers(self._now)])

    def _send(self, number: int, receivers: list[int]) -> None:
        instance = self.instances[number]
        acknowledged = dict.fromkeys(receivers, NO_MESSAGE)
        for receiver, envelope in instance.protocol.compose(
            acknowledged, instance.incarnation, UnnumberedMessages()
        ):
            if receiver >= FIRST_SEED_NUMBER:
                receiver -= FIRST_SEED_NUMBER  # the first instances are the seeds
            data = encode_envelope(envelope)
            self.result.bytes_sent += len(data)
            if not self._is_lost(number, receiver):
                self._post(number, receiver, data)

    def _is_lost(self, sender: int, receiver: int) -> bool:
        if self._now >= self._calm_from:
            return False
        is_cut = self._cut_until.get((sender, receiver), 0) > self._now
        return is_cut or self._rng.random() < self.scenario.loss

    def _post(self, sender: int, receiver: int, data: bytes) -> None:
        self._sent_count += 1
        delay_us = self._rng.randrange(self.scenario.step_us, self.scenario.delay_us)
        heapq.heappush(
            self._deliveries, Delivery(self._now + delay_us, self._sent_count, sender, receiver, data)
        )
