"""Observations of each listed backend by this instance, and the evidence for peers that follows from them.

Observes the events passed to the decision module and the actions that it returns; makes no decision about
requests. Sans-IO: no clock and no sockets. Times are in microseconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from garnetlanding.decision import interface as api
from garnetlanding.decision.interface import Outcome
from garnetlanding.peers.gossip_message import MAX_UPTIME, Evidence, EvidenceKind
from garnetlanding.peers.limits import MS, PeerLimits
from garnetlanding.peers.name_tag import name_tag

UPTIME_UNIT_US = 100_000  # unit of the uptimes in evidence
RESPONSES = (Outcome.SERVED, Outcome.ERROR, Outcome.FULL)  # outcomes with a response from the backend
NOT_RESPONDING = (EvidenceKind.UNREACHABLE, EvidenceKind.UNRESPONSIVE)


@dataclass(slots=True)
class Streak:
    """Consecutive events of one kind."""

    count: int = 0
    last_at: int = 0  # time of the last event; undefined while `count` is 0

    def extend(self, now: int) -> None:
        """Add an event."""
        self.count += 1
        self.last_at = now

    def reset(self) -> None:
        """End the streak after an event of another kind."""
        self.count = 0


@dataclass(frozen=True, slots=True)
class Finding:
    """A condition of a backend that the observations show."""

    kind: EvidenceKind
    count: int  # of the events observed
    observed_at: int  # time of the last of these events


@dataclass(slots=True)
class Observation:
    """The observations of one incarnation of one backend.

    Fields ending in `_at` are the times of the last such event, or None if there was none.
    """

    endpoint: api.Endpoint
    responded_at: int | None = None
    served_at: int | None = None
    prompt_at: int | None = None  # served within the tightest latency objective
    in_flight: dict[str, int] = field(default_factory=dict)  # by request: when it was first sent
    refused: Streak = field(default_factory=Streak)  # connections
    timed_out: Streak = field(default_factory=Streak)  # attempts
    rejected: Streak = field(default_factory=Streak)  # attempts that an overloaded backend rejected
    served: int = 0  # attempts
    latency_us: float = 0.0  # exponential moving average over attempts that were served
    recovered_at: int | None = None  # responded after it was unreachable or unresponsive

    def contradicted_at(self, kind: EvidenceKind) -> int | None:
        """Return when this instance last observed the contrary of such evidence, or None if never."""
        if kind in NOT_RESPONDING:
            return self.responded_at
        if kind is EvidenceKind.OVERLOADED:
            return self.served_at
        return self.prompt_at

    def overdue(self, sent_before: int) -> int:
        """Return how many requests in flight were sent by a time; 0 if the backend has responded since."""
        if self.responded_at is not None and self.responded_at > sent_before:
            return 0
        return sum(sent_at <= sent_before for sent_at in self.in_flight.values())


class LocalObservations:
    """The observations of all listed backends that are up and not administratively disabled."""

    def __init__(self, limits: PeerLimits) -> None:
        self._limits = limits
        self.backends: dict[str, Observation] = {}
        self._names_by_tag: dict[int, str] = {}

    def by_tag(self, backend_tag: int) -> Observation | None:
        """Return the observations of the backend whose name has a tag (`name_tag`), if it is listed."""
        name = self._names_by_tag.get(backend_tag)
        return None if name is None else self.backends.get(name)

    def observe_events(self, now: int, events: Iterable[api.Event], tightest_objective_us: int) -> None:
        """Record what events show of backends, before the decision module handles the events.

        `tightest_objective_us` is the tightest latency objective of all request classes.
        """
        for event in events:
            match event:
                case api.EndpointListUpdate():
                    self._update_endpoints(event)
                case api.Result():
                    if observation := self.backends.get(event.backend):
                        self._observe_result(observation, event, now, tightest_objective_us)

    def observe_actions(self, now: int, actions: Iterable[api.Action]) -> None:
        """Record which requests the decision module sends to each backend."""
        for action in actions:
            if isinstance(action, api.Send) and (observation := self.backends.get(action.backend)):
                observation.in_flight.setdefault(action.request, now)

    def _update_endpoints(self, update: api.EndpointListUpdate) -> None:
        endpoints = {endpoint.backend: endpoint for endpoint in update.entries}
        if update.complete:
            for name in set(self.backends) - set(endpoints):
                self._drop(name)
        for name, endpoint in endpoints.items():
            known = self.backends.get(name)
            if endpoint.state is not api.EndpointState.UP or endpoint.admin_disabled:
                self._drop(name)
            elif known is None or known.endpoint.started_us != endpoint.started_us:
                self.backends[name] = Observation(endpoint)
                self._names_by_tag[name_tag(name)] = name

    def _drop(self, name: str) -> None:
        if self.backends.pop(name, None):
            self._names_by_tag.pop(name_tag(name), None)

    def _observe_result(
        self, observation: Observation, result: api.Result, now: int, tightest_objective_us: int
    ) -> None:
        responded = result.outcome in RESPONSES
        if responded:
            finding = self._assess(observation, now, tightest_objective_us)
            if finding is not None and finding.kind in NOT_RESPONDING:
                observation.recovered_at = now
        observation.in_flight.pop(result.request, None)
        if responded:
            observation.responded_at = now
            observation.refused.reset()
            observation.timed_out.reset()
        match result.outcome:
            case Outcome.SERVED:
                self._observe_served(observation, result.duration_us, now, tightest_objective_us)
            case Outcome.UNREACHABLE:
                observation.refused.extend(now)
            case Outcome.TIMEOUT:
                observation.timed_out.extend(now)
            case Outcome.FULL:
                observation.rejected.extend(now)

    def _observe_served(
        self, observation: Observation, duration_us: int, now: int, tightest_objective_us: int
    ) -> None:
        observation.served_at = now
        observation.rejected.reset()
        if duration_us <= tightest_objective_us:
            observation.prompt_at = now
        gain = self._limits.latency_gain if observation.served else 1.0
        observation.latency_us += (duration_us - observation.latency_us) * gain
        observation.served += 1

    def evidence(self, now: int, tightest_objective_us: int) -> dict[str, Evidence]:
        """Return the evidence to send, by backend, the most recent first.

        There is at most one entry per backend, and none older than `evidence_us`.
        """
        found: dict[str, Evidence] = {}
        for name, observation in self.backends.items():
            finding = self._assess(observation, now, tightest_objective_us)
            if finding is None or now - finding.observed_at > self._limits.evidence_us:
                continue
            age_ms = -(-(now - finding.observed_at) // MS)
            uptime = uptime_of(observation.endpoint, now)
            found[name] = Evidence(finding.kind, name_tag(name), uptime, finding.count, age_ms)
        return dict(sorted(found.items(), key=lambda item: item[1].age_ms))

    def _assess(self, observation: Observation, now: int, tightest_objective_us: int) -> Finding | None:
        """Return the most severe condition that the observations of a backend show, if any."""
        limits = self._limits
        refused = observation.refused
        if refused.count >= limits.refused_streak:
            return Finding(EvidenceKind.UNREACHABLE, refused.count, refused.last_at)
        overdue = observation.overdue(now - int(limits.overdue_after_objectives * tightest_objective_us))
        timed_out = observation.timed_out
        if overdue + timed_out.count >= limits.overdue_requests:
            observed_at = now if overdue else timed_out.last_at
            return Finding(EvidenceKind.UNRESPONSIVE, overdue + timed_out.count, observed_at)
        rejected = observation.rejected
        if rejected.count >= limits.rejected_streak:
            return Finding(EvidenceKind.OVERLOADED, rejected.count, rejected.last_at)
        is_slow = observation.latency_us > limits.slow_objectives * tightest_objective_us
        if is_slow and observation.served >= limits.min_latency_samples and observation.served_at is not None:
            return Finding(EvidenceKind.SLOW, observation.served, observation.served_at)
        if observation.recovered_at is not None:
            return Finding(EvidenceKind.RECOVERED, 1, observation.recovered_at)
        return None


def uptime_of(endpoint: api.Endpoint, now: int) -> int:
    """Return a backend's uptime in units of 0.1 s, at most `MAX_UPTIME`, which may also mean unknown."""
    if not endpoint.started_us:
        return MAX_UPTIME
    return min(MAX_UPTIME, max(0, now - endpoint.started_us) // UPTIME_UNIT_US)
