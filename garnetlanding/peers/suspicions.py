"""What peers' claims about backends count for here: evidence with an age, never a decision.

A claim holds until its greatest possible age is reached. It counts by the credit of the peer that makes it,
and what this instance has observed itself, later, refutes it (docs/design/fleet-verdicts.md). No clock and no
socket. Times are microseconds of this instance's clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from garnetlanding.peers.drop_reasons import DropReason
from garnetlanding.peers.gossip_message import MAX_UPTIME, Evidence, EvidenceKind
from garnetlanding.peers.limits import MS, PeerLimits
from garnetlanding.peers.local_observations import UPTIME_UNIT_US, LocalObservations, Observation, uptime_of
from garnetlanding.peers.status import ClaimRow, SuspicionRow


@dataclass(slots=True)
class PeerClaim:
    """The last claim of one peer about one backend."""

    kind: EvidenceKind
    count: int  # of the events that it rests on
    latest_at: int  # it was observed no later than this
    expires_at: int  # when it may be too old; it was observed no earlier than this less the greatest age
    refuted_at: int | None = None  # when this instance first observed the contrary of this claim, or the last


@dataclass(frozen=True, slots=True)
class Credit:
    """How much the claims of a peer counted at a moment, 0 to 1; it recovers with time."""

    value: float
    at: int


@dataclass(frozen=True, slots=True)
class Suspicion:
    """A backend that enough credit speaks against."""

    weight: float  # the added credit
    backend: str
    until: int


class SuspicionTable:
    """The claims of all peers, and the credit of each."""

    def __init__(self, limits: PeerLimits) -> None:
        self._limits = limits
        self._claims: dict[str, dict[int, PeerClaim]] = {}  # by backend and peer
        self._credit: dict[int, Credit] = {}  # by peer; one without an entry has full credit
        self._withdrawn: dict[tuple[str, int], PeerClaim] = {}  # by backend and peer: the last one before

    def credit(self, peer: int, now: int) -> float:
        """Return how much a peer's claims count, 0 to 1."""
        known = self._credit.get(peer)
        if known is None:
            return 1.0
        return min(1.0, known.value + (now - known.at) / self._limits.credit_recovery_us)

    def receive(
        self,
        sender: int,
        evidence: Iterable[Evidence],
        sent_at: int | None,
        now: int,
        observations: LocalObservations,
    ) -> Counter[DropReason]:
        """Take up everything that a peer claims at this moment; what it does not repeat is withdrawn.

        `sent_at` is when this instance sent the last message that the sender had received by then. Returns
        how much of the evidence was dropped, by reason.
        """
        dropped: Counter[DropReason] = Counter()
        claimed: set[str] = set()
        for one in evidence:
            observation = observations.by_tag(one.backend_tag)
            if observation is None:
                dropped[DropReason.UNKNOWN_BACKEND] += 1
                continue
            claim = self._check(one, observation, sent_at, now)
            if isinstance(claim, DropReason):
                dropped[claim] += 1
                continue
            claimed.add(observation.endpoint.backend)
            self._take(claim, sender, observation, now)
        self._withdraw(sender, claimed)
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
        expires_at = sent_at - age_us + self._limits.evidence_us
        if expires_at <= now:
            return DropReason.EXPIRED_EVIDENCE
        return PeerClaim(evidence.kind, evidence.count, now - age_us, expires_at)

    def _is_same_incarnation(self, claimed_uptime: int, known_uptime: int) -> bool:
        slack = self._limits.uptime_slack_us // UPTIME_UNIT_US
        if MAX_UPTIME in (claimed_uptime, known_uptime):
            shorter = min(claimed_uptime, known_uptime)
            return claimed_uptime == known_uptime or shorter > MAX_UPTIME - slack
        return abs(claimed_uptime - known_uptime) <= slack

    def _withdraw(self, sender: int, claimed: set[str]) -> None:
        """Withdraw the claims of a peer that it has not repeated."""
        for backend, claims in list(self._claims.items()):
            if backend not in claimed and (claim := claims.pop(sender, None)):
                self._withdrawn[backend, sender] = claim
            if not claims:
                del self._claims[backend]

    def _take(self, claim: PeerClaim, sender: int, observation: Observation, now: int) -> None:
        """Take a claim in place of the peer's last one.

        A peer that goes on claiming what this instance's own traffic refutes loses credit, and so does one
        that claims it once more after withdrawing it. One that was merely late to learn of a change does not.
        """
        backend = observation.endpoint.backend
        claims = self._claims.setdefault(backend, {})
        last = claims.get(sender)
        withdrawn = self._withdrawn.pop((backend, sender), None)
        if withdrawn is not None and self._is_repeated(claim, withdrawn, observation):
            self._lower_credit(sender, now)
        if last is not None and last.kind is claim.kind:
            claim.refuted_at = _refuted_at(last, observation)
            grace_us = self._limits.refutation_grace_us
            if claim.refuted_at is not None and claim.refuted_at < claim.latest_at - grace_us:
                self._lower_credit(sender, now)
                claim.refuted_at = None
        claims[sender] = claim

    def _is_repeated(self, claim: PeerClaim, withdrawn: PeerClaim, observation: Observation) -> bool:
        """Return whether a claim was refuted, withdrawn and soon made again: as good as never withdrawn."""
        earliest = max(withdrawn.latest_at, claim.latest_at - self._limits.evidence_us)
        contradicted_at = observation.contradicted_at(withdrawn.kind)
        return contradicted_at is not None and earliest < contradicted_at < claim.latest_at

    def _lower_credit(self, peer: int, now: int) -> None:
        self._credit[peer] = Credit(self.credit(peer, now) * self._limits.refuted_credit_factor, now)

    def suspected(self, now: int, observations: LocalObservations) -> dict[str, int]:
        """Return the backends to be careful with on peers' claims alone, and until when at most.

        They are a set share of the listed ones at most: those that the most credit speaks against.
        """
        suspicions: list[Suspicion] = []
        for backend in list(self._claims):
            self._drop_expired(backend, now, observations)
            suspicion = self._suspicion(backend, now, observations)
            if suspicion is not None:
                suspicions.append(suspicion)
        most = max(1, int(self._limits.max_suspected_share * len(observations.backends)))
        gravest = sorted(suspicions, key=lambda suspicion: (-suspicion.weight, suspicion.backend))[:most]
        return {suspicion.backend: suspicion.until for suspicion in gravest}

    def _drop_expired(self, backend: str, now: int, observations: LocalObservations) -> None:
        claims = self._claims[backend]
        for peer in [peer for peer, claim in claims.items() if claim.expires_at <= now]:
            del claims[peer]
        is_listed = backend in observations.backends
        if not is_listed or not claims:
            del self._claims[backend]
        if not is_listed:
            for key in [key for key in self._withdrawn if key[0] == backend]:
                del self._withdrawn[key]

    def _suspicion(self, backend: str, now: int, observations: LocalObservations) -> Suspicion | None:
        """Return what speaks against a backend: the claims that this instance has not refuted since."""
        valid: dict[int, PeerClaim] = {}
        for peer, claim in self._claims.get(backend, {}).items():
            contradicted_at = observations.backends[backend].contradicted_at(claim.kind)
            if contradicted_at is None or claim.latest_at > contradicted_at:
                valid[peer] = claim
        weight = sum(self.credit(peer, now) for peer in valid)
        if not valid or weight < self._limits.suspicion_credit:
            return None
        return Suspicion(weight, backend, max(claim.expires_at for claim in valid.values()))

    def rows(self, now: int, observations: LocalObservations, tightest_us: int) -> list[SuspicionRow]:
        """Return, for operators, what is observed and claimed of each listed backend."""
        evidence = observations.evidence(now, tightest_us)
        suspected = self.suspected(now, observations)
        rows: list[SuspicionRow] = []
        for backend in sorted(observations.backends):
            own = evidence.get(backend)
            until = suspected.get(backend)
            rows.append(
                SuspicionRow(
                    backend,
                    "" if own is None else own.kind.label,
                    None if own is None else own.age_ms,
                    None if until is None else (until - now) // MS,
                    self._claim_rows(backend, now),
                )
            )
        return rows

    def _claim_rows(self, backend: str, now: int) -> tuple[ClaimRow, ...]:
        claims = sorted(self._claims.get(backend, {}).items(), key=lambda item: item[0])
        return tuple(
            ClaimRow(
                peer,
                claim.kind.label,
                claim.count,
                (now - claim.expires_at + self._limits.evidence_us) // MS,
                round(self.credit(peer, now), 2),
            )
            for peer, claim in claims
            if claim.expires_at > now
        )


def _refuted_at(claim: PeerClaim, observation: Observation) -> int | None:
    """Return when this instance first observed the contrary of a claim, or of the same one before it."""
    if claim.refuted_at is not None:
        return claim.refuted_at
    contradicted_at = observation.contradicted_at(claim.kind)
    if contradicted_at is None or contradicted_at <= claim.latest_at:
        return None
    return contradicted_at
