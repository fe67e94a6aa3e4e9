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
from garnetlanding.peers.disabled_backends import (
    EMPTY_DIGEST,
    DisabledBackendError,
    DisabledBackends,
    DisableRecord,
    Merged,
)
from garnetlanding.peers.failure_detector import FailureDetector
from tests.support.suspicions import LIMITS, GossipingInstances


def test_disabled_backend_reaches_all_instances_and_is_enabled_from_any() -> None:
    group = GossipingInstances()
    group.run(10)
    disabled = DisabledBackends(LIMITS)
    disabled.set_disabled("n1", True, 0, 1000)
    group.detectors[0].replace_disabled(disabled)
    group.run(10)
    for fleet in group.detectors[1:]:
        assert [r.backend for r in fleet.take_received()] == ["n1"]
        assert not fleet.take_received()
        fleet.replace_disabled(DisabledBackends(LIMITS, disabled.records.values()))
    group.run(10)
    assert not any(
        fleet.take_received() for fleet in group.detectors
    ), "equal tables: no more records are sent"
    enabled = DisabledBackends(LIMITS, disabled.records.values())
    enabled.set_disabled("n1", False, 2, 500)
    group.detectors[2].replace_disabled(enabled)
    group.run(10)
    assert [r.disabled for r in group.detectors[0].take_received()] == [
        False
    ], "a clock that is behind does not keep it from that"
    assert group.coordinators[0].disabled_rows()[0].as_json()["out"] is True


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
    most = LIMITS.max_version
    assert table.merge([DisableRecord("c", most + 1, 0, True)]) == Merged((), 1)
    assert table.set_disabled("c", True, 0, 0).version == 3, "the oldest enabled one was dropped"
    assert set(table.records) == {
        "a",
        "c",
    }, "the oldest enabled one was dropped"
    with pytest.raises(DisabledBackendError, match="2 servers are out"):
        table.set_disabled("d", True, 0, 0)
    with pytest.raises(DisabledBackendError, match="bytes"):
        table.set_disabled("x" * 181, True, 0, 0)
    assert table.merge([DisableRecord("d", 9, 0, True)]) == Merged((), 1)
    assert table.disabled_names == {
        "a",
        "c",
    }
    assert table.merge([DisableRecord("a", most, 9, True)]).rejected == 0
    assert table.set_disabled("a", False, 0, 0).version == most + 1
    other = DisabledBackends(LIMITS, [DisableRecord("a", most, 9, True)])
    assert other.merge([table.records["a"]]).news, "the last record of a liar is outbid"
    assert not other.disabled_names, "the last record of a liar is outbid"


def test_instance_whose_clock_is_behind_merges_records() -> None:
    """It dropped every version more than an hour ahead of its clock: no backend was ever disabled there."""
    fleet = FailureDetector(LIMITS)
    fleet.replace_disabled(DisabledBackends(LIMITS))
    state = shared(fleet).merge(AdminState(), [DisableRecord("b1", 1_900_000_000_000, 2, True)])
    assert state.disabled == {"b1"}, "its clock says 1000 ms"


def shared(fleet: FailureDetector, me: int = 0) -> ReplicatedDisables:
    return ReplicatedDisables(fleet, lambda: me, lambda: 1000)


def test_disabled_backends_are_stored_with_their_versions(tmp_path: pathlib.Path) -> None:
    fleet, file = FailureDetector(LIMITS), StateFile(str(tmp_path), "n1")
    replicated = shared(fleet)
    state = file.update(lambda s: replicated.set_disabled(s, "b1", disabled=True))
    assert state.disabled == {"b1"}
    assert file.load() == state
    replicated.publish(state)
    assert fleet.disabled.records["b1"] == DisableRecord("b1", 1000, 0, True)
    later = DisableRecord("b1", 2000, 1, False)
    state = file.update(lambda s: replicated.merge(s, [later]))
    assert not state.disabled
    assert state.records == (StoredDisable("b1", 2000, 1, False),)
    assert replicated.merge(state, [DisableRecord("b1", 1500, 2, True)]) == state, "last week's record"
    older = decode("n1", encode("n1", AdminState(frozenset({"b2"}), records=state.records)))
    assert replicated.table(older).disabled_names == {"b2"}, "disabled by a process that had no versions"
    with pytest.raises(DisableRejectedError, match="bytes"):
        replicated.set_disabled(state, "x" * 200, disabled=True)
    with pytest.raises(AdminStateError, match="record"):
        decode("n1", encode("n1", AdminState(records=(StoredDisable("b", "x", 0, True),))))  # type: ignore[arg-type]
