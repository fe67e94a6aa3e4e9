"""Model checking of the lease protocol: all histories of a few instances up to a number of steps.

All instances share one clock that counts steps (lease_simulation.py simulates clocks that drift apart). In
each step each instance receives any subset of the messages in transit to it, may get a request for the
volume, may restart, and sends. A message arrives in a later step, or is lost when the next one on the same
link replaces it. A stalled instance is thus one whose messages are all lost and that receives none. Within a
step instances do not interact, so one order of them covers all. In each state the quotas that the volume's
hosts would use if they sent now are added up.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from garnetlanding.decision.estimators import EwmaRate
from garnetlanding.emulator.state_search import StateSearch
from garnetlanding.peers.demand import Demand, DemandTable
from garnetlanding.peers.lease_message import LeaseMessage
from garnetlanding.peers.leases import Leases
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.name_tag import name_tag
from garnetlanding.peers.peer_contacts import InstanceIdentity, PeerContact

VOLUME = "v"
VOLUME_TAG = name_tag(VOLUME)
LIMIT = 40.0
ROUNDING_SLACK = 1e-9
# Times are in steps.
LIMITS = PeerLimits(
    lease_us=3,
    max_clock_drift=0.0,
    peer_timeout_us=3,
    demand_ttl_us=1000,
    demand_window_us=1,
    quota_steps=4,
    remembered_messages=4,
)


@dataclass(frozen=True, slots=True)
class Scope:
    """Which histories are explored: their length in steps, and the restarts that one may contain."""

    instances: int = 3
    hosts: int = 2
    steps: int = 4
    starts: int = 1
    max_states: int = 2_000_000  # after which the exploration is given up


@dataclass(frozen=True, slots=True)
class SentMessage:
    """A message in transit."""

    sender: int
    receiver: int
    sent_at: int
    content: LeaseMessage


@dataclass(frozen=True, slots=True)
class State:
    """The instances and messages in step `now`, before instance `next_instance` acts."""

    now: int
    next_instance: int
    instances: tuple[Leases, ...]
    in_transit: tuple[SentMessage, ...]
    starts: int


@dataclass(slots=True)
class ExplorationResult:
    """The result of an exploration."""

    states: int = 0
    transitions: int = 0
    max_sum: float = 0.0  # of the hosts' quotas
    is_complete: bool = True  # every state within the scope was reached
    quotas: set[tuple[float, ...]] = field(default_factory=set)  # of the hosts, in each state


def clone(leases: Leases) -> Leases:
    """Return an independent copy that shares only immutable parts with the original."""
    new = object.__new__(type(leases))
    new.__dict__.update(leases.__dict__)
    new.contacts = leases.contacts.copy()
    new.demands = DemandTable(leases.limits)
    new.demands.by_tag = {volume: _clone_demand(demand) for volume, demand in leases.demands.by_tag.items()}
    new.reported_quotas = dict(leases.reported_quotas)
    new.received = leases.received.copy()
    new.granted = leases.granted.copy()
    return new


def _clone_demand(demand: Demand) -> Demand:
    rate = EwmaRate()
    rate.rate = demand.rate.rate
    rate.at = demand.rate.at
    return replace(demand, rate=rate, last_request_by_peer=dict(demand.last_request_by_peer))


def state_key(state: State) -> tuple[object, ...]:
    """Return a key that is equal for states with the same future.

    Times are relative to now, a message's number is replaced by its age, and expired entries are omitted.
    """
    instances = tuple(_instance_key(state, number) for number in range(len(state.instances)))
    in_transit = tuple(sorted(_message_key(state, message) for message in state.in_transit))
    return (state.now, state.next_instance, instances, in_transit, state.starts)


def _sent_ago(state: State, number: int, incarnation: int, message: int) -> int | None:
    """Return how long ago an instance sent that message; None if no lease can run from it any more."""
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
        if now - contact.received_at <= LIMITS.peer_timeout_us
    )
    demands = tuple(
        (demand.wanted_quota(now, LIMITS), tuple(sorted(demand.last_request_by_peer)))
        for demand in leases.demands.by_tag.values()
    )
    received = tuple(
        (peer, grant.fraction, grant.expires_at - now)
        for volume in leases.received.by_volume
        for peer, grant in leases.received.current(volume, now)
    )
    granted = tuple(
        (peer, tuple(sorted((g.fraction, g.expires_at - now) for g in grants if g.expires_at > now)))
        for receivers in leases.granted.by_volume.values()
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
            (request.quota, state.now - request.received_at)
            for request in contact.requests.values()
            if state.now - request.received_at <= LIMITS.peer_timeout_us
        ),
    )


def _message_key(state: State, message: SentMessage) -> tuple[int, int, object]:
    content = message.content
    contents = (
        state.now - message.sent_at,
        content.incarnation == state.instances[message.sender].identity.incarnation,
        _sent_ago(state, message.sender, content.incarnation, content.number),
        _sent_ago(state, message.receiver, content.acked_incarnation, content.acked_number),
        tuple(content.requests.values()),
        tuple(content.grants.values()),
    )
    # Sorting never compares the contents: a link holds one message at most.
    return (message.sender, message.receiver, contents)


def usable_quotas(state: State, scope: Scope) -> tuple[float, ...]:
    """Return the quota that each of the volume's hosts would use if it sent now."""
    quotas: list[float] = []
    for leases in state.instances[: scope.hosts]:
        queried = clone(leases)
        if VOLUME_TAG not in queried.demands.by_tag:
            queried.demands.by_tag[VOLUME_TAG] = Demand(VOLUME, scope.hosts, LIMIT)
        quotas.append(queried.usable_quota(VOLUME_TAG, state.now))
    return tuple(quotas)


def transitions(state: State, scope: Scope, lease_class: type[Leases]) -> Iterator[State]:
    """Yield every state that the next instance's action may lead to.

    The step ends after the last instance.
    """
    number = state.next_instance
    is_last = number + 1 == scope.instances
    now = state.now + 1 if is_last else state.now
    next_instance = 0 if is_last else number + 1
    # Includes messages that earlier instances sent in this step: the next one on a link replaces the last.
    arriving = [
        message
        for message in state.in_transit
        if message.receiver == number and (message.sent_at < state.now or message.sender < number)
    ]
    for subset in range(1 << len(arriving)):  # a bit for each message that arrives
        received = [message for index, message in enumerate(arriving) if subset >> index & 1]
        leases = clone(state.instances[number])
        for message in received:
            leases.receive(message.sender, message.content, state.now)
        leases.refresh_quotas(state.now)
        others = tuple(message for message in state.in_transit if message not in received)
        for variant, starts in _requested_or_started(state, scope, leases, lease_class):
            new, in_transit = _send(variant, state.now, others)
            instances = (*state.instances[:number], new, *state.instances[number + 1 :])
            yield State(now, next_instance, instances, in_transit, starts)


def _requested_or_started(
    state: State, scope: Scope, leases: Leases, lease_class: type[Leases]
) -> Iterator[tuple[Leases, int]]:
    """Yield an instance unchanged, with a request, and restarted, each with the number of restarts so far."""
    yield leases, state.starts
    if leases.identity.number < scope.hosts:
        requested = clone(leases)
        requested.record_demand(VOLUME, scope.hosts, LIMIT, 1, state.now)
        requested.refresh_quotas(state.now)
        yield requested, state.starts
    if state.starts < scope.starts:
        identity = replace(leases.identity, incarnation=leases.identity.incarnation + 1)
        yield lease_class(LIMITS, identity, state.now), state.starts + 1


def _send(
    leases: Leases, now: int, in_transit: tuple[SentMessage, ...]
) -> tuple[Leases, tuple[SentMessage, ...]]:
    """Let the instance send; return its new state and all messages that are then in transit.

    A new message replaces the one that the instance has in transit to the same peer.
    """
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
    new.refresh_quotas(now)
    others = [message for message in in_transit if message.sender != sender or message.receiver not in pages]
    return new, (*others, *sent)


def explore(scope: Scope, lease_class: type[Leases] = Leases) -> ExplorationResult:
    """Explore a scope; stop at the first state whose quotas add up to more than 1."""
    # Started a whole lease earlier, so no grant of an earlier incarnation is still in use.
    instances = tuple(
        lease_class(LIMITS, InstanceIdentity(number, scope.instances, 1), -LIMITS.lease_us)
        for number in range(scope.instances)
    )
    result = ExplorationResult()
    search = StateSearch(
        State(0, 0, instances, (), 0),
        state_key,
        lambda state: transitions(state, scope, lease_class) if state.now < scope.steps else (),
        scope.max_states,
    )
    for state in search:
        quotas = usable_quotas(state, scope)
        result.quotas.add(quotas)
        result.max_sum = max(result.max_sum, sum(quotas))
        if result.max_sum > 1 + ROUNDING_SLACK:
            break
    result.states = search.states
    result.transitions = search.transitions
    result.is_complete = search.is_complete
    return result
