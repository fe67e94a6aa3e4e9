"""Model checking of membership: every state that a small group of instances reaches in some transitions.

Instances start, send, receive messages (at any later moment, or never), crash, restart, and leave. In each
state the even quotas of all running instances are added up.

The model has no clock: an action that depends on time (forming a new group) may happen at any moment.
"""

from __future__ import annotations

import copy
from collections.abc import Iterator
from dataclasses import dataclass, replace

from garnetlanding.emulator.state_search import StateSearch
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.membership import Membership
from garnetlanding.peers.membership_table import InstanceRecord

LIMITS = PeerLimits(bootstrap_us=0)
RESTART_INCARNATION = 10  # of the first restarted instance; incarnations begin at 1
ROUNDING_SLACK = 1e-9  # of a sum of quotas


@dataclass(frozen=True, slots=True)
class Scope:
    """The limits of an exploration."""

    instances: int = 3
    seeds: int = 2  # the first instances
    max_depth: int = 8  # transitions from the initial state
    restarts: int = 1  # of instances that crashed or left
    max_states: int = 300_000  # after which the exploration is given up


@dataclass(frozen=True, slots=True)
class TableMessage:
    """A membership message: the sender's table, and whether the sender has joined."""

    records: tuple[InstanceRecord, ...]
    digest: bytes
    joined: bool


@dataclass(frozen=True, slots=True)
class Delivery:
    """A message in transit."""

    sender: int
    receiver: int
    message: TableMessage


@dataclass(frozen=True, slots=True)
class State:
    """The running instances, and the messages in transit between them."""

    instances: tuple[Membership | None, ...]  # None: not running
    deliveries: tuple[Delivery, ...]  # the latest on each link
    restarts: int

    def with_instance(self, number: int, members: Membership | None) -> State:
        """Return the state with one instance replaced, or stopped (None)."""
        return replace(self, instances=(*self.instances[:number], members, *self.instances[number + 1 :]))


@dataclass(slots=True)
class ExplorationResult:
    """The result of an exploration."""

    states: int = 0
    transitions: int = 0
    max_quota_sum: float = 0.0
    max_joined: int = 0  # members at a time
    is_complete: bool = True


def address_of(number: int) -> str:
    """Return the address of an instance."""
    return f"127.0.0.{number + 1}:7946"


def new_instance(scope: Scope, number: int, incarnation: int) -> Membership:
    """Return the membership of an instance that has just started."""
    seeds = [address_of(seed) for seed in range(scope.seeds)]
    return Membership(LIMITS, number, incarnation, address_of(number), seeds, 0)


def key(state: State) -> object:
    """Return a key that is equal for equivalent states: tables, confirmations, and messages in transit."""
    instances = tuple(None if members is None else _instance_key(members) for members in state.instances)
    deliveries = sorted(
        (delivery.sender, delivery.receiver, delivery.message.digest, delivery.message.joined)
        for delivery in state.deliveries
    )
    return instances, tuple(deliveries), state.restarts


def _instance_key(members: Membership) -> object:
    return (
        tuple(sorted(members.table.records.values())),
        tuple(sorted(members.join_progress.confirmed_by)),
        members.join_progress.has_sponsor,
        members.join_progress.has_joined,
        members.join_progress.bootstrap_at is None,
    )


def transitions(state: State, scope: Scope) -> Iterator[State]:
    """Yield every state that is one transition away."""
    for number, members in enumerate(state.instances):
        if members is None:
            if state.restarts < scope.restarts:
                started = new_instance(scope, number, RESTART_INCARNATION + state.restarts)
                yield replace(state.with_instance(number, started), restarts=state.restarts + 1)
            continue
        yield from _sends(state, number, members, scope)
        yield from _joins(state, number, members)
        if _may_stop(state, number, scope):
            yield state.with_instance(number, None)
            yield from _leaves(state, number, members, scope)
    yield from _receives(state)


def _sends(state: State, number: int, members: Membership, scope: Scope) -> Iterator[State]:
    message = TableMessage(tuple(members.table.records.values()), members.table.digest, members.joined)
    for receiver in range(scope.instances):
        if receiver != number and (receiver in members.table.records or receiver < scope.seeds):
            others = tuple(
                delivery
                for delivery in state.deliveries
                if (delivery.sender, delivery.receiver) != (number, receiver)
            )
            yield replace(state, deliveries=(*others, Delivery(number, receiver, message)))


def _joins(state: State, number: int, members: Membership) -> Iterator[State]:
    updated = copy.deepcopy(members)
    updated.update_joined(0)
    if updated.joined != members.joined:
        yield state.with_instance(number, updated)


def _may_stop(state: State, number: int, scope: Scope) -> bool:
    """Return whether an instance may stop: at least one seed has to keep running."""
    others = [members for i, members in enumerate(state.instances) if i != number]
    return number >= scope.seeds or any(members is not None for members in others[: scope.seeds - 1])


def _leaves(state: State, number: int, members: Membership, scope: Scope) -> Iterator[State]:
    """Yield the state in which an instance has left, with its last message in transit to all it knows."""
    last = copy.deepcopy(members)
    last.leave()
    message = TableMessage(tuple(last.table.records.values()), last.table.digest, joined=False)
    others = tuple(delivery for delivery in state.deliveries if delivery.sender != number)
    sent = tuple(
        Delivery(number, receiver, message)
        for receiver in range(scope.instances)
        if receiver != number and receiver in members.table.records
    )
    yield replace(state.with_instance(number, None), deliveries=(*others, *sent))


def _receives(state: State) -> Iterator[State]:
    for delivery in state.deliveries:
        members = state.instances[delivery.receiver]
        if members is None:
            continue
        updated = copy.deepcopy(members)
        updated.merge(delivery.message.records)
        updated.record_contact(
            delivery.sender, delivery.message.digest, 0, sender_joined=delivery.message.joined
        )
        others = tuple(other for other in state.deliveries if other != delivery)
        yield replace(state.with_instance(delivery.receiver, updated), deliveries=others)


def explore(scope: Scope) -> ExplorationResult:
    """Explore all states; stop at the first one whose even quotas add up to more than 1."""
    instances = tuple(new_instance(scope, number, 1) for number in range(scope.instances))
    result = ExplorationResult()
    search = StateSearch(
        State(instances, (), 0),
        key,
        lambda state: transitions(state, scope),
        scope.max_states,
        scope.max_depth,
    )
    for state in search:
        running = [members for members in state.instances if members is not None]
        result.max_quota_sum = max(result.max_quota_sum, sum(members.even_quota for members in running))
        result.max_joined = max(result.max_joined, sum(members.joined for members in running))
        if result.max_quota_sum > 1 + ROUNDING_SLACK:
            break
    result.states = search.states
    result.transitions = search.transitions
    result.is_complete = search.is_complete
    return result
