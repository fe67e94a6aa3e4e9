"""Selects and orders the membership records to send to each peer. Sans-IO: no clock and no sockets."""

from __future__ import annotations

from collections import Counter

from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.membership_table import InstanceRecord, MembershipTable


class RecordDissemination:
    """Orders the records of a table for each receiver: a message may not have room for all of them."""

    def __init__(self, limits: PeerLimits, table: MembershipTable, own_instance: int) -> None:
        self._limits = limits
        self._table = table
        self._own_instance = own_instance
        self._rounds: Counter[int] = Counter()  # by receiver: rounds that included other instances' records

    def records_for(self, receiver: int, digest: bytes | None) -> list[InstanceRecord]:
        """Return the records to send to a receiver, in descending priority.

        The instance's own record comes first. The others follow if the receiver's table differs according to
        `digest`, the last one received from it. Rounds alternate between two orders: latest change first, so
        that changes spread fast, and a rotation, so that every record is eventually sent.
        """
        own = self._table.records[self._own_instance]
        others = self._table.others(self._own_instance)
        if digest == self._table.digest or not others:
            return [own]
        self._rounds[receiver] += 1
        if self._rounds[receiver] % 2:
            return [own, *self._latest_first(others)]
        start = self._rounds[receiver] // 2 * self._limits.membership_rotation % len(others)
        return [own, *others[start:], *others[:start]]

    def _latest_first(self, records: list[InstanceRecord]) -> list[InstanceRecord]:
        return sorted(records, key=lambda record: self._table.change_number(record.instance), reverse=True)
