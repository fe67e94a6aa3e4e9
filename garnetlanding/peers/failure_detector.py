"""One head's side of verdicts and bans: what it has seen, what it hears, what it has to tell. No clock, no
socket; `PeerCoordinator` carries its messages.
"""

from __future__ import annotations

from collections import Counter

from garnetlanding.decision import interface as api
from garnetlanding.peers.codec import Envelope
from garnetlanding.peers.disabled_backends import NOTHING, DisabledBackends, Record
from garnetlanding.peers.gossip_message import GossipMessage, fit, read, to_envelope
from garnetlanding.peers.history import PeerHistory
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.local_observations import LocalObservations
from garnetlanding.peers.suspicions import MS, SuspicionTable


class FailureDetector:
    def __init__(
        self,
        limits: PeerLimits,
        verdicts: bool = True,
        bans: bool = True,
        history: PeerHistory | None = None,
    ) -> None:
        """Of `verdicts` and `bans`, what is off is neither told nor heard."""
        self.limits, self._verdicts_on, self._bans_on = limits, verdicts, bans
        self.observations, self.suspicions = LocalObservations(limits), SuspicionTable(limits)
        self.disabled = DisabledBackends(limits)
        self._digests: dict[int, tuple[int, bytes]] = {}  # of each head: its life, and its table as last told
        self._turn: Counter[int] = Counter()  # of the records told to each head
        self._heard: dict[str, Record] = {}
        self._told: dict[str, int] = {}  # as the module has it
        self._history = history

    def replace_disabled(self, bans: DisabledBackends) -> None:
        """The table as it stands from now on."""
        if self._history and bans.disabled_names != self.disabled.disabled_names:
            self._history.disabled_backends_changed(bans.disabled_names)
        self.disabled = bans

    def take_received(self) -> list[Record]:
        """The records that others have told and that this head does not have; empties the list."""
        heard, self._heard = list(self._heard.values()), {}
        return heard

    def merge_received(self) -> bool:
        """Takes up what others have told, in memory alone; whether anything was news."""
        bans = DisabledBackends(self.limits, self.disabled.records.values())
        news, _ = bans.merge(self.take_received())
        if news:
            self.replace_disabled(bans)
        return bool(news)

    def receive(self, sender: int, e: Envelope, sent_at: int | None, now: int) -> Counter[str]:
        """Raises MessageError. Gives back what was dropped, by cause."""
        words = read(e)
        self._digests[sender] = e.incarnation, words.digest
        for record in words.records if self._bans_on else ():
            known = [
                r.rank for table in (self.disabled.records, self._heard) if (r := table.get(record.server))
            ]
            if record.rank > max(known, default=(-1, 0, False)) and (
                record.server in self._heard or len(self._heard) < self.limits.bans
            ):
                self._heard[record.server] = record
        evidence = words.evidence if self._verdicts_on else ()
        return self.suspicions.receive(sender, evidence, sent_at, now, self.observations)

    def changed_suspicions(self, now: int) -> api.PeerSuspicions | None:
        """What the module is to be told, where it differs from what it was told."""
        doubted = self.suspicions.suspected(now, self.observations)
        if doubted == self._told or not (doubted or self._told):
            return None
        self._told = doubted
        if self._history:
            self._history.suspicions_changed(doubted)
        return api.PeerSuspicions(doubted)

    def compose(
        self, heads: dict[int, tuple[int, int]], life: int, number: int, now: int, tightest_us: int
    ) -> list[tuple[int, Envelope]]:
        """One message to each of these heads: all of the evidence that one datagram holds, and records where
        its table differs. `heads`: life and number of the last message heard from each."""
        seen = self.observations.evidence(now, tightest_us) if self._verdicts_on else []
        if self._history and seen:
            self._history.observations_sent({node: (e.kind.label, now - e.age_ms * MS) for node, e in seen})
        evidence = [e for _, e in seen]
        table = sorted(self.disabled.records.values(), key=lambda r: r.rank, reverse=True)
        told = []
        for who, (its_life, its_number) in heads.items():
            same = self._digests.get(who, (its_life, NOTHING)) == (its_life, self.disabled.digest)
            turn = self._turn[who] % max(1, len(table))
            records = [] if same else table[turn:] + table[:turn]
            some, more = fit(evidence, records, self.limits.datagram_bytes)
            self._turn[who] += more
            words = GossipMessage(self.disabled.digest, tuple(evidence[:some]), tuple(records[:more]))
            told.append((who, to_envelope(words, life, number, its_life, its_number)))
        return told

    def known(self, what: str, now: int, tightest_us: int) -> list[dict[str, object]]:
        """The `verdicts` on each listed server, or the `bans`, for operators."""
        if what == "verdicts":
            return self.suspicions.known(now, self.observations, tightest_us)
        return [
            {"server": r.server, "out": r.out, "head": r.by, "version": r.version}
            for r in sorted(self.disabled.records.values())
        ]
