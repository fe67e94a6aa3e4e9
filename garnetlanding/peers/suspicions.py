"""What other heads' words about servers count for here: evidence with an age, never a verdict.

A word is believed until its greatest possible age; it counts by its author's credit; what this head has heard
itself, later, beats it (docs/design/fleet-verdicts.md). No clock, no socket.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from garnetlanding.peers.gossip_message import MAX_UPTIME, Evidence, EvidenceKind
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.local_observations import NEVER, TENTH, LocalObservations, life_of

MS = 1000


@dataclass(slots=True)
class Claim:
    """The last word of one head about one server."""

    kind: EvidenceKind
    count: int
    latest: int  # it was seen no later than this
    until: int  # and no earlier than this less the greatest age
    answered_at: int = NEVER  # this head's first proof of the contrary since the word, or the one before


class SuspicionTable:
    def __init__(self, limits: PeerLimits) -> None:
        self._limits = limits
        self._claims: dict[str, dict[int, Claim]] = {}  # by server and head
        self._credit: dict[int, tuple[float, int]] = {}  # by head: how much, and when
        self._withdrawn: dict[tuple[str, int], Claim] = {}  # by server and head: its last word before

    def credit(self, head: int, now: int) -> float:
        value, at = self._credit.get(head, (1.0, now))
        return min(1.0, value + (now - at) / self._limits.recover_us)

    def receive(
        self,
        sender: int,
        evidence: Iterable[Evidence],
        sent_at: int | None,
        now: int,
        seen: LocalObservations,
    ) -> Counter[str]:
        """All that a head has to say at this moment; what it said before and does not repeat is withdrawn.
        `sent_at`: when this head sent the last message the sender had heard by then, by this head's clock.
        Gives back how many words were dropped, by cause."""
        dropped: Counter[str] = Counter()
        told: set[str] = set()
        for e in evidence:
            node = seen.names_by_tag.get(e.backend_tag)
            sight = seen.backends.get(node) if node else None
            if node is None or sight is None:
                dropped["no such server"] += 1
            elif not self._same_life(e.uptime, life_of(sight.entry, now)):
                dropped["other life"] += 1
            elif sent_at is None or sent_at - e.age_ms * MS + self._limits.word_us <= now:
                dropped["word too old"] += 1
            else:
                told.add(node)
                until = sent_at - e.age_ms * MS + self._limits.word_us
                self._take(node, sender, Claim(e.kind, e.count, now - e.age_ms * MS, until), now, seen)
        for node, claims in list(self._claims.items()):
            if node not in told and (claim := claims.pop(sender, None)):
                self._withdrawn[node, sender] = claim
            if not claims:
                del self._claims[node]
        return dropped

    def _same_life(self, told: int, known: int) -> bool:
        if MAX_UPTIME in (told, known):
            return told == known or min(told, known) > MAX_UPTIME - self._limits.life_slack_us // TENTH
        return abs(told - known) <= self._limits.life_slack_us // TENTH

    def _take(self, node: str, sender: int, claim: Claim, now: int, seen: LocalObservations) -> None:
        """A head that goes on saying what this one's traffic speaks against loses credit, or that says it
        once more; one that was merely not quick to hear of the change does not."""
        claims = self._claims.setdefault(node, {})
        old, before = claims.get(sender), self._withdrawn.pop((node, sender), None)
        proved = seen.backends[node].proof_at(before.kind) if before else NEVER
        if before and max(before.latest, claim.latest - self._limits.word_us) < proved < claim.latest:
            # Said, refuted, withdrawn and soon said again: as good as gone on saying.
            self._credit[sender] = self.credit(sender, now) * self._limits.refuted, now
        if old and old.kind is claim.kind:
            proof = seen.backends[node].proof_at(claim.kind)
            answered = old.answered_at if old.answered_at > NEVER else proof if proof > old.latest else NEVER
            if NEVER < answered < claim.latest - self._limits.persist_us:
                self._credit[sender] = self.credit(sender, now) * self._limits.refuted, now
                answered = NEVER
            claim.answered_at = answered
        claims[sender] = claim

    def suspected(self, now: int, seen: LocalObservations) -> dict[str, int]:
        """The servers with whom to be careful on others' word alone, and until when at most."""
        weights: list[tuple[float, str, int]] = []
        for node, claims in list(self._claims.items()):
            sight = seen.backends.get(node)
            for sender in [who for who, claim in claims.items() if claim.until <= now]:
                del claims[sender]
            if sight is None or not claims:
                del self._claims[node]
                for key in [key for key in self._withdrawn if sight is None and key[0] == node]:
                    del self._withdrawn[key]
                continue
            valid = [(who, c) for who, c in claims.items() if c.latest > sight.proof_at(c.kind)]
            weight = sum(self.credit(who, now) for who, _ in valid)
            if weight >= self._limits.trust:
                weights.append((weight, node, max(c.until for _, c in valid)))
        most = max(1, int(self._limits.doubted_share * len(seen.backends)))
        chosen = sorted(weights, key=lambda one: (-one[0], one[1]))[:most]
        return {node: until for _, node, until in chosen}

    def known(self, now: int, seen: LocalObservations, tightest_us: int) -> list[dict[str, object]]:
        """For operators: what is believed of each server, from whom, how old at most."""
        own, doubted = dict(seen.evidence(now, tightest_us)), self.suspected(now, seen)
        return [
            {
                "server": node,
                "own": own[node].kind.label if node in own else "",
                "own_ms": own[node].age_ms if node in own else None,
                "doubted_ms": (doubted[node] - now) // MS if node in doubted else None,
                "words": [
                    {
                        "head": who,
                        "says": c.kind.label,
                        "count": c.count,
                        "age_ms": (now - c.until + self._limits.word_us) // MS,
                        "credit": round(self.credit(who, now), 2),
                    }
                    for who, c in sorted(self._claims.get(node, {}).items())
                    if c.until > now
                ],
            }
            for node in sorted(seen.backends)
        ]
