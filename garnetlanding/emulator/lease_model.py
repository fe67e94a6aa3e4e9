"""Every course that three heads' leases can take within a horizon, explored breadth first.

Time goes in steps, the same for all heads (clocks that run apart are lease_net.py's). In each step each head
hears any of the messages on their way to it, may be asked for the volume, may start anew, and speaks. What is
said arrives in a later step, or never: the next message on the same link takes its place. So a head that
stands still is one whose messages arrive nowhere and that hears none. Within a step heads do not touch each
other, so one order of them stands for all. In each state the parts that the volume's heads would use if they
sent now are added up.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from garnetlanding.decision.estimators import EwmaRate
from garnetlanding.emulator.walk import Walk
from garnetlanding.peers.codec import LeaseMessage, tag
from garnetlanding.peers.demand import Demand
from garnetlanding.peers.leases import InstanceIdentity, Leases, PeerContact
from garnetlanding.peers.limits import PeerLimits

VOLUME, LIMIT = "v", 40.0
NAME = tag(VOLUME)
# In steps: a lease holds for three, a word is believed for three, a want lasts for one.
LIMITS = PeerLimits(lease_us=3, drift=0.0, stale_us=3, known_us=1000, span_us=1, steps=4, remembered=4)


@dataclass(frozen=True, slots=True)
class Scope:
    """What is explored: so many steps, and at most so many starts in one history."""

    heads: int = 3
    hosts: int = 2
    steps: int = 4
    starts: int = 1
    most: int = 2_000_000  # states, after which it is given up


@dataclass(frozen=True, slots=True)
class State:
    """Before head `turn` has its turn in step `now`."""

    now: int
    turn: int
    heads: tuple[Leases, ...]
    mail: tuple[tuple[int, int, int, LeaseMessage], ...]  # sender, receiver, when sent
    starts: int


@dataclass(slots=True)
class Explored:
    states: int = 0
    moves: int = 0
    most: float = 0.0  # greatest sum of parts
    whole: bool = True  # nothing within the scope was left out
    parts: set[tuple[float, ...]] = field(default_factory=set)


def clone(leases: Leases) -> Leases:
    new = object.__new__(type(leases))
    new.__dict__.update(leases.__dict__)
    new.contacts = {
        peer: PeerContact(contact.last_message, contact.received_at, dict(contact.requests))
        for peer, contact in leases.contacts.items()
    }
    new.demands = {}
    for name, own in leases.demands.items():
        rate = EwmaRate()
        rate.rate, rate.at = own.rate.rate, own.rate.at
        new.demands[name] = replace(own, rate=rate, requested_by=dict(own.requested_by))
    new._sent, new._shares = dict(leases._sent), dict(leases._shares)
    new._received = leases._received.copy()
    new._granted = leases._granted.copy()
    return new


def key(s: State) -> tuple[object, ...]:
    """The same for states that cannot come to differ: times count from now, a message's number only by when
    it was sent, and what has ended not at all."""
    now = s.now

    def sent(who: int, life: int, number: int) -> int | None:
        """How long ago a head sent that message; None where an answer to it counts for nothing."""
        at = s.heads[who].sent_at(life, number)
        return None if at is None or at + LIMITS.lease_us <= now else now - at

    heads = []
    for h in s.heads:
        peers = tuple(
            (
                who,
                p.last_message.incarnation == s.heads[who].identity.incarnation,
                sent(who, *p.last_message),
                now - p.received_at,
                tuple(
                    (request.share, now - request.received_at)
                    for request in p.requests.values()
                    if now - request.received_at <= LIMITS.stale_us
                ),
            )
            for who, p in sorted(h.contacts.items())
            if now - p.received_at <= LIMITS.stale_us
        )
        own = tuple((o.wanted_share(now, LIMITS), tuple(sorted(o.requested_by))) for o in h.demands.values())
        held = tuple(
            (peer, grant.share, grant.expires_at - now)
            for volume in h._received.by_volume
            for peer, grant in h._received.current(volume, now)
        )
        given = tuple(
            (peer, tuple(sorted((g.share, g.expires_at - now) for g in grants if g.expires_at > now)))
            for receivers in h._granted.by_volume.values()
            for peer, grants in sorted(receivers.items())
            if any(g.expires_at > now for g in grants)
        )
        heads.append(
            (max(0, h.resumes_at - now) if h.resumes_at is not None else None, peers, own, held, given)
        )
    mail = tuple(
        sorted(
            (
                a,
                b,
                now - at,
                m.incarnation == s.heads[a].identity.incarnation,
                sent(a, m.incarnation, m.number),
                sent(b, m.acked_incarnation, m.acked_number),
                tuple(m.asks.values()),
                tuple(m.grants.values()),
            )
            for a, b, at, m in s.mail
        )
    )
    return (now, s.turn, tuple(heads), mail, s.starts)


def usable_shares(s: State, scope: Scope) -> tuple[float, ...]:
    """What each of the volume's heads would use if it sent now."""
    found = []
    for head in s.heads[: scope.hosts]:
        looking = clone(head)
        if NAME not in looking.demands:
            looking.demands[NAME] = Demand(VOLUME, scope.hosts, LIMIT)
        found.append(looking.usable_share(NAME, s.now))
    return tuple(found)


def _with(s: State, me: int, head: Leases) -> tuple[Leases, ...]:
    return (*s.heads[:me], head, *s.heads[me + 1 :])


def moves(s: State, scope: Scope, kind: type[Leases]) -> Iterator[State]:
    """All that the head whose turn it is may do; after the last one the next step begins."""
    me = s.turn
    now, turn = (s.now, me + 1) if me + 1 < scope.heads else (s.now + 1, 0)
    # Of a head whose turn was before, also what it has just said: its next word would take the place of that.
    mine = [m for m in s.mail if m[1] == me and (m[2] < s.now or m[0] < me)]
    for pick in range(1 << len(mine)):
        heard = [m for i, m in enumerate(mine) if pick >> i & 1]
        head = clone(s.heads[me])
        for sender, _, _, message in heard:
            head.receive(sender, message, s.now)
        head.changed_shares(s.now)
        rest = tuple(m for m in s.mail if m not in heard)
        for one, starts in _asked(s, scope, me, head, kind):
            new, mail = _say(one, me, s.now, rest)
            yield State(now, turn, _with(s, me, new), mail, starts)


def _asked(s: State, scope: Scope, me: int, head: Leases, kind: type[Leases]) -> Iterator[tuple[Leases, int]]:
    yield head, s.starts
    if me < scope.hosts:
        asked = clone(head)
        asked.record_demand(VOLUME, scope.hosts, LIMIT, 1, s.now)
        asked.changed_shares(s.now)
        yield asked, s.starts
    if s.starts < scope.starts:
        yield (
            kind(LIMITS, replace(head.identity, incarnation=head.identity.incarnation + 1), s.now),
            s.starts + 1,
        )


def _say(
    head: Leases,
    me: int,
    now: int,
    mail: tuple[tuple[int, int, int, LeaseMessage], ...],
) -> tuple[Leases, tuple[tuple[int, int, int, LeaseMessage], ...]]:
    new = clone(head)
    told = new.compose(now)
    number = new.next_number(now)
    fresh = [
        (me, who, now, LeaseMessage(new.identity.incarnation, number, *new.last_received(who), asks, grants))
        for who, (asks, grants) in told.items()
    ]
    new.changed_shares(now)
    return new, (*(m for m in mail if m[0] != me or m[1] not in told), *fresh)


def explore(scope: Scope, kind: type[Leases] = Leases) -> Explored:
    """Ends at the first state whose parts add up to more than 1."""
    # Heads that have run for long: what an earlier life had given has ended.
    start = State(
        0,
        0,
        tuple(
            kind(LIMITS, InstanceIdentity(me, scope.heads, 1), -LIMITS.lease_us) for me in range(scope.heads)
        ),
        (),
        0,
    )
    found = Explored()
    walk = Walk(start, key, lambda s: moves(s, scope, kind) if s.now < scope.steps else (), scope.most)
    for state in walk:
        sums = usable_shares(state, scope)
        found.parts.add(sums)
        found.most = max(found.most, sum(sums))
        if found.most > 1 + 1e-9:
            break
    found.states, found.moves, found.whole = walk.states, walk.moves, walk.whole
    return found
