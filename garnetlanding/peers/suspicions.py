"""Suspects backends on the claims of peers.

A claim is a peer's statement about a backend, based on evidence of a known age; peers send no decisions. The
states of a claim at the instance that received it:

=========  ==========================================  ===================  ==================================
state      condition                                   counts against the   next states
                                                       backend
=========  ==========================================  ===================  ==================================
valid      received, and not older than `evidence_us`  with the peer's      refuted, withdrawn, expired
                                                       credit
refuted    this instance has since observed the        no                   valid (repeated with later
           contrary                                                         evidence), withdrawn, expired
withdrawn  the peer's last message does not repeat it  no                   valid (claimed again)
expired    its evidence may be older than              no                   none: it is removed
           `evidence_us`
=========  ==========================================  ===================  ==================================

A peer loses credit if it repeats a claim with evidence that is later than the refutation by more than
`refutation_grace_us`, or if it withdraws a refuted claim and makes it again.

A backend is suspected while the credits of the peers with valid claims about it add up to `suspicion_credit`,
and while it is among the `max_suspected_fraction` of listed backends with the most credit against them. A
suspicion ends at the latest when the last of those claims expires (docs/design/fleet-verdicts.md).

Sans-IO: no clock and no sockets. Times are in microseconds of this instance's clock.
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
    count: int  # of the events observed
    latest_at: int  # the latest time at which the peer may have observed it
    expires_at: int  # the earliest such time, plus the greatest age at which evidence counts
    refuted_at: int | None = None  # when this instance first observed the contrary, kept over repetitions

    def first_refuted_at(self, observation: Observation) -> int | None:
        """Return when this instance first observed the contrary of this claim, or None if it has not."""
        if self.refuted_at is not None:
            return self.refuted_at
        contradicted_at = observation.contradicted_at(self.kind)
        if contradicted_at is None or contradicted_at <= self.latest_at:
            return None
        return contradicted_at


@dataclass(frozen=True, slots=True)
class Suspicion:
    """A backend that peers with sufficient credit claim to be failing."""

    credit: float  # sum of the credits of the claiming peers
    backend: str
    until: int  # when the last valid claim expires


class SuspicionTable:
    """The claims of all peers, and the credit of each peer."""

    def __init__(self, limits: PeerLimits) -> None:
        self.limits = limits
        self.credits = CreditTable(limits)
        self._claims: dict[str, dict[int, PeerClaim]] = {}  # by backend and peer
        self._withdrawn: dict[tuple[str, int], PeerClaim] = {}  # the last one withdrawn, by (backend, peer)

    def claims_about(self, backend: str) -> Mapping[int, PeerClaim]:
        """Return the claims about a backend that are neither withdrawn nor removed, by peer."""
        return self._claims.get(backend, {})

    # Receiving claims

    def receive(
        self,
        sender: int,
        evidence: Iterable[Evidence],
        sent_at: int | None,
        now: int,
        observations: LocalObservations,
    ) -> Counter[DropReason]:
        """Replace the claims of a peer by those of its message; return how many were dropped, by reason.

        `sent_at` is when this instance sent the last message that the sender had received, or None if that is
        unknown.
        """
        dropped: Counter[DropReason] = Counter()
        claimed: set[str] = set()
        for entry in evidence:
            observation = observations.by_tag(entry.backend_tag)
            if observation is None:
                dropped[DropReason.UNKNOWN_BACKEND] += 1
                continue
            claim = self._claim_from(entry, observation, sent_at, now)
            if isinstance(claim, DropReason):
                dropped[claim] += 1
                continue
            claimed.add(observation.endpoint.backend)
            self._replace_claim(claim, sender, observation, now)
        self._withdraw_all_but(claimed, sender)
        return dropped

    def _claim_from(
        self, evidence: Evidence, observation: Observation, sent_at: int | None, now: int
    ) -> PeerClaim | DropReason:
        """Return the claim that a peer's evidence makes, or the reason to drop it."""
        if not self._is_same_incarnation(evidence.uptime, uptime_of(observation.endpoint, now)):
            return DropReason.OTHER_INCARNATION
        if sent_at is None:
            # Without an acknowledgement, the age of the evidence has no upper bound.
            return DropReason.EXPIRED_EVIDENCE
        age_us = evidence.age_ms * MS
        expires_at = sent_at - age_us + self.limits.evidence_us
        if expires_at <= now:
            return DropReason.EXPIRED_EVIDENCE
        return PeerClaim(evidence.kind, evidence.count, now - age_us, expires_at)

    def _is_same_incarnation(self, claimed_uptime: int, known_uptime: int) -> bool:
        """Return whether two uptimes of a backend (in units of 0.1 s) can belong to one process."""
        slack = self.limits.uptime_slack_us // UPTIME_UNIT_US
        if MAX_UPTIME in (claimed_uptime, known_uptime):
            shorter = min(claimed_uptime, known_uptime)
            return claimed_uptime == known_uptime or shorter > MAX_UPTIME - slack
        return abs(claimed_uptime - known_uptime) <= slack

    def _withdraw_all_but(self, claimed: set[str], sender: int) -> None:
        """Withdraw the claims of a peer that its last message does not repeat."""
        for backend, claims in list(self._claims.items()):
            if backend not in claimed and (claim := claims.pop(sender, None)):
                self._withdrawn[backend, sender] = claim
            if not claims:
                del self._claims[backend]

    def _replace_claim(self, claim: PeerClaim, sender: int, observation: Observation, now: int) -> None:
        """Store a claim in place of the peer's last one about the backend.

        Lowers the peer's credit if the claim repeats what this instance's own traffic has refuted, but not if
        the peer may only have learned of a change late.
        """
        backend = observation.endpoint.backend
        claims = self._claims.setdefault(backend, {})
        last = claims.get(sender)
        withdrawn = self._withdrawn.pop((backend, sender), None)
        if withdrawn is not None and self._repeats_refuted(claim, withdrawn, observation):
            self.credits.lower(sender, now)
        if last is not None and last.kind is claim.kind:
            claim.refuted_at = last.first_refuted_at(observation)
            grace_us = self.limits.refutation_grace_us
            if claim.refuted_at is not None and claim.refuted_at < claim.latest_at - grace_us:
                self.credits.lower(sender, now)
                claim.refuted_at = None
        claims[sender] = claim

    def _repeats_refuted(self, claim: PeerClaim, withdrawn: PeerClaim, observation: Observation) -> bool:
        """Return whether a claim repeats a withdrawn one, refuted less than `evidence_us` before it."""
        earliest = max(withdrawn.latest_at, claim.latest_at - self.limits.evidence_us)
        contradicted_at = observation.contradicted_at(withdrawn.kind)
        return contradicted_at is not None and earliest < contradicted_at < claim.latest_at

    # Suspicions

    def drop_expired(self, now: int, observations: LocalObservations) -> None:
        """Remove expired claims, and all claims about backends that are no longer listed."""
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
        """Return the backends that peers' claims make suspected, and when each suspicion ends at the latest.

        Of the listed backends, at most `max_suspected_fraction` and at least one may be suspected: those with
        the most credit against them.
        """
        if not self._claims:
            return {}  # the usual case; this runs at each call of the decision module
        suspicions = [
            suspicion
            for backend in self._claims
            if (suspicion := self._suspicion(backend, now, observations)) is not None
        ]
        max_suspected = max(1, int(self.limits.max_suspected_fraction * len(observations.backends)))
        by_credit = sorted(suspicions, key=lambda suspicion: (-suspicion.credit, suspicion.backend))
        return {suspicion.backend: suspicion.until for suspicion in by_credit[:max_suspected]}

    def _suspicion(self, backend: str, now: int, observations: LocalObservations) -> Suspicion | None:
        """Return the suspicion of a backend, or None if the credit of its valid claims is insufficient."""
        observation = observations.backends.get(backend)
        if observation is None:
            return None
        valid: dict[int, PeerClaim] = {}
        for peer, claim in self._claims[backend].items():
            contradicted_at = observation.contradicted_at(claim.kind)
            is_refuted = contradicted_at is not None and claim.latest_at <= contradicted_at
            if claim.expires_at > now and not is_refuted:
                valid[peer] = claim
        credit = sum(self.credits.of(peer, now) for peer in valid)
        if not valid or credit < self.limits.suspicion_credit:
            return None
        return Suspicion(credit, backend, max(claim.expires_at for claim in valid.values()))
