"""Instances that exchange gossip within one process."""

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
)
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.local_observations import LocalObservations
from garnetlanding.peers.name_tag import name_tag
from tests.support.clock import MS, T0
from tests.support.decision_bench import make_settings, up_endpoint

LIMITS = PeerLimits()
OBJECTIVE_US = 200 * MS
SIX_BACKENDS = tuple(up_endpoint(f"n{i}", i) for i in range(6))
SERVED, REFUSED = Outcome.SERVED, Outcome.UNREACHABLE


def result(backend: str, outcome: Outcome, duration_us: int = MS, request: str = "r") -> api.Result:
    return api.Result(request, 0, backend, outcome, duration_us, False)


def observations_after(*events: api.Event, now: int = T0) -> LocalObservations:
    observations = LocalObservations(LIMITS)
    observations.observe_events(
        now, [api.EndpointListUpdate(SIX_BACKENDS, complete=True), *events], OBJECTIVE_US
    )
    return observations


def evidence_labels(observations: LocalObservations, now: int = T0) -> dict[str, str]:
    return {
        backend: evidence.kind.label for backend, evidence in observations.evidence(now, OBJECTIVE_US).items()
    }


def make_evidence(
    backend: str = "n0",
    age_ms: int = 0,
    uptime: int = MAX_UPTIME,
    kind: EvidenceKind = EvidenceKind.UNREACHABLE,
) -> Evidence:
    return Evidence(kind, name_tag(backend), uptime, 3, age_ms)


class GossipingInstances:
    """Three instances with six backends; each message arrives at the receiver's next step."""

    def __init__(self) -> None:
        self.now = T0
        self.detectors = [FailureDetector(LIMITS) for _ in range(3)]
        self.coordinators = [
            PeerCoordinator(
                Controller(make_settings(may_message_peers=True, instance_id=number), 1),
                incarnation=1,
                subsystems=PeerSubsystems(detector),
            )
            for number, detector in enumerate(self.detectors)
        ]
        self.inbox: list[list[api.Event]] = [
            [api.EndpointListUpdate(SIX_BACKENDS, complete=True, at_start=True)] for _ in range(3)
        ]
        self.sends: list[list[str]] = [[], [], []]

    def run(self, rounds: int, *given: tuple[int, api.Event]) -> None:
        for number, event in given:
            self.inbox[number].append(event)
        for _ in range(rounds):
            self.now += 50 * MS
            for number, coordinator in enumerate(self.coordinators):
                events = self.inbox[number]
                self.inbox[number] = []
                for action in coordinator.handle(self.now, events):
                    if isinstance(action, api.SendPeerMessage):
                        assert len(action.payload) <= LIMITS.datagram_bytes
                        assert action.recipient is not None
                        self.inbox[action.recipient].append(api.PeerMessage(number, action.payload))
                    elif isinstance(action, api.Send):
                        self.sends[number].append(action.request)
