"""The selection and order of the membership records sent to a peer."""

from __future__ import annotations

from dataclasses import replace

from garnetlanding.peers.membership_table import InstanceRecord, MembershipTable
from garnetlanding.peers.record_dissemination import RecordDissemination
from tests.support.membership import LIMITS, address_of

ROTATION = replace(LIMITS, membership_rotation=2)


def record(instance: int, incarnation: int = 1) -> InstanceRecord:
    return InstanceRecord(instance, incarnation, False, address_of(instance))


def table_of(instances: int) -> MembershipTable:
    table = MembershipTable(record(0), LIMITS.max_instances)
    for instance in range(1, instances):
        table.store(record(instance))
    return table


def instances_sent(dissemination: RecordDissemination, digest: bytes | None = None) -> list[int]:
    return [sent.instance for sent in dissemination.records_for(1, digest)]


def test_peer_with_an_equal_table_is_sent_the_own_record_alone() -> None:
    table = table_of(5)
    dissemination = RecordDissemination(ROTATION, table, 0)
    assert instances_sent(dissemination, table.digest) == [0]
    assert instances_sent(dissemination, b"another") == [0, 4, 3, 2, 1]


def test_latest_changes_alternate_with_a_rotation_of_all_records() -> None:
    table = table_of(6)
    dissemination = RecordDissemination(ROTATION, table, 0)
    table.store(record(2, incarnation=7))
    assert instances_sent(dissemination) == [0, 2, 5, 4, 3, 1], "the latest change first"
    assert instances_sent(dissemination) == [0, 3, 4, 5, 1, 2]
    assert instances_sent(dissemination) == [0, 2, 5, 4, 3, 1]
    assert instances_sent(dissemination) == [0, 5, 1, 2, 3, 4]


def test_rounds_are_counted_for_each_receiver_separately() -> None:
    dissemination = RecordDissemination(ROTATION, table_of(4), 0)
    first = instances_sent(dissemination)
    other_receiver = [sent.instance for sent in dissemination.records_for(2, None)]
    assert other_receiver == first == [0, 3, 2, 1]
