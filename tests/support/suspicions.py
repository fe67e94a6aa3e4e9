"""Instances that exchange suspicions in one process, for the tests of gossip."""

from __future__ import annotations

from garnetlanding.decision import interface as api
from garnetlanding.decision.control import Controller
from garnetlanding.decision.interface import Outcome
from garnetlanding.peers.coordinator import PeerCoordinator, PeerSubsystems
from garnetlanding.peers.failure_detector import FailureDetector
from garnetlanding.peers.gossip_message import (
    MAX_UPTIME,
    Evidence,
    EvidenceKind,
    tag,
)
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.local_observations import LocalObservations
from tests.support.clock import MS, T0
from tests.support.decision_bench import make_settings, up_endpoint

LIMITS = PeerLimits()
AIM = 200 * MS
SIX = tuple(up_endpoint(f"n{i}", i) for i in range(6))
SERVED, REFUSED = Outcome.SERVED, Outcome.UNREACHABLE


def result(node: str, outcome: Outcome, took: int = MS, request: str = "r") -> api.Result:
    return api.Result(request, 0, node, outcome, took, False)


def sightings(*events: api.Event, now: int = T0) -> LocalObservations:
    seen = LocalObservations(LIMITS)
    seen.observe_events(now, [api.EndpointListUpdate(SIX, whole=True), *events], AIM)
    return seen


def told(seen: LocalObservations, now: int = T0) -> dict[str, str]:
    return {node: e.kind.label for node, e in seen.evidence(now, AIM).items()}


# What a word counts for


def dead(
    node: str = "n0", age_ms: int = 0, life: int = MAX_UPTIME, kind: EvidenceKind = EvidenceKind.UNREACHABLE
) -> Evidence:
    return Evidence(kind, tag(node), life, 3, age_ms)


# Heads in one process


class Heads:
    """Three heads before two nodes; what they tell arrives at once, unless a test cuts it."""

    def __init__(self) -> None:
        self.now = T0
        self.fleets = [FailureDetector(LIMITS) for _ in range(3)]
        self.talks = [
            PeerCoordinator(
                Controller(make_settings(may_message_peers=True, instance_id=me), 1),
                incarnation=1,
                subsystems=PeerSubsystems(fleet),
            )
            for me, fleet in enumerate(self.fleets)
        ]
        self.inbox: list[list[api.Event]] = [
            [api.EndpointListUpdate(SIX, whole=True, at_start=True)] for _ in range(3)
        ]
        self.sends: list[list[str]] = [[], [], []]

    def run(self, rounds: int, *given: tuple[int, api.Event]) -> None:
        for me, event in given:
            self.inbox[me].append(event)
        for _ in range(rounds):
            self.now += 50 * MS
            for me, talk in enumerate(self.talks):
                events, self.inbox[me] = self.inbox[me], []
                for action in talk.handle(self.now, events):
                    if isinstance(action, api.SendPeerMessage):
                        assert len(action.payload) <= LIMITS.datagram_bytes
                        self.inbox[action.to].append(api.PeerMessage(me, action.payload))
                    elif isinstance(action, api.Send):
                        self.sends[me].append(action.request)
