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
from tests.support.suspicions import LIMITS, Heads


def test_a_ban_reaches_all_and_is_lifted_from_any() -> None:
    f = Heads()
    f.run(10)
    said = DisabledBackends(LIMITS)
    said.set_disabled("n1", True, 0, 1000)
    f.fleets[0].replace_disabled(said)
    f.run(10)
    for fleet in f.fleets[1:]:
        assert [r.backend for r in fleet.take_received()] == ["n1"] and not fleet.take_received()
        fleet.replace_disabled(DisabledBackends(LIMITS, said.records.values()))
    f.run(10)
    assert not any(fleet.take_received() for fleet in f.fleets), "alike: nothing more is told"
    lifted = DisabledBackends(LIMITS, said.records.values())
    lifted.set_disabled("n1", False, 2, 500)
    f.fleets[2].replace_disabled(lifted)
    f.run(10)
    assert [r.disabled for r in f.fleets[0].take_received()] == [
        False
    ], "a clock that is behind does not keep it from that"
    assert f.talks[0].known("bans", f.now)[0]["out"] is True


# Bans

RECORDS = [
    DisableRecord("a", 5, 0, True),
    DisableRecord("a", 5, 1, False),
    DisableRecord("b", 7, 2, True),
    DisableRecord("a", 4, 9, True),
]


def test_tables_merge_to_the_same_one_in_any_order() -> None:
    tables = []
    for order in permutations(RECORDS):
        bans = DisabledBackends(LIMITS)
        for record in order:
            bans.merge([record])
        tables.append((bans.digest, bans.disabled_names))
    assert set(tables) == {(tables[0][0], frozenset({"b"}))} and tables[0][0] != EMPTY_DIGEST


def test_a_version_that_could_not_be_outbid_and_one_ban_too_many_are_not_taken() -> None:
    bans = DisabledBackends(
        replace(LIMITS, bans=2), [DisableRecord("a", 1, 0, True), DisableRecord("b", 2, 0, False)]
    )
    most = LIMITS.ban_version
    assert bans.merge([DisableRecord("c", most + 1, 0, True)]) == Merged((), 1)
    assert bans.set_disabled("c", True, 0, 0).version == 3 and set(bans.records) == {
        "a",
        "c",
    }, "the oldest back went"
    with pytest.raises(DisabledBackendError, match="2 servers are out"):
        bans.set_disabled("d", True, 0, 0)
    with pytest.raises(DisabledBackendError, match="bytes"):
        bans.set_disabled("x" * 181, True, 0, 0)
    assert bans.merge([DisableRecord("d", 9, 0, True)]) == Merged((), 1) and bans.disabled_names == {"a", "c"}
    assert (
        bans.merge([DisableRecord("a", most, 9, True)]).rejected == 0
        and bans.set_disabled("a", False, 0, 0).version == most + 1
    )
    other = DisabledBackends(LIMITS, [DisableRecord("a", most, 9, True)])
    assert (
        other.merge([bans.records["a"]]).news and not other.disabled_names
    ), "what a liar says last is outbid"


def test_a_head_whose_clock_is_behind_takes_bans_all_the_same() -> None:
    """It dropped every version more than an hour ahead of its own clock: a ban never held there."""
    fleet = FailureDetector(LIMITS)
    fleet.replace_disabled(DisabledBackends(LIMITS))
    state = shared(fleet).merge(AdminState(), [DisableRecord("b1", 1_900_000_000_000, 2, True)])
    assert state.disabled == {"b1"}, "its clock says 1000 ms"


def shared(fleet: FailureDetector, me: int = 0) -> ReplicatedDisables:
    return ReplicatedDisables(fleet, lambda: me, lambda: 1000)


def test_bans_are_kept_on_disk_with_their_versions(tmp_path: pathlib.Path) -> None:
    fleet, file = FailureDetector(LIMITS), StateFile(str(tmp_path), "n1")
    desk = shared(fleet)
    state = file.update(lambda s: desk.set_disabled(s, "b1", True))
    assert state.disabled == {"b1"} and file.load() == state
    desk.publish(state)
    assert fleet.disabled.records["b1"] == DisableRecord("b1", 1000, 0, True)
    later = DisableRecord("b1", 2000, 1, False)
    state = file.update(lambda s: desk.merge(s, [later]))
    assert not state.disabled and state.records == (StoredDisable("b1", 2000, 1, False),)
    assert desk.merge(state, [DisableRecord("b1", 1500, 2, True)]) == state, "last week's word"
    older = decode("n1", encode("n1", AdminState(frozenset({"b2"}), records=state.records)))
    assert desk.table(older).disabled_names == {"b2"}, "put out by a process that had no versions"
    with pytest.raises(DisableRejectedError, match="bytes"):
        desk.set_disabled(state, "x" * 200, True)
    with pytest.raises(AdminStateError, match="record"):
        decode("n1", encode("n1", AdminState(records=(StoredDisable("b", "x", 0, True),))))  # type: ignore[arg-type]
