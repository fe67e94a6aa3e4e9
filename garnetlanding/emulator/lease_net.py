"""Many heads' leases on one simulated clock and network: clocks that run apart, lost, late, doubled and
overtaken messages, cut links, crashes and stalls. The same seed gives the same run.

At each step the parts that the volume's heads may use are added up, as the module of each would if it sent at
that very moment.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from garnetlanding.peers import codec
from garnetlanding.peers.demand import Demand
from garnetlanding.peers.leases import InstanceIdentity, Leases
from garnetlanding.peers.limits import PeerLimits

MS, SECOND = 1_000, 1_000_000
VOLUME, LIMIT = "v", 40.0


@dataclass(frozen=True, slots=True)
class Net:
    """What a run is made of. Times are microseconds."""

    seed: int = 1
    heads: int = 3
    hosts: int = 2  # the first so many heads are the volume's
    length_us: int = 12 * SECOND
    step_us: int = 10 * MS
    loss: float = 0.1
    doubled: float = 0.05
    delay_us: int = 30 * MS  # twice that at most; a tenth of them take `late_us`
    late_us: int = 900 * MS
    drift: float = 0.005  # of each clock, at most, either way
    rest: float = 0.1  # of the limit, asked for at each host that is not the busiest
    shift_us: int = 3 * SECOND  # so often another host becomes the busiest
    faults: int = 4  # crashes, stalls and cuts, drawn
    calm: bool = False  # no fault, nothing lost or late


@dataclass(slots=True)
class Head:
    clock: Callable[[int], int]
    leases: Leases
    part: float
    say_at: int = 0  # by its own clock
    stalled_until: int = 0
    down_until: int = 0
    inbox: list[tuple[int, bytes]] = field(default_factory=list)


@dataclass(slots=True)
class Seen:
    """The greatest sum of parts, when it was seen, and how the parts were used."""

    most: float = 0.0
    most_at: int = 0
    usable: float = 0.0  # mean of the busiest head's part while it was up
    messages: int = 0
    bytes: int = 0
    states: set[tuple[float, ...]] = field(default_factory=set)


class Run:
    def __init__(self, net: Net, limits: PeerLimits | None = None) -> None:
        self.net, self.limits, self.rng = net, limits or PeerLimits(), random.Random(net.seed)
        self.now, self.seen, self._lives = 0, Seen(), 0
        self._mail: list[tuple[int, int, int, int, bytes]] = []
        self._count = 0
        self._cut: dict[tuple[int, int], int] = {}  # until when
        self.heads = [self._start(i, self._clock(), 0) for i in range(net.heads)]
        self._faults = (
            []
            if net.calm
            else sorted(
                (
                    self.rng.randrange(SECOND, net.length_us),
                    self.rng.choice(("crash", "stall", "cut", "split")),
                    self.rng.randrange(net.heads),
                    self.rng.randrange(200 * MS, 4 * SECOND),
                )
                for _ in range(net.faults)
            )
        )

    def _clock(self) -> Callable[[int], int]:
        pace = 1 + self.rng.uniform(-self.net.drift, self.net.drift)
        offset = self.rng.randrange(1, 1000) * SECOND
        return lambda now: offset + int(now * pace)

    def _start(self, me: int, clock: Callable[[int], int], down_until: int) -> Head:
        self._lives += 1
        identity = InstanceIdentity(me, self.net.heads, 1000 + self._lives)
        leases = Leases(self.limits, identity, clock(max(self.now, down_until)))
        return Head(clock, leases, 0.0, down_until=down_until)

    def run(self) -> Seen:
        net, parts = self.net, 0.0
        steps = range(0, net.length_us, net.step_us)
        for self.now in steps:
            while self._faults and self._faults[0][0] <= self.now:
                self._strike(*self._faults.pop(0)[1:])
            while self._mail and self._mail[0][0] <= self.now:
                _, _, sender, receiver, data = heapq.heappop(self._mail)
                if self.now >= self.heads[receiver].down_until:
                    self.heads[receiver].inbox.append((sender, data))
            lead = self.now // net.shift_us % net.hosts
            for i in self.rng.sample(range(net.heads), net.heads):
                if self.now >= max(self.heads[i].down_until, self.heads[i].stalled_until):
                    self._turn(i, lead)
                    self._add_up()
            parts += self.heads[lead].part
        self.seen.usable = parts / len(steps)
        return self.seen

    def _add_up(self) -> None:
        """A head that is down or stands still sends nothing."""
        up = []
        for head in self.heads[: self.net.hosts]:
            if self.now >= max(head.down_until, head.stalled_until):
                self._look(head)
                up.append(head.part)
        self.seen.states.add(tuple(round(part, 2) for part in up))
        if sum(up) > self.seen.most:
            self.seen.most, self.seen.most_at = sum(up), self.now

    def _turn(self, me: int, lead: int) -> None:
        head = self.heads[me]
        now, leases = head.clock(self.now), head.leases
        self._hear(head, now)
        if me < self.net.hosts:
            rate = LIMIT * (1.5 if me == lead else self.net.rest)
            if self.rng.random() < rate / 2 * self.net.step_us / SECOND:
                leases.record_demand(VOLUME, self.net.hosts, LIMIT, 2, now)
        mail: list[tuple[int, bytes]] = []
        if now >= head.say_at:
            head.say_at = now + self.limits.say_every_us
            mail = self._say(leases, now)
        self._look(head)
        for receiver, data in mail:
            self._post(me, receiver, data)

    def _hear(self, head: Head, now: int) -> None:
        for sender, data in head.inbox:
            head.leases.receive(sender, codec.decode_leases(data, self.limits.datagram_bytes), now)
        head.inbox.clear()

    def _look(self, head: Head) -> None:
        """What the module would be told before it may send."""
        now = head.clock(self.now)
        head.part = head.leases.changed_shares(now).get(VOLUME, head.part)
        if codec.tag(VOLUME) not in head.leases.demands:
            # Its first request would bring the volume up, and its part with it.
            known = Demand(VOLUME, self.net.hosts, LIMIT)
            head.leases.demands[codec.tag(VOLUME)] = known
            head.part = head.leases.usable_share(codec.tag(VOLUME), now)
            del head.leases.demands[codec.tag(VOLUME)]

    def _say(self, leases: Leases, now: int) -> list[tuple[int, bytes]]:
        mail = []
        number = leases.next_number(now)
        for who, (asks, grants) in leases.compose(now).items():
            mail.append(
                (
                    who,
                    codec.encode_leases(
                        codec.LeaseMessage(
                            leases.identity.incarnation, number, *leases.last_received(who), asks, grants
                        )
                    ),
                )
            )
        return mail

    def _post(self, sender: int, receiver: int, data: bytes) -> None:
        net, rng = self.net, self.rng
        self.seen.messages += 1
        self.seen.bytes += len(data)
        if self._cut.get((sender, receiver), 0) > self.now or (not net.calm and rng.random() < net.loss):
            return
        for _ in range(1 if net.calm or rng.random() >= net.doubled else 2):
            delay = rng.randrange(net.delay_us // 10, 2 * net.delay_us)
            if not net.calm and rng.random() < 0.1:
                delay = rng.randrange(net.late_us)
            self._count += 1
            heapq.heappush(self._mail, (self.now + delay, self._count, sender, receiver, data))

    def _strike(self, kind: str, who: int, span: int) -> None:
        head = self.heads[who]
        if kind == "crash":
            self.heads[who] = self._start(who, head.clock, self.now + span)
        elif kind == "stall":
            head.stalled_until = self.now + span
        for you in range(self.net.heads):
            if kind in ("cut", "split"):
                self._cut[who, you] = self.now + span
            if kind == "split":
                self._cut[you, who] = self.now + span
