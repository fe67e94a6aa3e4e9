"""Which backends are suspected on the claims of peers: evidence with an age, never a decision.

A claim is a peer's statement about a backend. Its states at the instance that received it:

=========  ==========================================  ===================  ==================================
state      condition                                   counts against the   next states
                                                       backend
=========  ==========================================  ===================  ==================================
valid      received, and not older than `evidence_us`  with the peer's      refuted, withdrawn, expired
                                                       credit
refuted    this instance has observed the contrary     no                   valid (repeated with later
           since                                                            evidence), withdrawn, expired
withdrawn  the peer's last message does not repeat it  no                   valid (claimed once more)
expired    its greatest possible age has been reached  no                   none: it is forgotten
=========  ==========================================  ===================  ==================================

A peer loses credit if it repeats a claim as of later than the refutation, with some grace, or claims it once
more after withdrawing it.

A backend is suspected while the credits of its valid claims add up to `suspicion_credit`, and while it is
among the set fraction of listed backends with the most credit against them. The suspicion ends with the last
of those claims, at the latest (docs/design/fleet-verdicts.md).

No clock and no socket. Times are microseconds of this instance's clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from garnetlanding.peers.drop_reasons import DropReason
from garnetlanding.peers.gossip_message import MAX_UPTIME, Evidence, EvidenceKind
from garnetlanding.peers.limits import MS, PeerLimits
from garnetlanding.peers.local_observations import UPTIME_UNIT_US, LocalObservations, Observation, uptime_of
from garnetlanding.peers.peer_credit import CreditTable


@dataclass(slots=True)
class PeerClaim:
    """The last claim of one peer about one backend."""

    kind: EvidenceKind
    count: int  # of the events that it rests on
    latest_at: int  # the latest time at which the peer may have observed it
    expires_at: int  # the earliest such time, plus the greatest age at which evidence counts
    refuted_at: int | None = None  # when this instance first observed the contrary of it or of the one before

    def first_refuted_at(self, observation: Observation) -> int | None:
        """Return when this instance first observed the contrary of this claim; None: it has not."""
        if self.refuted_at is not None:
            return self.refuted_at
        contradicted_at = observation.contradicted_at(self.kind)
        if contradicted_at is None or contradicted_at <= self.latest_at:
            return None
        return contradicted_at


@dataclass(frozen=True, slots=True)
class Suspicion:
    """A backend against which enough credit is claimed."""

    weight: float  # the sum of the credits
    backend: str
    until: int


class SuspicionTable:
    """The claims of all peers, and the credit of each peer."""

    def __init__(self, limits: PeerLimits) -> None:
        self.limits = limits
        self.credits = CreditTable(limits)
        self._claims: dict[str, dict[int, PeerClaim]] = {}  # by backend and peer
        self._withdrawn: dict[tuple[str, int], PeerClaim] = {}  # by backend and peer: the last one withdrawn

    def claims_about(self, backend: str) -> Mapping[int, PeerClaim]:
        """Return the claims about a backend that have been neither withdrawn nor dropped, by peer."""
        return self._claims.get(backend, {})

    # Claims received

    def receive(
        self,
        sender: int,
        evidence: Iterable[Evidence],
        sent_at: int | None,
        now: int,
        observations: LocalObservations,
    ) -> Counter[DropReason]:
        """Replace the claims of a peer by those of its message; return how many were dropped, by reason.

        `sent_at` is when this instance sent the last message that the sender had received by then; None: that
        is not known.
        """
        dropped: Counter[DropReason] = Counter()
        claimed: set[str] = set()
        for entry in evidence:
            observation = observations.by_tag(entry.backend_tag)
            if observation is None:
                dropped[DropReason.UNKNOWN_BACKEND] += 1
                continue
            claim = self._check(entry, observation, sent_at, now)
            if isinstance(claim, DropReason):
                dropped[claim] += 1
                continue
            claimed.add(observation.endpoint.backend)
            self._replace_claim(claim, sender, observation, now)
        self._withdraw_all_but(claimed, sender)
        return dropped

    def _check(
        self, evidence: Evidence, observation: Observation, sent_at: int | None, now: int
    ) -> PeerClaim | DropReason:
        """Return the claim that a peer's evidence makes, or why it is dropped."""
        if not self._is_same_incarnation(evidence.uptime, uptime_of(observation.endpoint, now)):
            return DropReason.OTHER_INCARNATION
        if sent_at is None:
            return DropReason.EXPIRED_EVIDENCE  # without an exchange its age has no bound
        age_us = evidence.age_ms * MS
        expires_at = sent_at - age_us + self.limits.evidence_us
        if expires_at <= now:
            return DropReason.EXPIRED_EVIDENCE
        return PeerClaim(evidence.kind, evidence.count, now - age_us, expires_at)

    def _is_same_incarnation(self, claimed_uptime: int, known_uptime: int) -> bool:
        """Return whether two uptimes of a backend (in 0.1 s) can be those of one process."""
        slack = self.limits.uptime_slack_us // UPTIME_UNIT_US
        if MAX_UPTIME in (claimed_uptime, known_uptime):
            shorter = min(claimed_uptime, known_uptime)
            return claimed_uptime == known_uptime or shorter > MAX_UPTIME - slack
        return abs(claimed_uptime - known_uptime) <= slack

    def _withdraw_all_but(self, claimed: set[str], sender: int) -> None:
        """Withdraw the claims of a peer about all backends but those that it has claimed again."""
        for backend, claims in list(self._claims.items()):
            if backend not in claimed and (claim := claims.pop(sender, None)):
                self._withdrawn[backend, sender] = claim
            if not claims:
                del self._claims[backend]

    def _replace_claim(self, claim: PeerClaim, sender: int, observation: Observation, now: int) -> None:
        """Store a claim in place of the peer's last one about the backend.

        Lowers the peer's credit if it repeats what this instance's own traffic has refuted, not if it was
        merely late to learn of a change.
        """
        backend = observation.endpoint.backend
        claims = self._claims.setdefault(backend, {})
        last = claims.get(sender)
        withdrawn = self._withdrawn.pop((backend, sender), None)
        if withdrawn is not None and self._is_repeated(claim, withdrawn, observation):
            self.credits.lower(sender, now)
        if last is not None and last.kind is claim.kind:
            claim.refuted_at = last.first_refuted_at(observation)
            grace_us = self.limits.refutation_grace_us
            if claim.refuted_at is not None and claim.refuted_at < claim.latest_at - grace_us:
                self.credits.lower(sender, now)
                claim.refuted_at = None
        claims[sender] = claim

    def _is_repeated(self, claim: PeerClaim, withdrawn: PeerClaim, observation: Observation) -> bool:
        """Return whether a claim was refuted and withdrawn, and is soon made again, as if never withdrawn."""
        earliest = max(withdrawn.latest_at, claim.latest_at - self.limits.evidence_us)
        contradicted_at = observation.contradicted_at(withdrawn.kind)
        return contradicted_at is not None and earliest < contradicted_at < claim.latest_at

    # Suspicions that follow

    def drop_expired(self, now: int, observations: LocalObservations) -> None:
        """Forget the claims that have expired, and all about backends that are not listed any more."""
        for backend in list(self._claims):
            claims = self._claims[backend]
            for peer in [peer for peer, claim in claims.items() if claim.expires_at <= now]:
                del claims[peer]
            is_listed = backend in observations.backends
            if not is_listed or not claims:
                del self._claims[backend]
            if not is_listed:
                self._forget_withdrawn(backend)

    def _forget_withdrawn(self, backend: str) -> None:
        for key in [key for key in self._withdrawn if key[0] == backend]:
            del self._withdrawn[key]

    def suspected(self, now: int, observations: LocalObservations) -> dict[str, int]:
        """Return the backends that are suspected on peers' claims alone, and until when at most.

        At most a set fraction of the listed backends is suspected: those with the most credit against them.
        """
        if not self._claims:
            return {}  # the usual case, at each call of the decision module
        suspicions = [
            suspicion
            for backend in self._claims
            if (suspicion := self._suspicion(backend, now, observations)) is not None
        ]
        most = max(1, int(self.limits.max_suspected_fraction * len(observations.backends)))
        heaviest = sorted(suspicions, key=lambda suspicion: (-suspicion.weight, suspicion.backend))[:most]
        return {suspicion.backend: suspicion.until for suspicion in heaviest}

    def _suspicion(self, backend: str, now: int, observations: LocalObservations) -> Suspicion | None:
        """Return the suspicion of a backend that its valid claims amount to, if they do."""
        observation = observations.backends.get(backend)
        if observation is None:
            return None
        valid: dict[int, PeerClaim] = {}
        for peer, claim in self._claims[backend].items():
            contradicted_at = observation.contradicted_at(claim.kind)
            is_refuted = contradicted_at is not None and claim.latest_at <= contradicted_at
            if claim.expires_at > now and not is_refuted:
                valid[peer] = claim
        weight = sum(self.credits.of(peer, now) for peer in valid)
        if not valid or weight < self.limits.suspicion_credit:
            return None
        return Suspicion(weight, backend, max(claim.expires_at for claim in valid.values()))
