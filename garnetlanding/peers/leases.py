"""How a volume's limit is divided among the heads of a fleet, so that the sum never passes what was bought.

Each head that a volume's requests come through has an even part of its own, 1 / hosts, for good. It may
leave shares of it to others for a bounded time: it counts them as gone before it says so, and until they must
have ended by any clock; whoever has them counts from when it sent the message that was answered, which was
earlier. So a lost message leaves a part idle, and none gives a part twice (docs/design/fleet-limits.md).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from garnetlanding.decision.state import SECOND, EwmaRate, SlidingWindowSum
from garnetlanding.peers.codec import Ask, LeaseMessage, LeasePage, tag
from garnetlanding.peers.limits import PeerLimits

# `recheck_at` of leases that are suspended: no share changes by itself.
NEVER_US = 1 << 62


def fill(supply: float, demands: list[float]) -> list[float]:
    """Max-min fair shares of a supply: nobody gets more than it asks for while another lacks; what nobody
    asks for is divided evenly. The shares add up to the supply."""
    left, shares = supply, [0.0] * len(demands)
    order = sorted(range(len(demands)), key=demands.__getitem__)
    for place, i in enumerate(order):
        shares[i] = min(demands[i], left / (len(order) - place))
        left -= shares[i]
    return [share + left / len(demands) for share in shares]


@dataclass(slots=True)
class Peer:
    """The last word of one head."""

    life: int
    number: int
    heard_at: int
    asks: dict[int, tuple[float, int, int]] = field(default_factory=dict)  # share wanted, hosts, when told


@dataclass(slots=True)
class Own:
    """A volume that this head is asked for."""

    name: str
    hosts: int
    limit: float  # units a second, over all heads
    rate: EwmaRate = field(default_factory=EwmaRate)
    others: dict[int, int] = field(default_factory=dict)  # heads that have asked for it too, and when last
    window_us: int = 0  # of a budget: so much of it may be spent within any such span
    spent: SlidingWindowSum | None = None  # of it
    held: float = 0.0  # of it, for as long as it is not given back

    def locked(self, now: int, longest_us: int) -> float:
        """The share of a budget that was spent lately: nobody may spend it again before its window ends."""
        if self.spent is None:
            return 0.0
        return (self.held + self.spent.total(now - longest_us)) / (self.limit * self.window_us / SECOND)

    def wants(self, now: int, limits: PeerLimits) -> float:
        """The share of the limit that it could use, with some room to grow."""
        rate = self.rate.rate * max(0.0, 1 - (now - self.rate.at) / limits.span_us)
        held = self.held * SECOND / self.window_us if self.held else 0.0
        return min(1.0, limits.headroom * (rate + held) / self.limit)


class Leases:
    def __init__(
        self,
        limits: PeerLimits,
        me: int,
        heads: int,
        life: int,
        now: int,
        earlier: Leases | None = None,
        window_us: int = 0,
    ) -> None:
        """`earlier`: under other numbers of the same life; what the module was told goes on from there.
        With `window_us`, what is divided are budgets of windows up to that long."""
        self._limits, self.me, self.instances, self.life = limits, me, heads, life
        self.window_us = window_us
        self.peer_numbers = frozenset(range(heads)) - {me}  # the other heads
        self._found = False  # whether the group was found: a volume may come through a head not yet known
        self.contacts: dict[int, Peer] = {}
        self.demands: dict[int, Own] = {} if earlier is None else earlier.demands
        self._sent: dict[int, int] = {}  # when this head's last messages were sent, by their numbers
        self._number: int = 0 if earlier is None else earlier._number
        self._received: dict[int, dict[int, tuple[float, int]]] = {}  # by volume and giver: share, until when
        self._granted: dict[int, dict[int, list[tuple[float, int]]]] = {}  # by volume and taker: the same
        # What an earlier life of this head may have left to others has ended by then.
        self.resumes_at: int | None = now + self._quarantine_us  # None: not until `resume`
        # As last told to the module.
        self._shares: dict[int, float] = {} if earlier is None else earlier._shares
        self.recheck_at = now  # the next time at which a part changes by itself

    def set_peers(self, others: frozenset[int]) -> None:
        """The other heads that have been found by now; what one that is gone has left is nothing."""
        self._found = True
        if others != self.peer_numbers:
            for givers in self._received.values():
                for who in self.peer_numbers - others:
                    givers.pop(who, None)
            self.peer_numbers, self.recheck_at = others, 0

    def suspend(self, now: int) -> None:
        """Use and grant nothing until `resume`."""
        self.resumes_at = None
        self._received.clear()
        self.recheck_at = now

    def resume(self, now: int) -> None:
        """Use and grant shares again, as after a start: once what was granted before must have expired."""
        self.resumes_at = now + self._quarantine_us
        self._received.clear()
        self.recheck_at = now

    def quarantined(self, now: int) -> bool:
        """Whether this instance may neither use nor grant anything at this moment."""
        return self.resumes_at is None or now < self.resumes_at

    @property
    def _quarantine_us(self) -> int:
        """For so long what was given counts as gone: the taker's clock may be slower, and what it spends of a
        budget at the last moment is spent until its window has passed."""
        return int((self._limits.lease_us + self.window_us) * (1 + self._limits.drift))

    # What is told and heard

    def record_demand(
        self, volume: str, hosts: int, limit: float, units: float, now: int, window_us: int = 0
    ) -> None:
        """`limit`: units a second. `window_us`: of a budget, in which so many seconds' worth may be spent."""
        if hosts < 2 or limit <= 0:
            return
        name = tag(volume)
        own = self.demands.get(name)
        if own is None or (own.hosts, own.limit) != (hosts, limit):
            spent = own.spent if own else SlidingWindowSum(self.window_us) if self.window_us else None
            own = self.demands[name] = Own(
                volume,
                hosts,
                limit,
                own.rate if own else EwmaRate(),
                window_us=window_us,
                spent=spent,
                held=own.held if own else 0.0,
            )
            self.recheck_at = now
        own.rate.add(now, units, self._limits.span_us)

    def record_spent(self, budget: str, units: float, now: int) -> None:
        """So much of a budget that was asked for has been spent now."""
        own = self.demands.get(tag(budget))
        if own and own.spent:
            own.spent.add(now, units)

    def set_in_use(self, budget: str, units: float) -> None:
        """So much of a budget that was asked for is in use, until it is said to be less."""
        if own := self.demands.get(tag(budget)):
            own.held = units

    def receive(self, sender: int, m: LeaseMessage, now: int) -> str:
        """Takes a head's word up; returns why not, if not."""
        if why := self.accept_contact(sender, m.incarnation, m.number, now):
            return why
        peer = self.contacts[sender]
        for volume, (share, hosts) in m.asks.items():
            if volume in peer.asks or len(peer.asks) < self._limits.volumes:
                peer.asks[volume] = share, hosts, now
            if volume in self.demands:
                self.demands[volume].others[sender] = now
        sent_at = self.sent_at(m.acked_incarnation, m.acked_number)
        if sent_at is not None:
            for volume, share in m.grants.items():
                # Only what this head asked for: anything else would be kept for nothing.
                if volume in self.demands:
                    self._received.setdefault(volume, {})[sender] = share, sent_at + self._limits.lease_us
            self.recheck_at = now
        return ""

    def accept_contact(self, sender: int, life: int, number: int, now: int) -> str:
        """Any message of a head; returns why it is not taken up, if not."""
        if sender not in self.peer_numbers:
            return "no peer"
        peer = self.contacts.get(sender)
        if peer and now - peer.heard_at > self._limits.stale_us:
            peer = None  # its clock may have been set back: what it says is new by its own reckoning
        if peer and (life, number) <= (peer.life, peer.number):
            return "old"
        if peer is None or life != peer.life:
            peer = self.contacts[sender] = Peer(life, number, now)
        peer.number, peer.heard_at = number, now
        return ""

    def sent_at(self, life: int, number: int) -> int | None:
        """When this head sent the message that another says it has heard; None: not lately, or not in this
        life."""
        return self._sent.get(number) if life == self.life else None

    def active_peers(self, now: int) -> list[int]:
        """The heads that lately asked for something, or may leave something of what is asked for here."""
        ours = {
            who
            for own in self.demands.values()
            for who, at in own.others.items()
            if now - at <= self._limits.known_us
        }
        ask = {
            who for who, p in self.contacts.items() if p.asks and now - p.heard_at <= self._limits.stale_us
        }
        return sorted(ours | ask)

    def compose(
        self,
        now: int,
        to: Iterable[int] | None = None,
    ) -> dict[int, LeasePage]:
        """What to tell each head now (`to`: these alone): this one's asks, busiest first, and what it gives,
        which counts as gone from here on. A head that is to be told nothing is left out."""
        wants = sorted(
            ((own.wants(now, self._limits), name) for name, own in self.demands.items()), reverse=True
        )
        asks = {
            volume: Ask(share, self.demands[volume].hosts)
            for share, volume in wants[: self._limits.say_volumes]
            if share > 0
        }
        told = {}
        for who in sorted(self.peer_numbers) if to is None else to:
            grants = self._make_grants(who, now)
            if asks or grants:
                told[who] = LeasePage(asks, grants)
        return told

    def next_number(self, now: int) -> int:
        """The number of a message that is sent now."""
        self._number += 1
        self._sent[self._number] = now
        while len(self._sent) > self._limits.remembered:
            del self._sent[next(iter(self._sent))]
        return self._number

    @property
    def last_number(self) -> int:
        """Of the last message."""
        return self._number

    def last_received(self, who: int) -> tuple[int, int]:
        """Life and number of the last message heard from a head."""
        peer = self.contacts.get(who)
        return (peer.life, peer.number) if peer else (0, 0)

    # What is given

    def _make_grants(self, who: int, now: int) -> dict[int, float]:
        peer = self.contacts.get(who)
        if peer is None or self.quarantined(now):
            return {}
        grants = {}
        for volume, (_, hosts, at) in list(peer.asks.items()):
            if now - at > self._limits.stale_us:
                del peer.asks[volume]
                continue
            share = self._grantable_share(volume, hosts, who, now)
            if share > 0:
                grants[volume] = share
                self._granted.setdefault(volume, {}).setdefault(who, []).append(
                    (share, now + self._quarantine_us)
                )
                self.recheck_at = now
        return grants

    def _grantable_share(self, volume: int, hosts: int, who: int, now: int) -> float:
        """What of this head's even part it can leave to that one: of what it does not want for itself, by how
        much each asker lacks; never what it has left to others already."""
        own = self.demands.get(volume)
        mine = own.wants(now, self._limits) if own else 0.0
        askers = [
            (peer, p.asks[volume][0])
            for peer, p in sorted(self.contacts.items())
            if volume in p.asks and now - p.asks[volume][2] <= self._limits.stale_us
        ]
        idle = max(0, hosts - 1 - len(askers))
        targets = fill(1.0, [mine, *(want for _, want in askers)] + [0.0] * idle)
        lacks = {
            peer: max(0.0, target - 1 / hosts) for (peer, _), target in zip(askers, targets[1:], strict=False)
        }
        if not lacks.get(who):
            return 0.0
        spare = max(0.0, 1 - targets[0] * hosts) * lacks[who] / sum(lacks.values())
        others = sum(
            self._granted_share(volume, taker, now) for taker in self._granted.get(volume, {}) if taker != who
        )
        locked = own.locked(now, self.window_us) * hosts if own else 0.0
        return max(0, int(min(spare, 1 - others - locked) * self._limits.steps)) / self._limits.steps

    def _granted_share(self, volume: int, taker: int, now: int) -> float:
        """The most that a head may still have of this one's part: each grant until it must have ended."""
        given = self._granted[volume][taker] = [g for g in self._granted[volume][taker] if g[1] > now]
        return max((share for share, _ in given), default=0.0)

    # What is this head's

    def usable_share(self, volume: int, now: int) -> float:
        """Of the limit, at this moment: what is left of its even part, and what others must have left to it.

        Which heads are the volume's others is not told: those that have asked for it are known. A head that
        does not know the volume leaves its even part all the same, but it may be none of them: for each that
        is not known, the least of the other heads' shares counts.
        """
        own = self.demands[volume]
        lent = (
            1.0
            if self.quarantined(now)
            else sum(self._granted_share(volume, taker, now) for taker in self._granted.get(volume, {}))
        )
        held = {who: share for who, (share, until) in self._received.get(volume, {}).items() if until > now}
        known = [who for who, at in own.others.items() if now - at <= self._limits.known_us]
        known = known if len(known) < own.hosts else []  # its heads have changed: nothing is known of them
        unknown = self._found and not self.window_us  # of a budget, every head is one of its hosts
        rest = [] if unknown else sorted(held.get(who, 0.0) for who in self.peer_numbers if who not in known)
        shares = [held.get(who, 0.0) for who in known] + rest[: own.hosts - 1 - len(known)]
        return (max(0.0, 1 - lent) + sum(shares)) / own.hosts

    def changed_shares(self, now: int) -> dict[str, float]:
        """The parts that have changed since they were last told; a call at each turn of the loop costs
        nothing while none can have. A lease that ran out while the process stood still is seen here, before
        the module may send."""
        if now < self.recheck_at:
            return {}
        changed: dict[str, float] = {}
        for volume, own in list(self.demands.items()):
            part = self.usable_share(volume, now)
            if part != self._shares.get(volume):
                self._shares[volume] = changed[own.name] = part
            # What is held of it at the module outlasts what is wanted: until then it must hear what is given.
            if now - own.rate.at > self._limits.known_us and part == 1 / own.hosts and not own.held:
                del self.demands[volume]
                self._received.pop(volume, None)
                self._shares.pop(volume, None)
        self._drop_expired(now)
        return changed

    def _drop_expired(self, now: int) -> None:
        """Drops what has ended, and finds out when the next thing does."""
        ends = []
        if self.quarantined(now):
            ends.append(NEVER_US if self.resumes_at is None else self.resumes_at)
        for volume, givers in list(self._received.items()):
            for who in [who for who, (_, until) in givers.items() if until <= now]:
                del givers[who]
            ends += [until for _, until in givers.values()]
            if not givers:
                del self._received[volume]
        for volume, takers in list(self._granted.items()):
            for who in list(takers):
                self._granted_share(volume, who, now)
                ends += [until for _, until in takers[who]]
                if not takers[who]:
                    del takers[who]
            if not takers:
                del self._granted[volume]
        self.recheck_at = min(ends, default=now + self._limits.lease_us)

    def current_shares(self) -> dict[str, float]:
        """The parts as the module has them; they hold until `look_at` at most."""
        return {own.name: self._shares[volume] for volume, own in self.demands.items()}

    # For operators

    def limit_rows(self, now: int) -> list[dict[str, object]]:
        """Of each limited volume asked for here: this head's part, and who has what of whose until when."""
        return [
            {
                "volume": own.name,
                "hosts": own.hosts,
                "part": round(self.usable_share(volume, now), 4),
                "wants": round(own.wants(now, self._limits), 4),
                "left": [
                    {"head": who, "share": share, "for_ms": (until - now) // 1000}
                    for who, given in sorted(self._granted.get(volume, {}).items())
                    for share, until in given[-1:]
                    if until > now
                ],
                "had": [
                    {"head": who, "share": share, "for_ms": (until - now) // 1000}
                    for who, (share, until) in sorted(self._received.get(volume, {}).items())
                    if until > now
                ],
            }
            for volume, own in sorted(self.demands.items(), key=lambda item: item[1].name)
        ]

    def member_rows(self, now: int) -> list[dict[str, object]]:
        """Each head of the tier: which life of it was heard last, and how long ago."""
        wanted = sum(own.wants(now, self._limits) > 0 for own in self.demands.values())
        return [
            {
                "head": who,
                "me": who == self.me,
                "life": self.life if who == self.me else peer.life if peer else None,
                "heard_ms": 0 if who == self.me else (now - peer.heard_at) // 1000 if peer else None,
                "asks": wanted if who == self.me else len(peer.asks) if peer else 0,
            }
            for who in sorted(self.peer_numbers | {self.me})
            for peer in [self.contacts.get(who)]
        ]
