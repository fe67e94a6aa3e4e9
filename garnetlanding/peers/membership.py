"""Group membership of one instance: joining, fencing, and the even quota that follows.

The group is discovered from a few seeds (docs/design/membership.md). An instance merges the records that it
receives into its `MembershipTable`. That table, and which peers have confirmed it, determine what the
instance may use.

The states of an instance, as it sees itself:

=======  ==========================================  ==========  ==========================================
state    condition                                   even quota  next state
=======  ==========================================  ==========  ==========================================
joining  not every running instance has confirmed a  0           joined: all have confirmed it, and one of
         table that contains this one                            them had joined or the seeds form a group
joined   every running instance counts this one      1 / n       fenced
fenced   its record says terminated, or another      0           none: a new process starts with a greater
         process uses its number                                 incarnation
=======  ==========================================  ==========  ==========================================

The states of peers (up, suspect, terminated) are only displayed to operators: operator_tables.py.
Sans-IO: no clock and no sockets. Times are in microseconds of this instance's clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.membership_table import InstanceRecord, MembershipTable

# The first number that stands for a seed's address while the instance at that address is unknown; instance
# numbers are smaller.
FIRST_SEED_NUMBER = 1 << 16


class FenceReason(Enum):
    """Why an instance must permanently stop using quotas; the values appear in the log."""

    TERMINATED = "put out"  # marked as terminated, by an operator or by itself
    DUPLICATE_IDENTITY = "another process has its number"


@dataclass(slots=True)
class JoinProgress:
    """The progress of an instance towards joining its group."""

    bootstrap_at: int | None  # when the seeds may form a new group; None: a group exists
    confirmed_by: set[int] = field(default_factory=set)  # peers that sent the digest of an equal table
    has_sponsor: bool = False  # whether one of those peers had joined
    has_joined: bool = False  # never reset: a member that must stop using quotas is fenced


class Membership:
    """One instance's view of its group, and whether the instance is a member of it.

    Invariant: the even quotas of all running instances never add up to more than 1. An instance has no quota
    until every running instance in its table has confirmed a table that contains it.
    """

    def __init__(
        self,
        limits: PeerLimits,
        own_instance: int,
        incarnation: int,
        address: str,
        seeds: Iterable[str],
        now: int,
    ) -> None:
        """Start with a table that contains only this instance.

        `address` is where this instance receives datagrams. `seeds` are the addresses of a few long-running
        instances, configured identically at every instance.
        """
        self.limits = limits
        self.own_instance = own_instance
        self._own = InstanceRecord(own_instance, incarnation, terminated=False, address=address)
        self.table = MembershipTable(self._own, limits.max_instances)
        self.join_progress = JoinProgress(bootstrap_at=now + limits.bootstrap_us)
        self.received_at: dict[int, int] = {}  # by instance: when its last message arrived
        self._seeds = {FIRST_SEED_NUMBER + index: seed for index, seed in enumerate(seeds)}

    # Receiving

    def merge(self, records: Iterable[InstanceRecord]) -> int:
        """Merge records into the table; return how many were dropped because the table is full."""
        dropped = 0
        for record in records:
            if not self.table.has_room_for(record):
                dropped += 1
            elif self.table.is_outranked_by(record):
                self._store(self._replace_own_earlier_start(record))
        return dropped

    def _replace_own_earlier_start(self, record: InstanceRecord) -> InstanceRecord:
        """Return the record, or a newer own record if it comes from an earlier start of this instance.

        Only this instance uses its number with its address. If such a record has a greater incarnation, the
        wall clock was set back between the two starts.
        """
        own = self._own
        is_own = (record.instance, record.address) == (own.instance, own.address)
        if not is_own or record.incarnation <= own.incarnation:
            return record
        self._own = own._replace(incarnation=record.incarnation + 1)
        return self._own

    def _store(self, record: InstanceRecord) -> None:
        known = self.table.records.get(record.instance)
        self.table.store(record)
        if known is not None and known.incarnation != record.incarnation:
            # The new process may not know this instance yet: its predecessor's confirmation is void.
            self.join_progress.confirmed_by.discard(record.instance)

    def record_contact(self, sender: int, digest: bytes, now: int, *, sender_joined: bool) -> None:
        """Record a message from a peer, after its records were merged.

        `digest` is the digest of the sender's table; `sender_joined` is whether the sender is a member.
        """
        if sender not in self.table.records:
            return
        self.received_at[sender] = now
        if sender_joined:
            self.join_progress.bootstrap_at = None
        if digest == self.table.digest:
            self.join_progress.confirmed_by.add(sender)
            self.join_progress.has_sponsor = self.join_progress.has_sponsor or sender_joined
        self.update_joined(now)

    # Joining

    def update_joined(self, now: int) -> None:
        """Join if every other running instance has confirmed the table and there is a group to join.

        There is one if any of those instances had joined, or if the seeds may form a new group.
        """
        others = self.quota_holders - {self.own_instance}
        if self.join_progress.has_joined or not self.join_progress.confirmed_by >= others:
            return
        self.join_progress.has_joined = self.join_progress.has_sponsor or self._may_bootstrap(now)

    def _may_bootstrap(self, now: int) -> bool:
        """Return whether the seeds may form a group: all that have not terminated confirmed the table."""
        if self.join_progress.bootstrap_at is None or now < self.join_progress.bootstrap_at:
            return False
        running = {record.address for record in self.table.running}
        terminated = {record.address for record in self.table.records.values() if record.terminated} - running
        seeds = {self.table.running_at(seed) for seed in self._seeds.values() if seed not in terminated}
        return seeds <= self.join_progress.confirmed_by | {self.own_instance}

    # Receivers

    def extra_receivers(self, now: int) -> list[int]:
        """Return the receivers of membership messages in addition to the running instances.

        These are the seeds at whose addresses no instance is known, by their seed numbers, and the instances
        that still send although they are marked as terminated, so that they learn of it.
        """
        addresses = {record.address for record in self.table.running}
        unknown_seeds = [number for number, seed in self._seeds.items() if seed not in addresses]
        still_sending = [
            record.instance
            for record in self.table.records.values()
            if record.terminated
            and record.instance != self.own_instance
            and self.has_received_within(record.instance, now, self.limits.peer_timeout_us)
        ]
        return unknown_seeds + still_sending

    def has_received_within(self, instance: int, now: int, span_us: int) -> bool:
        """Return whether a message from an instance arrived within the last `span_us`."""
        received_at = self.received_at.get(instance)
        return received_at is not None and now - received_at <= span_us

    def address_of(self, receiver: int) -> str | None:
        """Return the address of an instance or seed number, or None if it is unknown."""
        record = self.table.records.get(receiver)
        return self._seeds.get(receiver) if record is None else record.address

    # Termination and fencing

    def leave(self) -> None:
        """Mark this instance as terminated, which ends its use of quotas."""
        self.merge([self.table.records[self.own_instance]._replace(terminated=True)])

    def mark_terminated(self, instance: int) -> bool:
        """Mark an instance as terminated at an operator's request; return False if it is unknown."""
        record = self.table.records.get(instance)
        if record is None:
            return False
        self.merge([record._replace(terminated=True)])
        return True

    @property
    def fence_reason(self) -> FenceReason | None:
        """Why this instance must stop using quotas, or None if it is not fenced."""
        record = self.table.records[self.own_instance]
        if record == self._own:
            return None
        if record.incarnation == self._own.incarnation and record.terminated:
            return FenceReason.TERMINATED
        return FenceReason.DUPLICATE_IDENTITY

    # Quota

    @property
    def quota_holders(self) -> set[int]:
        """The instances that share the limits: all that have not terminated.

        Unresponsive instances are included: one that is only partitioned may still use its quota.
        """
        return {record.instance for record in self.table.running}

    @property
    def joined(self) -> bool:
        """Whether this instance is a member: every running instance counts it, and it is not fenced."""
        return self.join_progress.has_joined and self.fence_reason is None

    @property
    def even_quota(self) -> float:
        """The even quota of this instance, as a fraction of each shared limit; 0 unless it is a member."""
        return 1 / len(self.quota_holders) if self.joined else 0.0
