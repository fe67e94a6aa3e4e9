"""What this head itself has seen of each listed server, from the events and actions that pass to and from the
decision module. Observes; decides nothing for a request. No clock, no socket.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from garnetlanding.decision import interface as api
from garnetlanding.decision.interface import Outcome
from garnetlanding.peers.gossip_message import MAX_UPTIME, Evidence, EvidenceKind, tag
from garnetlanding.peers.limits import PeerLimits

TENTH = 100_000
NEVER = -(1 << 62)
SPOKE = (Outcome.SERVED, Outcome.ERROR, Outcome.FULL)


@dataclass(slots=True)
class Observation:
    """Of one life of one server. Times are those of the last such observation."""

    entry: api.Endpoint
    heard_at: int = NEVER  # any answer
    served_at: int = NEVER
    quick_at: int = NEVER  # served within the tightest aim
    out: dict[str, int] = field(default_factory=dict)  # requests sent and unanswered, and when
    refused: int = 0  # in a row
    refused_at: int = NEVER
    unheard: int = 0  # attempts given up, in a row
    unheard_at: int = NEVER
    full: int = 0  # in a row
    full_at: int = NEVER
    answers: int = 0
    latency: float = 0.0  # mean, of served ones
    back_at: int = NEVER  # answered again after it was dead or silent

    def proof_at(self, kind: EvidenceKind) -> int:
        """The last moment at which this head saw the contrary."""
        if kind in (EvidenceKind.UNREACHABLE, EvidenceKind.UNRESPONSIVE):
            return self.heard_at
        return self.served_at if kind is EvidenceKind.OVERLOADED else self.quick_at


class LocalObservations:
    def __init__(self, limits: PeerLimits) -> None:
        self._limits = limits
        self.backends: dict[str, Observation] = {}
        self.names_by_tag: dict[int, str] = {}  # by tag

    def observe_events(self, now: int, events: Iterable[api.Event], tightest_us: int) -> None:
        """Before the module is told of them."""
        for event in events:
            match event:
                case api.EndpointListUpdate():
                    self._listed(event)
                case api.Result():
                    if sight := self.backends.get(event.node):
                        self._ended(sight, event, now, tightest_us)

    def observe_actions(self, now: int, actions: Iterable[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.Send) and (sight := self.backends.get(action.node)):
                sight.out.setdefault(action.request, now)

    def _listed(self, event: api.EndpointListUpdate) -> None:
        if event.failed:
            return
        told = {e.node: e for e in event.entries}
        if event.whole:
            for node in set(self.backends) - set(told):
                self._drop(node)
        for node, entry in told.items():
            known = self.backends.get(node)
            if entry.state is not api.EndpointState.UP or entry.admin_disabled:
                self._drop(node)
            elif known is None or known.entry.started_us != entry.started_us:
                self.backends[node] = Observation(entry)
                self.names_by_tag[tag(node)] = node

    def _drop(self, node: str) -> None:
        if self.backends.pop(node, None):
            self.names_by_tag.pop(tag(node), None)

    def _ended(self, sight: Observation, e: api.Result, now: int, tightest_us: int) -> None:
        if e.outcome in SPOKE and (was := self._verdict(sight, now, tightest_us)):
            sight.back_at = (
                now if was[0] in (EvidenceKind.UNREACHABLE, EvidenceKind.UNRESPONSIVE) else sight.back_at
            )
        sight.out.pop(e.request, None)
        if e.outcome in SPOKE:
            sight.heard_at, sight.refused, sight.unheard = now, 0, 0
        match e.outcome:
            case Outcome.SERVED:
                sight.served_at, sight.full = now, 0
                sight.quick_at = now if e.took_us <= tightest_us else sight.quick_at
                gain = self._limits.answer_gain if sight.answers else 1.0
                sight.latency += (e.took_us - sight.latency) * gain
                sight.answers += 1
            case Outcome.UNREACHABLE:
                sight.refused, sight.refused_at = sight.refused + 1, now
            case Outcome.TIMEOUT:
                sight.unheard, sight.unheard_at = sight.unheard + 1, now
            case Outcome.FULL:
                sight.full, sight.full_at = sight.full + 1, now

    def evidence(self, now: int, tightest_us: int) -> list[tuple[str, Evidence]]:
        """What is to be told, the freshest first: by server, one verdict each."""
        found: list[tuple[str, Evidence]] = []
        for node, sight in self.backends.items():
            if seen := self._verdict(sight, now, tightest_us):
                kind, count, at = seen
                if now - at <= self._limits.word_us:
                    age = -(-(now - at) // 1000)
                    found.append((node, Evidence(kind, tag(node), life_of(sight.entry, now), count, age)))
        return sorted(found, key=lambda one: one[1].age_ms)

    def _verdict(self, s: Observation, now: int, tightest_us: int) -> tuple[EvidenceKind, int, int] | None:
        """Kind, count, and when last seen."""
        limits = self._limits
        if s.refused >= limits.refused_row:
            return EvidenceKind.UNREACHABLE, s.refused, s.refused_at
        since = now - int(limits.silent_aims * tightest_us)
        late = sum(sent <= since for sent in s.out.values()) if s.heard_at <= since else 0
        if late + s.unheard >= limits.silent_out:
            return EvidenceKind.UNRESPONSIVE, late + s.unheard, now if late else s.unheard_at
        if s.full >= limits.full_row:
            return EvidenceKind.OVERLOADED, s.full, s.full_at
        if s.answers >= limits.slow_answers and s.latency > limits.slow_aims * tightest_us:
            return EvidenceKind.SLOW, s.answers, s.served_at
        if s.back_at > NEVER:
            return EvidenceKind.RECOVERED, 1, s.back_at
        return None


def life_of(entry: api.Endpoint, now: int) -> int:
    """How long ago a server's process started, as it is told."""
    return min(MAX_UPTIME, max(0, now - entry.started_us) // TENTH) if entry.started_us else MAX_UPTIME
