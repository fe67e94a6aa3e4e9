"""The membership table: one record for each instance of a group that is discovered from seeds.

The table is a last-writer-wins map. Merging is commutative, associative and idempotent, so instances that
have exchanged all their records hold equal tables, in whatever order the records arrived
(docs/design/membership.md). No clock, no socket.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import NamedTuple

from garnetlanding.peers.disabled_backends import DIGEST


class InstanceRecord(NamedTuple):
    """The latest known incarnation of one instance, and whether it has terminated.

    Of two records of one instance the one with the greater incarnation wins. Within one incarnation,
    `terminated` wins over running.
    """

    instance: int
    incarnation: int
    terminated: bool
    address: str  # where the instance receives datagrams

    @property
    def rank(self) -> tuple[int, bool, str]:
        """The order among records of one instance: the greatest wins."""
        return self.incarnation, self.terminated, self.address


class MembershipTable:
    """The records of all known instances, terminated ones included."""

    def __init__(self, own: InstanceRecord, max_instances: int) -> None:
        """Start with the instance's own record. `max_instances` bounds the number of records."""
        self.records = {own.instance: own}
        self._max_instances = max_instances
        self._change_count = 0
        self._changed: dict[int, int] = {}  # by instance, the change count at its record's last change
        self._digest: bytes | None = None  # None: to be computed anew

    @property
    def digest(self) -> bytes:
        """The digest of all records: equal tables have equal digests."""
        if self._digest is None:
            text = "\n".join(
                f"{record.instance} {record.incarnation} {record.terminated:d} {record.address}"
                for record in sorted(self.records.values())
            )
            self._digest = blake2b(text.encode(), digest_size=DIGEST).digest()
        return self._digest

    @property
    def running(self) -> list[InstanceRecord]:
        """The records of instances that have not terminated."""
        return [record for record in self.records.values() if not record.terminated]

    def has_room_for(self, record: InstanceRecord) -> bool:
        """Return whether the record's instance is known, or another one fits into the table."""
        return record.instance in self.records or len(self.records) < self._max_instances

    def is_outranked_by(self, record: InstanceRecord) -> bool:
        """Return whether a record wins over the known one of the same instance, if there is one."""
        known = self.records.get(record.instance)
        return known is None or record.rank > known.rank

    def store(self, record: InstanceRecord) -> None:
        """Set the record of its instance, whatever was known of it before."""
        self.records[record.instance] = record
        self._change_count += 1
        self._changed[record.instance] = self._change_count
        self._digest = None

    def others(self, instance: int) -> list[InstanceRecord]:
        """Return the records of all other instances, in the order of their numbers."""
        return sorted(record for record in self.records.values() if record.instance != instance)

    def changed_at(self, instance: int) -> int:
        """Return a number that is greater the later an instance's record changed; 0: it never did."""
        return self._changed.get(instance, 0)

    def running_at(self, address: str) -> int | None:
        """Return the running instance that receives at an address; None: no such instance is known."""
        return next((record.instance for record in self.running if record.address == address), None)
