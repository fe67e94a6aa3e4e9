"""Model checking of the suspicion protocol for one backend: every state reachable in a few steps.

In each step each instance, in turn, receives any subset of the messages in transit to it; the backend serves
one of its requests, refuses several, or gets none; then the instance sends its claims. A message arrives in a
later step, or is lost when the next one on the same link replaces it. In each state, the suspicions of every
instance are checked against the observations of the others.
"""

from __future__ import annotations

import copy
from collections.abc import Iterator
from dataclasses import dataclass, field

from garnetlanding.decision import interface as api
from garnetlanding.decision.interface import Outcome
from garnetlanding.emulator.state_search import StateSearch
from garnetlanding.peers.gossip_message import Evidence
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.local_observations import LocalObservations
from garnetlanding.peers.suspicions import SuspicionTable

STEP_US = 1000
OBJECTIVE_US = 100  # the latency objective
BACKEND = "n0"
LIMITS = PeerLimits(evidence_us=3 * STEP_US, refutation_grace_us=STEP_US, credit_recovery_us=1000 * STEP_US)
LISTED = api.EndpointListUpdate((api.Endpoint(BACKEND, 0, "z", api.EndpointState.UP),), complete=True)


@dataclass(frozen=True, slots=True)
class Scope:
    """The limits of an exploration."""

    instances: int = 3
    steps: int = 4
    max_states: int = 400_000  # after which the exploration is given up


def _listed_backend() -> LocalObservations:
    observations = LocalObservations(LIMITS)
    observations.observe_events(0, [LISTED], OBJECTIVE_US)
    return observations


@dataclass(slots=True)
class Instance:
    """One instance; times are None where there was no such event."""

    observations: LocalObservations = field(default_factory=_listed_backend)
    suspicions: SuspicionTable = field(default_factory=lambda: SuspicionTable(LIMITS))
    # By peer: when it sent the last message received from it.
    received: dict[int, int] = field(default_factory=dict)
    observed_at: int | None = None  # its last observation of a refused connection or a recovery
    served_at: int | None = None

    def is_suspicious(self, now: int) -> bool:
        """Return whether it suspects the backend because of its peers' claims."""
        return bool(self.suspicions.suspected(now, self.observations))


@dataclass(frozen=True, slots=True)
class SentMessage:
    """A message in transit."""

    sender: int
    receiver: int
    sent_at: int
    acked_sent_at: int | None  # when the receiver sent the acknowledged message; None: there is none
    evidence: tuple[Evidence, ...]


@dataclass(frozen=True, slots=True)
class State:
    """The state at `now`, before the step of instance `next_instance`."""

    now: int
    next_instance: int
    instances: tuple[Instance, ...]
    in_transit: tuple[SentMessage, ...]


@dataclass(slots=True)
class ExplorationResult:
    """The result of an exploration."""

    states: int = 0
    transitions: int = 0
    suspicious_states: int = 0  # states in which some instance suspects the backend
    violation: str | None = None  # of the first invariant that did not hold; None: all held
    is_complete: bool = True  # all states within the scope were explored


def _since(at: int | None, now: int) -> int | None:
    return None if at is None else now - at


def state_key(state: State) -> object:
    """Return a key that is equal for equivalent states."""
    in_transit = sorted(
        (
            message.sender,
            message.receiver,
            -1 if message.acked_sent_at is None else message.acked_sent_at,
            message.sent_at,
            message.evidence,
        )
        for message in state.in_transit
    )
    instances = tuple(_instance_key(state, instance) for instance in state.instances)
    return (state.now, state.next_instance, instances, tuple(in_transit))


def _instance_key(state: State, instance: Instance) -> object:
    now = state.now
    observation = instance.observations.backends[BACKEND]
    claims = {
        peer: (claim.kind, now - claim.latest_at, claim.expires_at - now, _since(claim.refuted_at, now))
        for peer, claim in instance.suspicions.claims_about(BACKEND).items()
    }
    peers = range(len(state.instances))
    return (
        _since(observation.responded_at, now),
        observation.refused.count,
        now - observation.refused.last_at if observation.refused.count else None,
        observation.recovered_at is not None,
        tuple(sorted(claims.items())),
        tuple(round(instance.suspicions.credits.of(peer, now), 2) for peer in peers),
        tuple(sorted(instance.received.items())),
        instance.observed_at,
    )


def find_violation(state: State) -> str | None:
    """Describe a suspicion that violates an invariant; None where all invariants hold."""
    for number, instance in enumerate(state.instances):
        if not instance.is_suspicious(state.now):
            continue
        observed = [
            other.observed_at
            for peer, other in enumerate(state.instances)
            if peer != number and other.observed_at is not None
        ]
        if not observed:
            return f"instance {number} suspects what nobody else has observed"
        if max(observed) <= state.now - LIMITS.evidence_us:
            return f"instance {number} suspects what was observed {state.now - max(observed)} us ago"
        if instance.served_at == state.now:
            return f"instance {number} suspects what has just served it"
    return None


def transitions(state: State, scope: Scope) -> Iterator[State]:
    """Yield every state that the step of the next instance can lead to."""
    number = state.next_instance
    is_last = number + 1 == scope.instances
    # Includes messages that earlier instances sent in this step: the next one on a link replaces the last.
    arriving = [
        message
        for message in state.in_transit
        if message.receiver == number and (message.sent_at < state.now or message.sender < number)
    ]
    for subset in range(1 << len(arriving)):  # a bit for each message that arrives
        received = [message for index, message in enumerate(arriving) if subset >> index & 1]
        others = [m for m in state.in_transit if m not in received and m.sender != number]
        for outcome in (None, Outcome.SERVED, Outcome.UNREACHABLE):
            instance = copy.deepcopy(state.instances[number])
            _receive(instance, received, state.now)
            _observe(instance, outcome, state.now)
            sent = _send(instance, number, scope.instances, state.now)
            yield State(
                state.now + STEP_US if is_last else state.now,
                0 if is_last else number + 1,
                (*state.instances[:number], instance, *state.instances[number + 1 :]),
                (*others, *sent),
            )


def _receive(instance: Instance, messages: list[SentMessage], now: int) -> None:
    for message in messages:
        instance.suspicions.receive(
            message.sender, message.evidence, message.acked_sent_at, now, instance.observations
        )
        instance.received[message.sender] = message.sent_at


def _observe(instance: Instance, outcome: Outcome | None, now: int) -> None:
    """Let the backend respond to an instance; None: it gets no request."""
    if outcome is None:
        return
    if outcome is Outcome.SERVED:
        instance.served_at = now
        if instance.observations.backends[BACKEND].refused.count:
            instance.observed_at = now  # a recovery
        results = [api.Result("r", 0, BACKEND, outcome, OBJECTIVE_US // 2, True)]
    else:
        instance.observed_at = now
        # The consecutive refusals that count as evidence.
        results = [api.Result("r", 0, BACKEND, outcome, 1, False)] * LIMITS.refused_streak
    instance.observations.observe_events(now, results, OBJECTIVE_US)


def _send(instance: Instance, number: int, instances: int, now: int) -> list[SentMessage]:
    evidence = tuple(instance.observations.evidence(now, OBJECTIVE_US).values())
    return [
        SentMessage(number, peer, now, instance.received.get(peer), evidence)
        for peer in range(instances)
        if peer != number
    ]


def explore(scope: Scope) -> ExplorationResult:
    """Explore a scope; stop at the first state in which an invariant does not hold."""
    result = ExplorationResult()
    search = StateSearch(
        State(STEP_US, 0, tuple(Instance() for _ in range(scope.instances)), ()),
        state_key,
        lambda state: transitions(state, scope) if state.now <= scope.steps * STEP_US else (),
        scope.max_states,
    )
    for state in search:
        result.suspicious_states += any(instance.is_suspicious(state.now) for instance in state.instances)
        result.violation = find_violation(state)
        if result.violation:
            break
    result.states = search.states
    result.transitions = search.transitions
    result.is_complete = search.is_complete and not result.violation
    return result
