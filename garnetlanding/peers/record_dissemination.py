"""Which membership records to send to a peer, and in which order. No clock, no socket."""

from __future__ import annotations

from collections import Counter

from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.membership_table import InstanceRecord, MembershipTable


class RecordDissemination:
    """Orders the records of a table for each receiver, so that those that fit are the most useful ones."""

    def __init__(self, limits: PeerLimits, table: MembershipTable, me: int) -> None:
        self._limits = limits
        self._table = table
        self._me = me
        self._rounds: Counter[int] = Counter()  # by receiver, how often other instances' records were sent

    def records_for(self, receiver: int, digest: bytes | None) -> list[InstanceRecord]:
        """Return the records to send to a receiver, the most important first.

        The instance's own record is always the first; the others follow where the receiver's table differs
        (`digest`: as last received from it). Every other time they are ordered by their latest change, so
        that changes spread fast, and otherwise rotated, so that each record is sent in the end.
        """
        own = self._table.records[self._me]
        others = self._table.others(self._me)
        if digest == self._table.digest or not others:
            return [own]
        self._rounds[receiver] += 1
        if self._rounds[receiver] % 2:
            return [own, *self._latest_first(others)]
        start = self._rounds[receiver] // 2 * self._limits.membership_rotation % len(others)
        return [own, *others[start:], *others[:start]]

    def _latest_first(self, records: list[InstanceRecord]) -> list[InstanceRecord]:
        return sorted(records, key=lambda record: self._table.changed_at(record.instance), reverse=True)
