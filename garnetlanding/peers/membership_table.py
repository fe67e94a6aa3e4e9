"""The membership table: one record per instance of a group that is discovered from seeds.

The table is a last-writer-wins map. Merging is commutative, associative and idempotent, so instances that
have exchanged all their records hold equal tables, in whatever order the records arrived
(docs/design/membership.md). Sans-IO: no clock and no sockets.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import NamedTuple

from garnetlanding.peers.disabled_backends import DIGEST_BYTES


class InstanceRecord(NamedTuple):
    """The latest known incarnation of one instance, and whether it has terminated.

    Of two records of one instance, the one with the greater incarnation wins. Within one incarnation, a
    terminated record wins over a running one.
    """

    instance: int
    incarnation: int
    terminated: bool
    address: str  # where the instance receives datagrams

    @property
    def rank(self) -> tuple[int, bool, str]:
        """The sort key among records of one instance: the greatest wins."""
        return self.incarnation, self.terminated, self.address


class MembershipTable:
    """The records of all known instances, including terminated ones."""

    def __init__(self, own: InstanceRecord, max_instances: int) -> None:
        """Start with the instance's own record. `max_instances` bounds the number of records."""
        self.records = {own.instance: own}
        self._max_instances = max_instances
        self._change_count = 0
        self._change_numbers: dict[int, int] = {}  # by instance, of the last change of its record
        self._digest: bytes | None = None  # cached; None after a change

    @property
    def digest(self) -> bytes:
        """The digest of all records: equal tables have equal digests."""
        if self._digest is None:
            text = "\n".join(
                f"{record.instance} {record.incarnation} {record.terminated:d} {record.address}"
                for record in sorted(self.records.values())
            )
            self._digest = blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
        return self._digest

    @property
    def running(self) -> list[InstanceRecord]:
        """The records of instances that have not terminated."""
        return [record for record in self.records.values() if not record.terminated]

    def has_room_for(self, record: InstanceRecord) -> bool:
        """Return whether the record's instance is known or the table has room for another one."""
        return record.instance in self.records or len(self.records) < self._max_instances

    def is_outranked_by(self, record: InstanceRecord) -> bool:
        """Return whether a record wins over the stored one of the same instance, if any."""
        known = self.records.get(record.instance)
        return known is None or record.rank > known.rank

    def store(self, record: InstanceRecord) -> None:
        """Store a record, replacing any other record of the same instance."""
        self.records[record.instance] = record
        self._change_count += 1
        self._change_numbers[record.instance] = self._change_count
        self._digest = None

    def others(self, instance: int) -> list[InstanceRecord]:
        """Return the records of all other instances, ordered by instance number."""
        return sorted(record for record in self.records.values() if record.instance != instance)

    def change_number(self, instance: int) -> int:
        """Return the number of the last change of an instance's record; 0 if it has never changed."""
        return self._change_numbers.get(instance, 0)

    def running_at(self, address: str) -> int | None:
        """Return the running instance that receives at an address, or None if none is known."""
        return next((record.instance for record in self.running if record.address == address), None)
