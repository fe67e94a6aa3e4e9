"""Replication of disabled backends to a peer: the records sent and the records accepted."""

from __future__ import annotations

from garnetlanding.peers.disable_replication import DisableReplication
from garnetlanding.peers.disabled_backends import EMPTY_DIGEST, DisabledBackends, DisableRecord
from tests.support.suspicions import LIMITS

PEER = 1
RECORDS = [DisableRecord(name, version, 0, True) for version, name in enumerate("abcd", 1)]


def replication_of(records: list[DisableRecord]) -> DisableReplication:
    replication = DisableReplication(LIMITS)
    replication.replace_table(DisabledBackends(LIMITS, records))
    return replication


def candidates(replication: DisableReplication, incarnation: int = 1) -> str:
    records = replication.candidates_for(PEER, incarnation, replication.latest_first())
    return "".join(record.backend for record in records)


def test_records_are_rotated_until_the_tables_are_equal() -> None:
    replication = replication_of(RECORDS)
    assert candidates(replication) == "dcba", "the latest first"
    replication.register_sent(PEER, 3)
    assert candidates(replication) == "adcb", "those not sent yet follow"
    replication.receive(PEER, 1, replication.table.digest, ())
    assert candidates(replication) == ""
    assert candidates(replication, incarnation=2) == "adcb", "a restarted peer may have lost its table"


def test_peer_without_a_digest_is_assumed_to_have_an_empty_table() -> None:
    assert candidates(replication_of([])) == ""
    replication = replication_of(RECORDS)
    replication.receive(PEER, 1, EMPTY_DIGEST, ())
    assert candidates(replication) == "dcba"


def test_only_records_later_than_the_known_ones_are_received_and_only_where_enabled() -> None:
    replication = replication_of(RECORDS)
    later = DisableRecord("a", 9, 2, False)
    replication.receive(PEER, 1, b"digest 8", [RECORDS[1], later, DisableRecord("a", 8, 2, True)])
    assert replication.take_received() == [later]
    assert replication.take_received() == []
    switched_off = DisableReplication(LIMITS, is_enabled=False)
    switched_off.receive(PEER, 1, b"digest 8", RECORDS)
    assert not switched_off.merge_received()
    assert not switched_off.table.records


def test_merging_received_records_reports_a_changed_table() -> None:
    replication = DisableReplication(LIMITS)
    replication.receive(PEER, 1, b"digest 8", RECORDS)
    assert replication.merge_received()
    assert replication.table.disabled_names == {"a", "b", "c", "d"}
    assert not replication.merge_received()
