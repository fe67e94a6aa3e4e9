"""Heads that find each other, on one simulated network: joins, ends, crashes, restarts, cut links, lost and
late messages. The same seed gives the same run. At each step the even parts of all that run are added up.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field

from garnetlanding.peers import codec
from garnetlanding.peers.codec import Envelope
from garnetlanding.peers.gossip_schedule import GossipSchedule
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.membership import FIRST_SEED, Membership
from garnetlanding.peers.membership_protocol import MembershipProtocol

MS, SECOND = 1_000, 1_000_000


@dataclass(frozen=True, slots=True)
class GroupNet:
    """What a run is made of. Times are microseconds."""

    seed: int = 1
    heads: int = 6  # numbers that are ever used
    seeds: int = 3  # the first so many begin the group; never are all of them down
    length_us: int = 20 * SECOND
    step_us: int = 50 * MS
    loss: float = 0.1
    delay_us: int = 400 * MS  # at most
    events: int = 12  # joins, ends, crashes and cuts, drawn
    all_at_once: bool = False  # every head starts at the beginning
    calm_us: int = 10 * SECOND  # at the end: nothing more happens, nothing is lost


@dataclass(slots=True)
class Node:
    group: MembershipProtocol
    turns: GossipSchedule
    life: int


@dataclass(slots=True)
class GroupSeen:
    most: float = 0.0  # greatest sum of even parts
    most_at: int = 0
    least_end: float = 1.0  # of the sum, once all is calm
    agreed: bool = False  # all that run have one table at the end
    joins: int = 0
    known_us: list[int] = field(default_factory=list)  # until all that ran knew of a start
    bytes: int = 0


def address(head: int) -> str:
    return f"127.1.{head // 250}.{head % 250 + 1}:7946"


class GroupRun:
    def __init__(self, net: GroupNet, limits: PeerLimits | None = None) -> None:
        self.net, self.limits, self.rng = net, limits or PeerLimits(), random.Random(net.seed)
        self.now, self.seen, self._lives, self._count = 0, GroupSeen(), 0, 0
        self.nodes: dict[int, Node] = {}
        self._crashed: set[int] = set()
        self._new: list[tuple[int, int, int]] = []  # starts that not all know of: when, head, life
        self._mail: list[tuple[int, int, int, int, bytes]] = []
        self._cut: dict[tuple[int, int], int] = {}
        for head in range(net.heads if net.all_at_once else net.seeds):
            self._start(head)
        last = net.length_us - net.calm_us
        self._events = sorted(
            (self.rng.randrange(max(1, last)), self.rng.randrange(1 << 30)) for _ in range(net.events)
        )

    def _start(self, head: int) -> None:
        self._lives += 1
        # Some starts have the wall clock set back: their lives are no greater than the ones before.
        life = 1000 + self._lives if self.rng.random() < 0.8 else 900 + self._lives
        seeds = [address(seed) for seed in range(self.net.seeds)]
        members = Membership(self.limits, head, life, address(head), seeds, self.now)
        self.nodes[head] = Node(
            MembershipProtocol(self.limits, members), GossipSchedule(self.limits, head), life
        )
        self.seen.joins += 1
        self._new.append((self.now, head, members.records[head].incarnation))

    def run(self) -> GroupSeen:
        net = self.net
        for self.now in range(0, net.length_us, net.step_us):
            while self._events and self._events[0][0] <= self.now:
                self._strike(random.Random(self._events.pop(0)[1]))
            while self._mail and self._mail[0][0] <= self.now:
                _, _, sender, receiver, data = heapq.heappop(self._mail)
                if receiver in self.nodes:
                    self._hear(receiver, sender, data)
                    self._add_up()
            if self.now in (net.length_us - net.calm_us, net.length_us - net.calm_us // 2):
                # Operators know by now who will not come back; the second time with all that is known.
                for head in sorted(self._crashed):
                    next(iter(self.nodes.values())).group.members.mark_terminated(head)
            if self.now % self.limits.send_interval_us < net.step_us:
                self._look_who_knows()
                for head in self.rng.sample(sorted(self.nodes), len(self.nodes)):
                    self._say(head)
        digests = {node.group.members.digest for node in self.nodes.values()}
        self.seen.agreed = len(digests) == 1
        self.seen.least_end = sum(node.group.members.even_share for node in self.nodes.values())
        return self.seen

    def _look_who_knows(self) -> None:
        for new in list(self._new):
            when, head, life = new
            tables = [node.group.members.records for node in self.nodes.values()]
            if head not in self.nodes:
                self._new.remove(new)
            elif all(head in table and table[head].incarnation >= life for table in tables):
                self._new.remove(new)
                self.seen.known_us.append(self.now - when)

    def _add_up(self) -> None:
        total = sum(node.group.members.even_share for node in self.nodes.values())
        if total > self.seen.most:
            self.seen.most, self.seen.most_at = total, self.now

    def _strike(self, rng: random.Random) -> None:
        head = rng.randrange(self.net.heads)
        running = head in self.nodes
        if not running:
            self._crashed.discard(head)
            self._start(head)
        elif rng.random() < 0.4:
            for you in range(self.net.heads):
                until = self.now + rng.randrange(SECOND, 5 * SECOND)
                self._cut[head, you] = until
                if rng.random() < 0.5:
                    self._cut[you, head] = until
        elif head >= self.net.seeds or sum(n < self.net.seeds for n in self.nodes) > 1:
            self._crashed.add(head)
            if rng.random() < 0.5:
                self.nodes[head].group.members.leave()
                others = self.nodes[head].group.members.quota_holders
                self._tell(head, {who: (0, 0) for who in others})
            del self.nodes[head]

    def _hear(self, me: int, sender: int, data: bytes) -> None:
        group = self.nodes[me].group
        e: Envelope = codec.decode_envelope(data, self.limits.datagram_bytes)
        group.record_contact(sender, group.merge(e), self.now)

    def _say(self, me: int) -> None:
        members, turns = self.nodes[me].group.members, self.nodes[me].turns
        self.nodes[me].group.update_joined(self.now)
        to = turns.round(members.quota_holders - {me}, ())
        self._tell(me, {who: (0, 0) for who in [*to, *members.extra_receivers(self.now)]})

    def _tell(self, me: int, heads: dict[int, tuple[int, int]]) -> None:
        net, node = self.net, self.nodes[me]
        calm = self.now >= net.length_us - net.calm_us
        seeds = {at: head for head, at in ((n, address(n)) for n in range(net.heads))}
        for who, e in node.group.compose(heads, node.life, lambda: 1):
            receiver = seeds[node.group.members.address_of(who)] if who >= FIRST_SEED else who
            data = codec.encode_envelope(e)
            self.seen.bytes += len(data)
            if not calm and (self._cut.get((me, receiver), 0) > self.now or self.rng.random() < net.loss):
                continue
            self._count += 1
            delay = self.rng.randrange(net.step_us, net.delay_us)
            heapq.heappush(self._mail, (self.now + delay, self._count, me, receiver, data))
