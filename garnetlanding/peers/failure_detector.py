"""One instance's side of gossip about backends: observations, peers' claims, administratively disabled ones.

No clock and no socket; `PeerCoordinator` carries the messages.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from garnetlanding.decision import interface as api
from garnetlanding.peers.codec import Envelope
from garnetlanding.peers.disabled_backends import EMPTY_DIGEST, DisabledBackends, DisableRecord
from garnetlanding.peers.drop_reasons import DropReason
from garnetlanding.peers.gossip_message import Evidence, GossipMessage, fit, read, to_envelope
from garnetlanding.peers.history import PeerHistory
from garnetlanding.peers.limits import MS, PeerLimits
from garnetlanding.peers.local_observations import LocalObservations
from garnetlanding.peers.peer_contacts import MessageId
from garnetlanding.peers.status import DisabledBackendRow, SuspicionRow
from garnetlanding.peers.suspicions import SuspicionTable


@dataclass(frozen=True, slots=True)
class PeerDigest:
    """The digest of a peer's table as last received, and by which incarnation of it."""

    incarnation: int
    digest: bytes


class FailureDetector:
    """Collects evidence about backends, exchanges it with peers, and finds which backends are suspected.

    The same messages carry the table of disabled backends, which peers merge. A change that came from peers
    waits in a list of its own until the owner has stored it: see `take_received` and `replace_disabled`.
    """

    def __init__(
        self,
        limits: PeerLimits,
        share_evidence: bool = True,
        share_disabled: bool = True,
        history: PeerHistory | None = None,
    ) -> None:
        """Of evidence and disabled backends, what is not shared is neither sent nor taken up."""
        self.limits = limits
        self._share_evidence = share_evidence
        self._share_disabled = share_disabled
        self._history = history
        self.observations = LocalObservations(limits)
        self.suspicions = SuspicionTable(limits)
        self.disabled = DisabledBackends(limits)
        self._digests: dict[int, PeerDigest] = {}
        self._rotation: Counter[int] = Counter()  # how many records each peer was sent: where the next begin
        self._received: dict[str, DisableRecord] = {}  # by backend, until they are taken
        self._reported: dict[str, int] = {}  # the suspicions as the decision module has them

    def replace_disabled(self, disabled: DisabledBackends) -> None:
        """Set the table that holds, and is sent to peers, from now on."""
        if self._history and disabled.disabled_names != self.disabled.disabled_names:
            self._history.disabled_backends_changed(disabled.disabled_names)
        self.disabled = disabled

    def take_received(self) -> list[DisableRecord]:
        """Return the records of peers that are later than this instance's, and forget them here."""
        received = list(self._received.values())
        self._received = {}
        return received

    def merge_received(self) -> bool:
        """Merge peers' records in memory alone; return whether anything was news."""
        disabled = DisabledBackends(self.limits, self.disabled.records.values())
        merged = disabled.merge(self.take_received())
        if merged.news:
            self.replace_disabled(disabled)
        return bool(merged.news)

    def receive(self, sender: int, envelope: Envelope, sent_at: int | None, now: int) -> Counter[DropReason]:
        """Take up a peer's message; return how much of its evidence was dropped, by reason.

        `sent_at` is when this instance sent the message that the envelope acknowledges; None: not lately.
        Raises MessageError where the body cannot be decoded.
        """
        message = read(envelope)
        self._digests[sender] = PeerDigest(envelope.incarnation, message.digest)
        if self._share_disabled:
            for record in message.records:
                self._receive_record(record)
        evidence = message.evidence if self._share_evidence else ()
        return self.suspicions.receive(sender, evidence, sent_at, now, self.observations)

    def _receive_record(self, record: DisableRecord) -> None:
        known = [
            table[record.backend].rank
            for table in (self.disabled.records, self._received)
            if record.backend in table
        ]
        if known and record.rank <= max(known):
            return
        if record.backend in self._received or len(self._received) < self.limits.max_disable_records:
            self._received[record.backend] = record

    def changed_suspicions(self, now: int) -> api.PeerSuspicions | None:
        """Return what to tell the decision module; None where it has been told so before."""
        suspected = self.suspicions.suspected(now, self.observations)
        if suspected == self._reported:
            return None
        self._reported = suspected
        if self._history:
            self._history.suspicions_changed(suspected)
        return api.PeerSuspicions(suspected)

    def compose(
        self, receivers: Mapping[int, MessageId], message_id: MessageId, now: int, tightest_us: int
    ) -> dict[int, Envelope]:
        """Return one message to each receiver: evidence as far as it fits, and records where tables differ.

        `receivers` has the last message received from each. `message_id` is that of these messages.
        `tightest_us` is the tightest latency objective of all classes.
        """
        evidence = self._evidence(now, tightest_us)
        records = sorted(self.disabled.records.values(), key=lambda record: record.rank, reverse=True)
        return {
            peer: self._compose_one(peer, last_received, message_id, evidence, records)
            for peer, last_received in receivers.items()
        }

    def _evidence(self, now: int, tightest_us: int) -> list[Evidence]:
        if not self._share_evidence:
            return []
        by_backend = self.observations.evidence(now, tightest_us)
        if self._history and by_backend:
            self._history.observations_sent(
                {name: (one.kind.label, now - one.age_ms * MS) for name, one in by_backend.items()}
            )
        return list(by_backend.values())

    def _compose_one(
        self,
        peer: int,
        last_received: MessageId,
        message_id: MessageId,
        evidence: list[Evidence],
        records: list[DisableRecord],
    ) -> Envelope:
        unsent: list[DisableRecord] = []
        if not self._has_same_table(peer, last_received.incarnation):
            start = self._rotation[peer] % max(1, len(records))
            unsent = records[start:] + records[:start]
        fitting = fit(evidence, unsent, self.limits.datagram_bytes)
        self._rotation[peer] += fitting.records
        message = GossipMessage(
            self.disabled.digest, tuple(evidence[: fitting.evidence]), tuple(unsent[: fitting.records])
        )
        return to_envelope(message, *message_id, *last_received)

    def _has_same_table(self, peer: int, incarnation: int) -> bool:
        """Return whether this incarnation of a peer is known to have this instance's table.

        One that has sent no digest yet is taken to have an empty table.
        """
        known = self._digests.get(peer, PeerDigest(incarnation, EMPTY_DIGEST))
        return known == PeerDigest(incarnation, self.disabled.digest)

    def suspicion_rows(self, now: int, tightest_us: int) -> list[SuspicionRow]:
        """Return, for operators, what is observed and claimed of each listed backend."""
        return self.suspicions.rows(now, self.observations, tightest_us)

    def disabled_rows(self) -> list[DisabledBackendRow]:
        """Return, for operators, the records of disabled and enabled backends."""
        return self.disabled.rows()
