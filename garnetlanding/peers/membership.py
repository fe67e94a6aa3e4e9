"""The table of instances of a group that is found from a few seeds (docs/design/membership.md).

Records are merged as they are received, in any order and any number of times, to the same table at every
instance. From that table, and from whom it has received messages, an instance decides whether it has joined,
and what share of everything that the group divides is its own. No clock, no socket.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from hashlib import blake2b
from typing import NamedTuple

from garnetlanding.peers.disabled_backends import DIGEST
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.status import MemberRow

# Seeds have numbers that no instance has, until it is known which instance responds there.
FIRST_SEED = 1 << 16


class MemberState(Enum):
    """An instance as another one sees it; the values stand in operators' answers."""

    SELF = "me"
    UP = "up"
    SUSPECT = "suspect"  # not received from in time
    TERMINATED = "gone"


class InstanceRecord(NamedTuple):
    """The latest statement about one instance.

    Of two, the one of the greater incarnation stands, and within one incarnation `terminated` above running.
    """

    instance: int
    incarnation: int
    terminated: bool
    address: str

    @property
    def rank(self) -> tuple[int, bool, str]:
        """The order among records of one instance: the greatest stands."""
        return self.incarnation, self.terminated, self.address


class Membership:
    """One instance's table of the group, and whether that instance has joined it.

    Invariant: the even shares of all running instances never add up to more than 1. An instance has none
    until every instance of its table has confirmed a table that holds it.
    """

    def __init__(
        self, limits: PeerLimits, me: int, incarnation: int, address: str, seeds: Iterable[str], now: int
    ) -> None:
        """Start with a table of this instance alone.

        `address` is where this instance receives. `seeds` are the same addresses at every instance: a few
        that run for long. `now` is in microseconds, as everywhere here.
        """
        self._limits = limits
        self.me = me
        self._own = InstanceRecord(me, incarnation, False, address)
        self.records = {me: self._own}
        self._seeds = {FIRST_SEED + i: seed for i, seed in enumerate(seeds)}
        # From when on the seeds may begin a group together; None: there is one, and no other is begun.
        self._bootstrap_at: int | None = now + limits.bootstrap_us
        self._received_at: dict[int, int] = {}  # by instance, the last message of its own
        self._confirmed_by: set[int] = set()  # instances that have had this one's whole table, itself in it
        self._sponsored = False  # one of them had joined
        self._joined = False
        self._rounds: dict[int, int] = {}  # by receiver, how often records beside this one's were sent to it
        self._changed: dict[
            int, int
        ] = {}  # by instance, a number that is greater the later its record changed
        self._digest: bytes | None = None

    # Messages in and out

    @property
    def digest(self) -> bytes:
        """A digest of the table: the same for the same records, whatever way they came."""
        if self._digest is None:
            text = "\n".join(
                f"{record.instance} {record.incarnation} {record.terminated:d} {record.address}"
                for record in sorted(self.records.values())
            )
            self._digest = blake2b(text.encode(), digest_size=DIGEST).digest()
        return self._digest

    def merge(self, records: Iterable[InstanceRecord]) -> int:
        """Take over every record that outranks the known one; return how many there was no room for."""
        rejected = 0
        for record in records:
            known = self.records.get(record.instance)
            if known is None and len(self.records) >= self._limits.max_instances:
                rejected += 1
            elif known is None or record.rank > known.rank:
                self._store(self._ahead_of_own_past(record), known)
        return rejected

    def _ahead_of_own_past(self, record: InstanceRecord) -> InstanceRecord:
        """Return the record, or a newer one of this instance where that is of an earlier start of it.

        Nobody else can have its number and its address: its clock must have been set back between two starts.
        """
        own = self._own
        same_place = (record.instance, record.address) == (own.instance, own.address)
        if not same_place or record.incarnation <= own.incarnation:
            return record
        self._own = own._replace(incarnation=record.incarnation + 1)
        return self._own

    def _store(self, record: InstanceRecord, known: InstanceRecord | None) -> None:
        self.records[record.instance] = record
        self._changed[record.instance] = max(self._changed.values(), default=0) + 1
        self._digest = None
        if known and known.incarnation != record.incarnation:
            self._confirmed_by.discard(record.instance)  # its new incarnation has to learn of this instance

    def record_contact(self, sender: int, digest: bytes, joined: bool, now: int) -> None:
        """Take note of a new message of an instance, after its records were merged.

        `digest` is that of the sender's table; `joined` says whether the sender has joined.
        """
        if sender not in self.records:
            return
        self._received_at[sender] = now
        if joined:
            self._bootstrap_at = None
        if digest == self.digest:
            self._confirmed_by.add(sender)
            self._sponsored = self._sponsored or joined
        self.update_joined(now)

    def update_joined(self, now: int) -> None:
        """Join if every other instance has confirmed the table, and one of them had joined itself.

        Where nobody has joined yet, all seeds that are not terminated begin the group together.
        """
        if self._joined or not self._confirmed_by >= self.quota_holders - {self.me}:
            return
        present = {record.address for record in self.present}
        left = {record.address for record in self.records.values() if record.terminated} - present
        seeds = {self.instance_at(seed) for seed in self._seeds.values() if seed not in left}
        is_time = self._bootstrap_at is not None and now >= self._bootstrap_at
        may_begin = is_time and seeds <= self._confirmed_by | {self.me}
        self._joined = self._sponsored or may_begin

    def records_for(self, receiver: int, digest: bytes | None) -> list[InstanceRecord]:
        """Return what is sent to an instance, the most important first, as many of it as fit.

        This instance's own record always; the others where the receiver's table differs (`digest`: as last
        received from it). Every other time the latest changes go first, so that they spread fast, and in the
        rounds between each record has its turn.
        """
        own = self.records[self.me]
        others = sorted(record for record in self.records.values() if record.instance != self.me)
        if digest == self.digest or not others:
            return [own]
        self._rounds[receiver] = self._rounds.get(receiver, 0) + 1
        if self._rounds[receiver] % 2:
            latest = sorted(others, key=lambda record: self._changed.get(record.instance, 0), reverse=True)
            return [own, *latest]
        begin = self._rounds[receiver] // 2 * self._limits.membership_rotation % len(others)
        return [own, *others[begin:], *others[:begin]]

    def extra_receivers(self, now: int) -> list[int]:
        """Return whom to send to beside the other instances.

        These are seeds at whose address no instance is known, under their seed numbers, and instances that
        still send though their record says they are terminated: they have to learn that.
        """
        addresses = {record.address for record in self.present}
        unknown_seeds = [number for number, seed in self._seeds.items() if seed not in addresses]
        still_sending = [
            record.instance
            for record in self.records.values()
            if record.terminated
            and record.instance != self.me
            and self._received_within(record.instance, now, self._limits.stale_us)
        ]
        return unknown_seeds + still_sending

    def _received_within(self, instance: int, now: int, span_us: int) -> bool:
        received_at = self._received_at.get(instance)
        return received_at is not None and now - received_at <= span_us

    def address_of(self, receiver: int) -> str:
        """Return the address of an instance or a seed; empty where it is not known."""
        record = self.records.get(receiver)
        return self._seeds.get(receiver, "") if record is None else record.address

    def instance_at(self, address: str) -> int | None:
        """Return the instance that sends from an address, as far as is known."""
        return next((record.instance for record in self.present if record.address == address), None)

    def leave(self) -> None:
        """Mark this instance as terminated: it uses nothing any more."""
        self.merge([self.records[self.me]._replace(terminated=True)])

    def mark_terminated(self, instance: int) -> bool:
        """Mark an instance as stopped for good, as an operator says; False where it is not known."""
        if instance not in self.records:
            return False
        self.merge([self.records[instance]._replace(terminated=True)])
        return True

    # What follows from the table

    @property
    def present(self) -> list[InstanceRecord]:
        """The records of instances that are not terminated."""
        return [record for record in self.records.values() if not record.terminated]

    @property
    def quota_holders(self) -> set[int]:
        """The instances that shares are divided among: all that are not terminated.

        One that nothing is received from may merely be cut off, and still use its share.
        """
        return {record.instance for record in self.present}

    @property
    def fence_reason(self) -> str:
        """Why this instance must suspend all use of shares; empty where it need not."""
        record = self.records[self.me]
        if record == self._own:
            return ""
        if record.incarnation == self._own.incarnation and record.terminated:
            return "put out"
        return "another process has its number"

    @property
    def joined(self) -> bool:
        """Whether every instance of the table counts this one."""
        return self._joined and not self.fence_reason

    @property
    def even_share(self) -> float:
        """The own even share of everything that all instances divide; 0 until this one has joined."""
        return 1 / len(self.quota_holders) if self.joined else 0.0

    def state(self, instance: int, now: int) -> MemberState:
        """Return an instance's state as this one sees it."""
        if self.records[instance].terminated:
            return MemberState.TERMINATED
        if instance == self.me:
            return MemberState.SELF
        if self._received_within(instance, now, self.suspect_after_us):
            return MemberState.UP
        return MemberState.SUSPECT

    @property
    def suspect_after_us(self) -> int:
        """The silence after which an instance is suspected.

        As many rounds as it takes for each instance to be sent to, with some of them lost.
        """
        rounds = -(-max(1, len(self.quota_holders) - 1) // self._limits.fanout)
        return self._limits.stale_us * rounds

    def rows(self, now: int) -> list[MemberRow]:
        """Return one row for each instance, for operators."""
        return [
            MemberRow(
                instance=record.instance,
                state=self.state(record.instance, now).value,
                incarnation=record.incarnation,
                address=record.address,
                last_received_ms=self._received_ms(record.instance, now),
                even_share=self.even_share if record.instance == self.me else None,
            )
            for record in sorted(self.records.values())
        ]

    def _received_ms(self, instance: int, now: int) -> int | None:
        received_at = self._received_at.get(instance)
        return None if received_at is None else (now - received_at) // 1000
