"""Whether one instance is a member of its group: joining, fencing, and its even quota of what is divided.

The group is discovered from a few seeds (docs/design/membership.md). An instance merges the records that it
receives into its `MembershipTable`, and decides by that table, and by who has confirmed it, what it may use.

The states of an instance, as it sees itself:

=======  ==========================================  ==========  ==========================================
state    condition                                   even quota  next state
=======  ==========================================  ==========  ==========================================
joining  not every running instance has confirmed a  0           joined: all have, and one of them had
         table that holds this one                               joined, or the seeds form a group
joined   every running instance counts this one      1 / n       fenced
fenced   its record says terminated, or another      0           none: a new process starts with a greater
         process uses its number                                 incarnation
=======  ==========================================  ==========  ==========================================

How an instance sees its peers (up, suspect, terminated) is for operators alone: operator_tables.py.
No clock and no socket; times are microseconds of this instance's clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.membership_table import InstanceRecord, MembershipTable

# Seeds are addressed by numbers that no instance has, until it is known which instance receives there.
FIRST_SEED = 1 << 16


class FenceReason(Enum):
    """Why an instance must stop using quotas for good; the values appear in the log."""

    TERMINATED = "put out"  # marked as terminated, by an operator or by itself
    DUPLICATE_IDENTITY = "another process has its number"


@dataclass(slots=True)
class JoinProgress:
    """How far an instance has come towards joining its group."""

    bootstrap_at: int | None  # when the seeds may form a new group; None: there is a group already
    confirmed_by: set[int] = field(default_factory=set)  # peers that have sent the digest of an equal table
    has_sponsor: bool = False  # one of those peers had joined
    has_joined: bool = False  # never reset: a member that may use nothing is fenced


class Membership:
    """One instance's view of its group, and whether that instance is a member.

    Invariant: the even quotas of all running instances never add up to more than 1. An instance has none
    until every running instance of its table has confirmed a table that holds it.
    """

    def __init__(
        self, limits: PeerLimits, me: int, incarnation: int, address: str, seeds: Iterable[str], now: int
    ) -> None:
        """Start with a table of this instance alone.

        `address` is where this instance receives. `seeds` are the addresses of a few long-running instances,
        the same ones at every instance.
        """
        self.limits = limits
        self.me = me
        self._own = InstanceRecord(me, incarnation, terminated=False, address=address)
        self.table = MembershipTable(self._own, limits.max_instances)
        self.join = JoinProgress(bootstrap_at=now + limits.bootstrap_us)
        self.received_at: dict[int, int] = {}  # by instance, when its last message arrived
        self._seeds = {FIRST_SEED + index: seed for index, seed in enumerate(seeds)}

    # Messages of peers

    def merge(self, records: Iterable[InstanceRecord]) -> int:
        """Merge records into the table; return how many were dropped because it is full."""
        dropped = 0
        for record in records:
            if not self.table.has_room_for(record):
                dropped += 1
            elif self.table.is_outranked_by(record):
                self._store(self._supersede_own_past(record))
        return dropped

    def _supersede_own_past(self, record: InstanceRecord) -> InstanceRecord:
        """Return the record; in place of one of an earlier start of this instance, a newer one of its own.

        A record with this instance's number and address can only be its own. If its incarnation is greater,
        the wall clock was set back between the two starts.
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
            # A new process has to learn of this instance before its confirmation counts.
            self.join.confirmed_by.discard(record.instance)

    def record_contact(self, sender: int, digest: bytes, now: int, *, sender_joined: bool) -> None:
        """Register a message of a peer, after its records were merged.

        `digest` is that of the sender's table; `sender_joined` tells whether the sender is a member.
        """
        if sender not in self.table.records:
            return
        self.received_at[sender] = now
        if sender_joined:
            self.join.bootstrap_at = None
        if digest == self.table.digest:
            self.join.confirmed_by.add(sender)
            self.join.has_sponsor = self.join.has_sponsor or sender_joined
        self.update_joined(now)

    # Joining

    def update_joined(self, now: int) -> None:
        """Join if every other running instance has confirmed the table and there is a group to join.

        That is: one of them had joined before, or the seeds may form a new group together.
        """
        others = self.quota_holders - {self.me}
        if self.join.has_joined or not self.join.confirmed_by >= others:
            return
        self.join.has_joined = self.join.has_sponsor or self._may_bootstrap(now)

    def _may_bootstrap(self, now: int) -> bool:
        """Return whether the seeds form a new group: all that still run have confirmed the table."""
        if self.join.bootstrap_at is None or now < self.join.bootstrap_at:
            return False
        running = {record.address for record in self.table.running}
        terminated = {record.address for record in self.table.records.values() if record.terminated} - running
        seeds = {self.table.running_at(seed) for seed in self._seeds.values() if seed not in terminated}
        return seeds <= self.join.confirmed_by | {self.me}

    # Whom to send to

    def extra_receivers(self, now: int) -> list[int]:
        """Return the receivers of membership messages beside the running instances.

        These are seeds at whose address no instance is known, by their seed numbers, and instances that still
        send although they are marked as terminated: they have to learn that.
        """
        addresses = {record.address for record in self.table.running}
        unknown_seeds = [number for number, seed in self._seeds.items() if seed not in addresses]
        still_sending = [
            record.instance
            for record in self.table.records.values()
            if record.terminated
            and record.instance != self.me
            and self.was_received_within(record.instance, now, self.limits.peer_timeout_us)
        ]
        return unknown_seeds + still_sending

    def was_received_within(self, instance: int, now: int, span_us: int) -> bool:
        """Return whether a message of an instance arrived within the last `span_us`."""
        received_at = self.received_at.get(instance)
        return received_at is not None and now - received_at <= span_us

    def address_of(self, receiver: int) -> str | None:
        """Return the address of an instance or of a seed number; None: it is not known."""
        record = self.table.records.get(receiver)
        return self._seeds.get(receiver) if record is None else record.address

    # Termination and fencing

    def leave(self) -> None:
        """Mark this instance as terminated, so that it uses nothing any more."""
        self.merge([self.table.records[self.me]._replace(terminated=True)])

    def mark_terminated(self, instance: int) -> bool:
        """Mark an instance as terminated on an operator's behalf; return False where it is not known."""
        record = self.table.records.get(instance)
        if record is None:
            return False
        self.merge([record._replace(terminated=True)])
        return True

    @property
    def fence_reason(self) -> FenceReason | None:
        """Why this instance must stop using quotas; None: it need not."""
        record = self.table.records[self.me]
        if record == self._own:
            return None
        if record.incarnation == self._own.incarnation and record.terminated:
            return FenceReason.TERMINATED
        return FenceReason.DUPLICATE_IDENTITY

    # What the instance may use

    @property
    def quota_holders(self) -> set[int]:
        """The instances that limits are divided among: all that have not terminated.

        An unresponsive one counts: it may merely be partitioned, and still use its quota.
        """
        return {record.instance for record in self.table.running}

    @property
    def joined(self) -> bool:
        """Whether this instance is a member: every running instance counts it, and it is not fenced."""
        return self.join.has_joined and self.fence_reason is None

    @property
    def even_quota(self) -> float:
        """The even quota of whatever the group divides that this instance may use; 0 unless a member."""
        return 1 / len(self.quota_holders) if self.joined else 0.0
