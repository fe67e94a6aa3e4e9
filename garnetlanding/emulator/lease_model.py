"""Every course that three instances' leases can take within a horizon, explored breadth first.

Time goes in steps, the same for all instances (clocks that drift apart are lease_net.py's). In each step each
instance receives any of the messages on their way to it, may get a request for the volume, may start anew,
and sends. A message arrives in a later step, or never: the next one on the same link takes its place. So an
instance that is stalled is one whose messages arrive nowhere and that receives none. Within a step instances
do not touch each other, so one order of them stands for all. In each state the shares that the volume's
instances would use if they sent now are added up.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from garnetlanding.decision.estimators import EwmaRate
from garnetlanding.emulator.walk import Walk
from garnetlanding.peers.codec import LeaseMessage, tag
from garnetlanding.peers.demand import Demand
from garnetlanding.peers.leases import Leases
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.peer_contacts import InstanceIdentity, PeerContact

VOLUME = "v"
VOLUME_TAG = tag(VOLUME)
LIMIT = 40.0
ROUNDING_SLACK = 1e-9
# In steps: a lease holds for three, a message is believed for three, a demand lasts for one.
LIMITS = PeerLimits(
    lease_us=3,
    drift=0.0,
    stale_us=3,
    demand_memory_us=1000,
    demand_window_us=1,
    share_steps=4,
    remembered_messages=4,
)


@dataclass(frozen=True, slots=True)
class Scope:
    """What is explored: so many steps, and at most so many starts in one history."""

    instances: int = 3
    hosts: int = 2
    steps: int = 4
    starts: int = 1
    max_states: int = 2_000_000  # after which it is given up


@dataclass(frozen=True, slots=True)
class SentMessage:
    """A message on its way."""

    sender: int
    receiver: int
    sent_at: int
    content: LeaseMessage


@dataclass(frozen=True, slots=True)
class State:
    """Before instance `turn` has its turn in step `now`."""

    now: int
    turn: int
    instances: tuple[Leases, ...]
    in_transit: tuple[SentMessage, ...]
    starts: int


@dataclass(slots=True)
class Explored:
    """What an exploration came to."""

    states: int = 0
    moves: int = 0
    greatest_sum: float = 0.0  # of shares
    whole: bool = True  # nothing within the scope was left out
    shares: set[tuple[float, ...]] = field(default_factory=set)  # that the hosts had in some state


def clone(leases: Leases) -> Leases:
    """Return a copy that changes by itself; it shares what is never changed in place."""
    new = object.__new__(type(leases))
    new.__dict__.update(leases.__dict__)
    new.contacts = leases.contacts.copy()
    new.demands = {volume: _clone_demand(demand) for volume, demand in leases.demands.items()}
    new._shares = dict(leases._shares)
    new._received = leases._received.copy()
    new._granted = leases._granted.copy()
    return new


def _clone_demand(demand: Demand) -> Demand:
    rate = EwmaRate()
    rate.rate = demand.rate.rate
    rate.at = demand.rate.at
    return replace(demand, rate=rate, requested_by=dict(demand.requested_by))


def state_key(state: State) -> tuple[object, ...]:
    """Return the same key for states that cannot come to differ.

    Times count from now, a message's number only by when it was sent, and what has expired not at all.
    """
    instances = tuple(_instance_key(state, number) for number in range(len(state.instances)))
    in_transit = tuple(sorted(_message_key(state, message) for message in state.in_transit))
    return (state.now, state.turn, instances, in_transit, state.starts)


def _sent_ago(state: State, number: int, incarnation: int, message: int) -> int | None:
    """Return how long ago an instance sent that message; None where an answer to it counts for nothing."""
    sent_at = state.instances[number].contacts.sent_at(incarnation, message)
    if sent_at is None or sent_at + LIMITS.lease_us <= state.now:
        return None
    return state.now - sent_at


def _instance_key(state: State, number: int) -> tuple[object, ...]:
    leases = state.instances[number]
    now = state.now
    contacts = tuple(
        _contact_key(state, peer, contact)
        for peer, contact in sorted(leases.contacts.by_peer.items())
        if now - contact.received_at <= LIMITS.stale_us
    )
    demands = tuple(
        (demand.wanted_share(now, LIMITS), tuple(sorted(demand.requested_by)))
        for demand in leases.demands.values()
    )
    received = tuple(
        (peer, grant.share, grant.expires_at - now)
        for volume in leases._received.by_volume
        for peer, grant in leases._received.current(volume, now)
    )
    granted = tuple(
        (peer, tuple(sorted((g.share, g.expires_at - now) for g in grants if g.expires_at > now)))
        for receivers in leases._granted.by_volume.values()
        for peer, grants in sorted(receivers.items())
        if any(g.expires_at > now for g in grants)
    )
    quarantine = None if leases.resumes_at is None else max(0, leases.resumes_at - now)
    return (quarantine, contacts, demands, received, granted)


def _contact_key(state: State, peer: int, contact: PeerContact) -> tuple[object, ...]:
    return (
        peer,
        contact.last_message.incarnation == state.instances[peer].identity.incarnation,
        _sent_ago(state, peer, *contact.last_message),
        state.now - contact.received_at,
        tuple(
            (request.share, state.now - request.received_at)
            for request in contact.requests.values()
            if state.now - request.received_at <= LIMITS.stale_us
        ),
    )


def _message_key(state: State, message: SentMessage) -> tuple[int, int, object]:
    content = message.content
    rest = (
        state.now - message.sent_at,
        content.incarnation == state.instances[message.sender].identity.incarnation,
        _sent_ago(state, message.sender, content.incarnation, content.number),
        _sent_ago(state, message.receiver, content.acked_incarnation, content.acked_number),
        tuple(content.asks.values()),
        tuple(content.grants.values()),
    )
    return (message.sender, message.receiver, rest)  # a link has one message at most: that sorts them


def usable_shares(state: State, scope: Scope) -> tuple[float, ...]:
    """Return what each of the volume's instances would use if it sent now."""
    shares: list[float] = []
    for leases in state.instances[: scope.hosts]:
        looking = clone(leases)
        if VOLUME_TAG not in looking.demands:
            looking.demands[VOLUME_TAG] = Demand(VOLUME, scope.hosts, LIMIT)
        shares.append(looking.usable_share(VOLUME_TAG, state.now))
    return tuple(shares)


def moves(state: State, scope: Scope, kind: type[Leases]) -> Iterator[State]:
    """Yield every state that the instance whose turn it is may lead to.

    After the last instance the next step begins.
    """
    number = state.turn
    is_last = number + 1 == scope.instances
    now = state.now + 1 if is_last else state.now
    turn = 0 if is_last else number + 1
    # Of an instance whose turn was before, also what it has just sent: its next message would take the place.
    arriving = [
        message
        for message in state.in_transit
        if message.receiver == number and (message.sent_at < state.now or message.sender < number)
    ]
    for pick in range(1 << len(arriving)):
        received = [message for index, message in enumerate(arriving) if pick >> index & 1]
        leases = clone(state.instances[number])
        for message in received:
            leases.receive(message.sender, message.content, state.now)
        leases.changed_shares(state.now)
        others = tuple(message for message in state.in_transit if message not in received)
        for variant, starts in _requested_or_started(state, scope, leases, kind):
            new, in_transit = _send(variant, state.now, others)
            instances = (*state.instances[:number], new, *state.instances[number + 1 :])
            yield State(now, turn, instances, in_transit, starts)


def _requested_or_started(
    state: State, scope: Scope, leases: Leases, kind: type[Leases]
) -> Iterator[tuple[Leases, int]]:
    """Yield an instance as it is, with a request, and started anew; each with the starts by then."""
    yield leases, state.starts
    if leases.identity.number < scope.hosts:
        requested = clone(leases)
        requested.record_demand(VOLUME, scope.hosts, LIMIT, 1, state.now)
        requested.changed_shares(state.now)
        yield requested, state.starts
    if state.starts < scope.starts:
        identity = replace(leases.identity, incarnation=leases.identity.incarnation + 1)
        yield kind(LIMITS, identity, state.now), state.starts + 1


def _send(
    leases: Leases, now: int, in_transit: tuple[SentMessage, ...]
) -> tuple[Leases, tuple[SentMessage, ...]]:
    """Return the instance after it has sent, and the messages on their way then."""
    new = clone(leases)
    pages = new.compose(now)
    number = new.contacts.next_number(now)
    sender = new.identity.number
    sent = [
        SentMessage(
            sender,
            peer,
            now,
            LeaseMessage(new.identity.incarnation, number, *new.contacts.last_received(peer), *page),
        )
        for peer, page in pages.items()
    ]
    new.changed_shares(now)
    others = [message for message in in_transit if message.sender != sender or message.receiver not in pages]
    return new, (*others, *sent)


def explore(scope: Scope, kind: type[Leases] = Leases) -> Explored:
    """Explore a scope; end at the first state whose shares add up to more than 1."""
    # Instances that have run for long: what an earlier incarnation had granted has expired.
    instances = tuple(
        kind(LIMITS, InstanceIdentity(number, scope.instances, 1), -LIMITS.lease_us)
        for number in range(scope.instances)
    )
    found = Explored()
    walk = Walk(
        State(0, 0, instances, (), 0),
        state_key,
        lambda state: moves(state, scope, kind) if state.now < scope.steps else (),
        scope.max_states,
    )
    for state in walk:
        shares = usable_shares(state, scope)
        found.shares.add(shares)
        found.greatest_sum = max(found.greatest_sum, sum(shares))
        if found.greatest_sum > 1 + ROUNDING_SLACK:
            break
    found.states = walk.states
    found.moves = walk.moves
    found.whole = walk.is_complete
    return found
