"""Membership: tables that merge, suspicion, replacement, and the even quota shares that follow from it."""

from __future__ import annotations

from dataclasses import replace
from itertools import permutations
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetlanding.decision.control import Controller
from garnetlanding.emulator.group_model import Scope, explore
from garnetlanding.emulator.group_net import GroupScenario, GroupSimulation
from garnetlanding.peers.coordinator import PeerCoordinator, PeerSubsystems
from garnetlanding.peers.gossip_schedule import GossipSchedule
from garnetlanding.peers.limits import SECOND
from garnetlanding.peers.membership import InstanceRecord, Membership, MemberState
from garnetlanding.peers.membership_protocol import MembershipProtocol
from garnetlanding.peers.shared_budgets import SharedBudgets
from tests.support.clock import T0
from tests.support.membership import COLD, LIMITS


def at(head: int) -> str:
    return f"127.0.0.{head + 1}:7946"


def one(head: int, life: int = 5, seeds: int = 2) -> Membership:
    return Membership(LIMITS, head, life, at(head), [at(n) for n in range(seeds)], 0)


# The table


def test_records_merge_to_the_same_table_in_any_order() -> None:
    words = [
        InstanceRecord(1, 5, False, at(1)),
        InstanceRecord(1, 5, True, at(1)),
        InstanceRecord(1, 6, False, at(2)),
        InstanceRecord(2, 3, False, at(3)),
    ]
    digests = set()
    for order in permutations(words):
        table = one(0)
        for word in order:
            table.merge([word])
        digests.add(table.digest)
        assert table.quota_holders == {0, 1, 2}
        assert table.address_of(1) == at(2)
    assert len(digests) == 1


def test_instance_has_no_share_until_all_that_it_knows_have_its_record() -> None:
    a, b, new = one(0), one(1), one(2)
    for x, y in ((a, b), (b, a)):
        x.merge(y.records.values())
    a.record_contact(1, b.digest, False, LIMITS.bootstrap_us)
    b.record_contact(0, a.digest, False, LIMITS.bootstrap_us)
    assert a.joined, "all seeds begin it together"
    assert b.joined, "all seeds begin it together"
    assert a.even_share == 0.5, "all seeds begin it together"
    new.merge([a.records[0], a.records[1]])
    new.record_contact(0, a.digest, True, 9 * SECOND)
    assert not new.joined, "head 0 told the table that it had before it heard of this one"
    a.merge([new.records[2]])
    new.record_contact(0, a.digest, True, 9 * SECOND)
    assert not new.joined
    assert a.even_share == pytest.approx(1 / 3)
    b.merge([new.records[2]])
    new.record_contact(1, b.digest, True, 9 * SECOND)
    assert new.joined
    assert a.even_share + b.even_share + new.even_share == pytest.approx(1)


def test_newcomers_that_know_only_each_other_begin_no_second_group() -> None:
    a, b = one(2), one(3)
    for x, y in ((a, b), (b, a)):
        x.merge(y.records.values())
    a.record_contact(3, b.digest, False, 60 * SECOND)
    assert not a.joined, "no seed has been heard"
    assert len(a.extra_receivers(0)) == 2, "no seed has been heard"


def test_terminated_or_replaced_instance_is_fenced_and_its_earlier_incarnation_is_not() -> None:
    alone = one(0, seeds=1)
    alone.update_joined(LIMITS.bootstrap_us)
    assert alone.joined
    alone.merge([InstanceRecord(0, 9, False, at(0))])
    assert alone.fence_reason == "", "its own, before its clock was set back"
    assert alone.records[0].incarnation == 10, "its own, before its clock was set back"
    alone.merge([InstanceRecord(0, 11, False, at(7))])
    assert alone.fence_reason == "another process has its number"
    assert alone.even_share == 0.0
    other = one(1)
    assert other.mark_terminated(1)
    assert not other.mark_terminated(5)
    assert other.fence_reason == "put out"
    assert other.state(1, 0) is MemberState.TERMINATED
    assert other.rows(0)[0].as_json()["part"] == 0.0


def test_unresponsive_instance_is_suspect_and_keeps_its_share() -> None:
    a = one(0, seeds=1)
    a.merge([InstanceRecord(n, 1, False, at(n)) for n in range(1, 9)])
    a.update_joined(LIMITS.bootstrap_us)
    a.record_contact(1, b"", True, 0)
    assert a.suspect_after_us == 2 * LIMITS.stale_us
    assert len(a.quota_holders) == 9
    assert [a.state(1, when) for when in (a.suspect_after_us, a.suspect_after_us + 1)] == [
        MemberState.UP,
        MemberState.SUSPECT,
    ]
    full = Membership(replace(LIMITS, max_instances=1), 0, 5, at(0), [at(0)], 0)
    assert full.merge([InstanceRecord(1, 1, False, at(1))]) == 1


@given(st.integers(2, 300), st.integers(0, 20), st.integers(0, 500))
def test_round_has_a_bounded_cost_and_every_peer_has_a_turn(heads: int, partners: int, me: int) -> None:
    turns, others = GossipSchedule(LIMITS, me), set(range(1, heads))
    seen: set[int] = set()
    for _ in range(-(-heads // LIMITS.fanout)):
        chosen = turns.round(others, range(1, partners + 1))
        assert len(chosen) <= LIMITS.fanout + LIMITS.max_partners
        assert len(set(chosen)) == len(chosen)
        seen |= set(chosen)
    assert seen == others
    assert turns.round((), (1,)) == []


NETS = {
    "six": GroupScenario(),
    "twelve": GroupScenario(instances=12, events=30),
    "a storm": GroupScenario(events=40, loss=0.4, length_us=30 * SECOND),
}


@pytest.mark.parametrize("name", NETS)
def test_even_shares_of_a_changing_group_never_exceed_the_whole(name: str) -> None:
    for seed in range(15):
        seen = GroupSimulation(replace(NETS[name], seed=seed)).run()
        assert (
            seen.max_share_sum <= 1 + 1e-9
        ), f"seed {seed}: {seen.max_share_sum} at {seen.max_share_sum_at} us"
        assert seen.agreed, f"seed {seed}: tables differ once all is calm"


def at_once(self: Membership, _now: int) -> None:
    self._joined = self._joined or len(self.records) > 1


def one_is_enough(self: Membership, now: int) -> None:
    self._joined = self._joined or (
        bool(self._confirmed_by)
        and (self._sponsored or self._bootstrap_at is not None and now > self._bootstrap_at)
    )


def without_a_sponsor(self: Membership, _now: int) -> None:
    self._joined = self._joined or (
        bool(self._confirmed_by) and self._confirmed_by >= self.quota_holders - {self.me}
    )


def heard_only(self: Membership) -> set[int]:
    return {self.me} | {
        who for who in self._received_at if who in self.records and not self.records[who].terminated
    }


def older_stands(self: Membership, records: Any) -> int:
    for record in records:
        self.records.setdefault(record.instance, record)
    self._digest = None
    return 0


GROUP_BUGS: dict[str, tuple[str, object]] = {
    "a newcomer uses its part at once": ("update_joined", at_once),
    "one head's word is enough": ("update_joined", one_is_enough),
    "newcomers begin a group of their own": ("update_joined", without_a_sponsor),
    "only who is heard counts": ("quota_holders", property(heard_only)),
    "the first word stands": ("merge", older_stands),
}


@pytest.mark.parametrize("bug", GROUP_BUGS)
def test_seeded_bug_in_membership_is_found_by_simulation(bug: str, monkeypatch: pytest.MonkeyPatch) -> None:
    name, instead = GROUP_BUGS[bug]
    monkeypatch.setattr(Membership, name, instead)
    nets = [*NETS.values(), GroupScenario(seeds=1, events=20), GroupScenario(instances=4, seeds=2, events=40)]
    for seed in range(60):
        seen = GroupSimulation(replace(nets[seed % len(nets)], seed=seed)).run()
        if seen.max_share_sum > 1 + 1e-9 or not seen.agreed:
            return
    raise AssertionError("no seed shows it")


def test_no_course_of_a_small_group_makes_even_shares_exceed_the_whole() -> None:
    found = explore(Scope(moves=6))
    assert found.is_complete
    assert found.states > 2000
    assert found.max_share_sum == pytest.approx(1.0)
    assert found.max_joined == 2
    assert explore(Scope(seeds=1, moves=8)).max_share_sum <= 1 + 1e-9


@pytest.mark.parametrize("bug", ["a newcomer uses its part at once", "only who is heard counts"])
def test_seeded_bug_in_membership_is_found_by_exploration(bug: str, monkeypatch: pytest.MonkeyPatch) -> None:
    name, instead = GROUP_BUGS[bug]
    monkeypatch.setattr(Membership, name, instead)
    assert explore(Scope(seeds=1, moves=9)).max_share_sum > 1.1


def test_suspended_instance_has_no_share_until_it_resumes() -> None:
    """In a group that it has joined, its part of the budgets came back with the next message."""
    group = MembershipProtocol(LIMITS, one(0, seeds=1))
    coordinator = PeerCoordinator(
        Controller(COLD, 1),
        incarnation=1,
        subsystems=PeerSubsystems(
            membership=group, make_budgets=lambda s, life, now: SharedBudgets(LIMITS, s, life, now)
        ),
    )
    now = T0
    coordinator.handle(now, [])
    group.update_joined(now + LIMITS.bootstrap_us)
    coordinator.handle(now, [])
    budgets = coordinator.budgets
    assert group.members.joined
    assert budgets
    assert budgets.leases.resumes_at is not None
    coordinator.set_suspended(True, now)
    coordinator.handle(now + SECOND, [])
    coordinator.activate(now + SECOND)
    coordinator.handle(now + SECOND, [])
    assert budgets.leases.resumes_at is None
    assert coordinator.leases
    assert coordinator.leases.resumes_at is None
    coordinator.set_suspended(False, now + SECOND)
    coordinator.handle(now + SECOND, [])
    assert budgets.leases.resumes_at is not None, "as after a start"
    assert coordinator.leases.resumes_at is not None, "as after a start"
