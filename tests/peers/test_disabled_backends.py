"""Backends disabled administratively by any instance: a last-writer-wins map."""

from __future__ import annotations

import pathlib
from dataclasses import replace
from itertools import permutations

import pytest

from garnetlanding.ops.admin_state import AdminState, StoredDisable, decode, encode
from garnetlanding.ops.errors import AdminStateError, DisableRejectedError
from garnetlanding.ops.replicated_disables import ReplicatedDisables
from garnetlanding.ops.state_file import StateFile
from garnetlanding.peers.disable_replication import DisableReplication
from garnetlanding.peers.disabled_backends import (
    EMPTY_DIGEST,
    DisabledBackends,
    DisabledTableFullError,
    DisableRecord,
    MergeResult,
    NameTooLongError,
)
from tests.support.suspicions import LIMITS, GossipingInstances


def test_disabled_backend_reaches_all_instances_and_is_enabled_from_any() -> None:
    instances = GossipingInstances()
    instances.run(10)
    disabled = DisabledBackends(LIMITS)
    disabled.set_disabled("n1", disabled=True, instance=0, wall_ms=1000)
    instances.detectors[0].disables.replace_table(disabled)
    instances.run(10)
    for detector in instances.detectors[1:]:
        assert [record.backend for record in detector.disables.take_received()] == ["n1"]
        assert not detector.disables.take_received()
        detector.disables.replace_table(DisabledBackends(LIMITS, disabled.records.values()))
    instances.run(10)
    received = [detector.disables.take_received() for detector in instances.detectors]
    assert received == [[], [], []], "equal tables: no more records are sent"
    enabled = DisabledBackends(LIMITS, disabled.records.values())
    enabled.set_disabled("n1", disabled=False, instance=2, wall_ms=500)
    instances.detectors[2].disables.replace_table(enabled)
    instances.run(10)
    received_by_first = instances.detectors[0].disables.take_received()
    assert [record.disabled for record in received_by_first] == [False], "though its clock is behind"
    assert instances.coordinators[0].disabled_rows()[0].as_json()["out"] is True


# The table

RECORDS = [
    DisableRecord("a", 5, 0, True),
    DisableRecord("a", 5, 1, False),
    DisableRecord("b", 7, 2, True),
    DisableRecord("a", 4, 9, True),
]


def test_merge_gives_the_same_table_in_any_order() -> None:
    tables = []
    for order in permutations(RECORDS):
        table = DisabledBackends(LIMITS)
        for record in order:
            table.merge([record])
        tables.append((table.digest, table.disabled_names))
    assert set(tables) == {(tables[0][0], frozenset({"b"}))}
    assert tables[0][0] != EMPTY_DIGEST


def test_version_without_a_successor_and_record_beyond_the_bound_are_rejected() -> None:
    table = DisabledBackends(
        replace(LIMITS, max_disable_records=2),
        [DisableRecord("a", 1, 0, True), DisableRecord("b", 2, 0, False)],
    )
    max_version = LIMITS.max_version
    assert table.merge([DisableRecord("c", max_version + 1, 0, True)]) == MergeResult((), 1)
    assert (
        table.set_disabled("c", disabled=True, instance=0, wall_ms=0).version == 3
    ), "the oldest enabled one was dropped"
    assert set(table.records) == {"a", "c"}, "the oldest enabled one was dropped"
    with pytest.raises(DisabledTableFullError, match="2 servers are out") as full:
        table.set_disabled("d", disabled=True, instance=0, wall_ms=0)
    assert (full.value.backend, full.value.max_records) == ("d", 2)
    with pytest.raises(NameTooLongError, match="name of more than 180 bytes"):
        table.set_disabled("x" * 181, disabled=True, instance=0, wall_ms=0)
    assert table.merge([DisableRecord("d", 9, 0, True)]) == MergeResult((), 1)
    assert table.disabled_names == {"a", "c"}
    assert table.merge([DisableRecord("a", max_version, 9, True)]).rejected == 0
    assert table.set_disabled("a", disabled=False, instance=0, wall_ms=0).version == max_version + 1
    other = DisabledBackends(LIMITS, [DisableRecord("a", max_version, 9, True)])
    assert other.merge([table.records["a"]]).accepted, "even the greatest version can be outranked"
    assert not other.disabled_names, "even the greatest version can be outranked"


def test_instance_whose_clock_is_behind_merges_records() -> None:
    """An instance that dropped versions an hour ahead of its clock never disabled a backend."""
    replication = DisableReplication(LIMITS)
    replication.replace_table(DisabledBackends(LIMITS))
    state = replicated_disables(replication).merge(
        AdminState(), [DisableRecord("b1", 1_900_000_000_000, 2, True)]
    )
    assert state.disabled == {"b1"}, "its clock reads 1000 ms"


def replicated_disables(replication: DisableReplication) -> ReplicatedDisables:
    return ReplicatedDisables(replication, lambda: 0, lambda: 1000)


def test_disabled_backends_are_stored_with_their_versions(tmp_path: pathlib.Path) -> None:
    replication, file = DisableReplication(LIMITS), StateFile(str(tmp_path), "n1")
    replicated = replicated_disables(replication)
    state = file.update(lambda state: replicated.set_disabled(state, "b1", disabled=True))
    assert state.disabled == {"b1"}
    assert file.load() == state
    replicated.publish(state)
    assert replication.table.records["b1"] == DisableRecord("b1", 1000, 0, True)
    later = DisableRecord("b1", 2000, 1, False)
    state = file.update(lambda state: replicated.merge(state, [later]))
    assert not state.disabled
    assert state.records == (StoredDisable("b1", 2000, 1, False),)
    assert replicated.merge(state, [DisableRecord("b1", 1500, 2, True)]) == state, "an outdated record"
    older = decode("n1", encode("n1", AdminState(frozenset({"b2"}), records=state.records)))
    assert replicated.table(older).disabled_names == {
        "b2"
    }, "disabled by an earlier release, which stored no versions"
    with pytest.raises(DisableRejectedError, match="bytes"):
        replicated.set_disabled(state, "x" * 200, disabled=True)
    with pytest.raises(AdminStateError, match="record"):
        decode("n1", encode("n1", AdminState(records=(StoredDisable("b", "x", 0, True),))))  # type: ignore[arg-type]
