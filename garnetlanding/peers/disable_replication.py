"""Replicates the table of administratively disabled backends to all peers, by gossip.

Each gossip message carries the digest of its sender's table, and records if the receiver's table differs.
Sans-IO: no clock and no I/O. `FailureDetector` composes and decodes the messages.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from garnetlanding.peers.disabled_backends import EMPTY_DIGEST, DisabledBackends, DisableRecord
from garnetlanding.peers.history import PeerHistory
from garnetlanding.peers.limits import PeerLimits


@dataclass(frozen=True, slots=True)
class PeerDigest:
    """The last digest of a peer's table received, and the incarnation that sent it."""

    incarnation: int
    digest: bytes


class DisableReplication:
    """One instance's table of disabled backends, and the digests and records received from its peers.

    Received records are buffered until the owner of the table merges and stores them (`take_received`,
    `replace_table`).
    """

    def __init__(
        self, limits: PeerLimits, *, is_enabled: bool = True, history: PeerHistory | None = None
    ) -> None:
        """Start with an empty table. Unless `is_enabled`, records of peers are ignored."""
        self.limits = limits
        self.table = DisabledBackends(limits)
        self._is_enabled = is_enabled
        self._history = history
        self._digests: dict[int, PeerDigest] = {}
        self._sent: Counter[int] = Counter()  # by peer: the number of records sent to it
        self._received: dict[str, DisableRecord] = {}  # by backend: records not taken by the owner yet

    # Calls by the owner of the table

    def replace_table(self, table: DisabledBackends) -> None:
        """Replace the table that is sent to peers."""
        if self._history and table.disabled_names != self.table.disabled_names:
            self._history.disabled_backends_changed(table.disabled_names)
        self.table = table

    def take_received(self) -> list[DisableRecord]:
        """Return and clear the records received from peers that outrank this instance's own."""
        received = list(self._received.values())
        self._received = {}
        return received

    def merge_received(self) -> bool:
        """Merge the records received from peers into the table; return whether it has changed.

        For an owner that does not store the table.
        """
        table = DisabledBackends(self.limits, self.table.records.values())
        result = table.merge(self.take_received())
        if result.accepted:
            self.replace_table(table)
        return bool(result.accepted)

    # Receiving

    def receive(self, sender: int, incarnation: int, digest: bytes, records: Iterable[DisableRecord]) -> None:
        """Store the digest of a peer's table, and buffer the records that outrank all known ones."""
        self._digests[sender] = PeerDigest(incarnation, digest)
        if self._is_enabled:
            for record in records:
                self._receive_record(record)

    def _receive_record(self, record: DisableRecord) -> None:
        known = [
            records[record.backend].rank
            for records in (self.table.records, self._received)
            if record.backend in records
        ]
        if known and record.rank <= max(known):
            return
        if record.backend in self._received or len(self._received) < self.limits.max_disable_records:
            self._received[record.backend] = record

    # Sending

    def latest_first(self) -> list[DisableRecord]:
        """Return all records of the table, in descending rank."""
        return sorted(self.table.records.values(), key=lambda record: record.rank, reverse=True)

    def candidates_for(
        self, peer: int, incarnation: int, records: Sequence[DisableRecord]
    ) -> list[DisableRecord]:
        """Return the records to send to a peer as far as they fit, starting after those sent last.

        Returns none if this incarnation of the peer already has an equal table.
        """
        if self._has_equal_table(peer, incarnation):
            return []
        start = self._sent[peer] % max(1, len(records))
        return [*records[start:], *records[:start]]

    def register_sent(self, peer: int, count: int) -> None:
        """Record that the first `count` candidates are being sent to a peer."""
        self._sent[peer] += count

    def _has_equal_table(self, peer: int, incarnation: int) -> bool:
        """Return whether an incarnation of a peer is known to have an equal table.

        A peer that has not sent a digest yet is assumed to have an empty table.
        """
        known = self._digests.get(peer, PeerDigest(incarnation, EMPTY_DIGEST))
        return known == PeerDigest(incarnation, self.table.digest)
