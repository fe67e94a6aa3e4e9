"""Exchanges gossip about backends with peers, and determines which backends are suspected.

Gossip carries evidence of failures and the records of administratively disabled backends. Sans-IO: no clock
and no sockets. `PeerCoordinator` sends and receives the messages.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from garnetlanding.decision import interface as api
from garnetlanding.peers import operator_tables
from garnetlanding.peers.disable_replication import DisableReplication
from garnetlanding.peers.disabled_backends import DisableRecord
from garnetlanding.peers.drop_reasons import DropReason
from garnetlanding.peers.envelope import Envelope
from garnetlanding.peers.gossip_message import (
    Evidence,
    GossipMessage,
    count_fitting,
    from_envelope,
    to_envelope,
)
from garnetlanding.peers.history import PeerHistory
from garnetlanding.peers.limits import MS, PeerLimits
from garnetlanding.peers.local_observations import LocalObservations
from garnetlanding.peers.peer_contacts import MessageId
from garnetlanding.peers.status import SuspicionRow
from garnetlanding.peers.suspicions import SuspicionTable


class FailureDetector:
    """Collects evidence about backends, exchanges it with peers, and determines which are suspected."""

    def __init__(
        self,
        limits: PeerLimits,
        *,
        share_evidence: bool = True,
        share_disabled: bool = True,
        history: PeerHistory | None = None,
    ) -> None:
        """Start without observations. Data that is not shared is neither sent nor accepted."""
        self.limits = limits
        self._share_evidence = share_evidence
        self._history = history
        self.observations = LocalObservations(limits)
        self.suspicions = SuspicionTable(limits)
        self.disables = DisableReplication(limits, is_enabled=share_disabled, history=history)
        self._reported: dict[str, int] = {}  # the suspicions last passed to the decision module

    def receive(self, sender: int, envelope: Envelope, sent_at: int | None, now: int) -> Counter[DropReason]:
        """Process a peer's message; return how many entries of its evidence were dropped, by reason.

        `sent_at` is when this instance sent the message that the envelope acknowledges, or None if that is
        unknown. Raises MessageError if the body cannot be decoded.
        """
        message = from_envelope(envelope)
        self.disables.receive(sender, envelope.incarnation, message.digest, message.records)
        evidence = message.evidence if self._share_evidence else ()
        return self.suspicions.receive(sender, evidence, sent_at, now, self.observations)

    def changed_suspicions(self, now: int) -> api.PeerSuspicions | None:
        """Return an event for the decision module if the suspicions have changed since the last event."""
        self.suspicions.drop_expired(now, self.observations)
        suspected = self.suspicions.suspected(now, self.observations)
        if suspected == self._reported:
            return None
        self._reported = suspected
        if self._history:
            self._history.suspicions_changed(suspected)
        return api.PeerSuspicions(suspected)

    def suspicion_rows(self, now: int, tightest_objective_us: int) -> list[SuspicionRow]:
        """Return the observations and claims about each listed backend, for operators."""
        self.suspicions.drop_expired(now, self.observations)
        return operator_tables.suspicion_rows(self.suspicions, self.observations, now, tightest_objective_us)

    def compose(
        self,
        last_received: Mapping[int, MessageId],
        message_id: MessageId,
        now: int,
        tightest_objective_us: int,
    ) -> dict[int, Envelope]:
        """Return one message per receiver: evidence as far as it fits, and records if the tables differ.

        `last_received` maps each receiver to the last message received from it, which is acknowledged. All
        messages are identified by `message_id`. `tightest_objective_us` is the tightest latency objective of
        all request classes.
        """
        evidence = self._evidence(now, tightest_objective_us)
        records = self.disables.latest_first()
        return {
            peer: self._compose_for(peer, acknowledged, message_id, evidence, records)
            for peer, acknowledged in last_received.items()
        }

    def _evidence(self, now: int, tightest_objective_us: int) -> list[Evidence]:
        if not self._share_evidence:
            return []
        by_backend = self.observations.evidence(now, tightest_objective_us)
        if self._history and by_backend:
            self._history.observations_sent(
                {name: (entry.kind.label, now - entry.age_ms * MS) for name, entry in by_backend.items()}
            )
        return list(by_backend.values())

    def _compose_for(
        self,
        peer: int,
        acknowledged: MessageId,
        message_id: MessageId,
        evidence: list[Evidence],
        records: list[DisableRecord],
    ) -> Envelope:
        candidates = self.disables.candidates_for(peer, acknowledged.incarnation, records)
        fitting = count_fitting(evidence, candidates, self.limits.datagram_bytes)
        self.disables.register_sent(peer, fitting.records)
        message = GossipMessage(
            self.disables.table.digest,
            tuple(evidence[: fitting.evidence]),
            tuple(candidates[: fitting.records]),
        )
        return to_envelope(message, *message_id, *acknowledged)
