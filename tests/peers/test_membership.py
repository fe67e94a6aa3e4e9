"""Membership: merged tables, joining, fencing, suspects, and the resulting even quotas."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from itertools import permutations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetlanding.decision.control import Controller
from garnetlanding.emulator.group_model import Scope, explore
from garnetlanding.emulator.group_simulation import GroupScenario, GroupSimulation
from garnetlanding.peers.coordinator import PeerCoordinator, PeerSubsystems
from garnetlanding.peers.gossip_schedule import GossipSchedule
from garnetlanding.peers.limits import SECOND
from garnetlanding.peers.membership import FenceReason, Membership
from garnetlanding.peers.membership_protocol import MembershipProtocol
from garnetlanding.peers.membership_table import InstanceRecord
from garnetlanding.peers.operator_tables import member_rows, member_state, suspect_after_us
from garnetlanding.peers.shared_budgets import SharedBudgets
from garnetlanding.peers.status import MemberState
from tests.support.clock import T0
from tests.support.membership import LIMITS, SHARED_BUDGET_SETTINGS, address_of, started_instance


def exchange_records(first: Membership, second: Membership) -> None:
    first.merge(second.table.records.values())
    second.merge(first.table.records.values())


# The table


def test_records_merge_to_the_same_table_in_any_order() -> None:
    records = [
        InstanceRecord(1, 5, False, address_of(1)),
        InstanceRecord(1, 5, True, address_of(1)),
        InstanceRecord(1, 6, False, address_of(2)),
        InstanceRecord(2, 3, False, address_of(3)),
    ]
    digests = set()
    for order in permutations(records):
        members = started_instance(0)
        for record in order:
            members.merge([record])
        digests.add(members.table.digest)
        assert members.quota_holders == {0, 1, 2}
        assert members.address_of(1) == address_of(2)
    assert len(digests) == 1


def test_full_table_drops_records_of_further_instances() -> None:
    full = Membership(replace(LIMITS, max_instances=1), 0, 5, address_of(0), [address_of(0)], 0)
    assert full.merge([InstanceRecord(1, 1, False, address_of(1))]) == 1
    assert full.address_of(1) is None


# Joining


def test_instance_has_no_quota_until_all_that_it_knows_have_its_record() -> None:
    first, second, newcomer = started_instance(0), started_instance(1), started_instance(2)
    exchange_records(first, second)
    first.record_contact(1, second.table.digest, LIMITS.bootstrap_us, sender_joined=False)
    second.record_contact(0, first.table.digest, LIMITS.bootstrap_us, sender_joined=False)
    assert first.joined, "all seeds form the group together"
    assert second.joined, "all seeds form the group together"
    assert first.even_quota == 0.5, "all seeds form the group together"
    newcomer.merge([first.table.records[0], first.table.records[1]])
    newcomer.record_contact(0, first.table.digest, 9 * SECOND, sender_joined=True)
    assert not newcomer.joined, "instance 0 sent the digest of a table without the newcomer"
    first.merge([newcomer.table.records[2]])
    newcomer.record_contact(0, first.table.digest, 9 * SECOND, sender_joined=True)
    assert not newcomer.joined
    assert first.even_quota == pytest.approx(1 / 3)
    second.merge([newcomer.table.records[2]])
    newcomer.record_contact(1, second.table.digest, 9 * SECOND, sender_joined=True)
    assert newcomer.joined
    assert first.even_quota + second.even_quota + newcomer.even_quota == pytest.approx(1)


def test_newcomers_that_know_only_each_other_form_no_second_group() -> None:
    first, second = started_instance(2), started_instance(3)
    exchange_records(first, second)
    first.record_contact(3, second.table.digest, 60 * SECOND, sender_joined=False)
    assert not first.joined, "no message from a seed was received"
    assert len(first.extra_receivers(0)) == 2, "both seeds are still sent to"


def test_seeds_form_no_new_group_once_a_member_of_one_is_received_from() -> None:
    first, second = started_instance(0), started_instance(1)
    exchange_records(first, second)
    first.record_contact(2, b"", 0, sender_joined=True)
    first.record_contact(1, second.table.digest, LIMITS.bootstrap_us, sender_joined=False)
    assert first.joined, "a message from an unknown sender does not count"
    first, second = started_instance(0), started_instance(1)
    exchange_records(first, second)
    first.merge([InstanceRecord(2, 1, False, address_of(2))])
    first.record_contact(2, b"", 0, sender_joined=True)
    first.merge([InstanceRecord(2, 1, True, address_of(2))])
    second.merge(first.table.records.values())
    first.record_contact(1, second.table.digest, LIMITS.bootstrap_us, sender_joined=False)
    assert not first.joined


# Fencing and suspects


def test_terminated_instance_that_still_sends_is_sent_to_until_it_is_stale() -> None:
    members = started_instance(0, seeds=1)
    members.merge([InstanceRecord(1, 1, False, address_of(1))])
    members.record_contact(1, b"", T0, sender_joined=True)
    assert members.extra_receivers(T0) == []
    members.mark_terminated(1)
    assert members.extra_receivers(T0 + LIMITS.peer_timeout_us) == [
        1
    ], "it has to learn that it is terminated"
    assert members.extra_receivers(T0 + LIMITS.peer_timeout_us + 1) == []


def test_confirmation_of_an_earlier_incarnation_does_not_count() -> None:
    members = started_instance(0)
    members.merge([InstanceRecord(1, 5, False, address_of(1))])
    members.record_contact(1, members.table.digest, 0, sender_joined=False)
    assert members.join_progress.confirmed_by == {1}
    members.merge([InstanceRecord(1, 6, False, address_of(1))])
    assert members.join_progress.confirmed_by == set()


def test_terminated_or_replaced_instance_is_fenced_and_its_earlier_incarnation_is_not() -> None:
    alone = started_instance(0, seeds=1)
    alone.update_joined(LIMITS.bootstrap_us)
    assert alone.joined
    alone.merge([InstanceRecord(0, 9, False, address_of(0))])
    assert alone.fence_reason is None, "its own record, from before its clock was set back"
    assert alone.table.records[0].incarnation == 10, "its own record, from before its clock was set back"
    alone.merge([InstanceRecord(0, 11, False, address_of(7))])
    assert alone.fence_reason is FenceReason.DUPLICATE_IDENTITY
    assert alone.fence_reason.value == "another process has its number"
    assert alone.even_quota == 0.0
    other = started_instance(1)
    assert other.mark_terminated(1)
    assert not other.mark_terminated(5)
    assert other.fence_reason is FenceReason.TERMINATED
    assert other.fence_reason.value == "put out"
    assert member_state(other, 1, 0) is MemberState.TERMINATED
    assert member_rows(other, 0)[0].as_json()["part"] == 0.0


def test_unresponsive_instance_is_suspect_and_keeps_its_quota() -> None:
    members = started_instance(0, seeds=1)
    members.merge([InstanceRecord(peer, 1, False, address_of(peer)) for peer in range(1, 9)])
    members.update_joined(LIMITS.bootstrap_us)
    members.record_contact(1, b"", 0, sender_joined=True)
    limit_us = suspect_after_us(members)
    assert limit_us == 2 * LIMITS.peer_timeout_us
    assert len(members.quota_holders) == 9
    assert member_state(members, 1, limit_us) is MemberState.UP
    assert member_state(members, 1, limit_us + 1) is MemberState.SUSPECT


@given(st.integers(2, 300), st.integers(0, 20), st.integers(0, 500))
def test_round_has_a_bounded_cost_and_every_peer_has_a_turn(
    instances: int, partners: int, own_instance: int
) -> None:
    schedule, peers = GossipSchedule(LIMITS, own_instance), set(range(1, instances))
    sent_to: set[int] = set()
    for _ in range(-(-instances // LIMITS.fanout)):
        receivers = schedule.next_receivers(peers, range(1, partners + 1))
        assert len(receivers) <= LIMITS.fanout + LIMITS.max_lease_peers
        assert len(set(receivers)) == len(receivers)
        sent_to |= set(receivers)
    assert sent_to == peers
    assert schedule.next_receivers((), (1,)) == []


# The sum of the even quotas, in simulations and state space exploration

SCENARIOS = {
    "six instances": GroupScenario(),
    "twelve instances": GroupScenario(instances=12, events=30),
    "many events and lost messages": GroupScenario(events=40, loss=0.4, length_us=30 * SECOND),
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_even_quotas_of_a_changing_group_never_exceed_the_whole(name: str) -> None:
    for seed in range(15):
        result = GroupSimulation(replace(SCENARIOS[name], seed=seed)).run()
        assert (
            result.max_quota_sum <= 1 + 1e-9
        ), f"seed {seed}: {result.max_quota_sum} at {result.max_quota_sum_at} us"
        assert result.agreed, f"seed {seed}: tables differ at the end of the calm period"


def join_at_once(self: Membership, _now: int) -> None:
    self.join_progress.has_joined = self.join_progress.has_joined or len(self.table.records) > 1


def join_after_one_confirmation(self: Membership, now: int) -> None:
    progress = self.join_progress
    progress.has_joined = progress.has_joined or (
        bool(progress.confirmed_by)
        and (progress.has_sponsor or progress.bootstrap_at is not None and now > progress.bootstrap_at)
    )


def join_without_a_sponsor(self: Membership, _now: int) -> None:
    progress = self.join_progress
    progress.has_joined = progress.has_joined or (
        bool(progress.confirmed_by) and progress.confirmed_by >= self.quota_holders - {self.own_instance}
    )


def responsive_instances(self: Membership) -> set[int]:
    records = self.table.records
    return {self.own_instance} | {
        instance for instance in self.received_at if instance in records and not records[instance].terminated
    }


def keep_first_records(self: Membership, records: Iterable[InstanceRecord]) -> int:
    for record in records:
        self.table.records.setdefault(record.instance, record)
    self.table._digest = None
    return 0


SEEDED_BUGS: dict[str, tuple[str, object]] = {
    "a newcomer uses its quota at once": ("update_joined", join_at_once),
    "one confirmation is enough": ("update_joined", join_after_one_confirmation),
    "newcomers form a group of their own": ("update_joined", join_without_a_sponsor),
    "only responsive instances count": ("quota_holders", property(responsive_instances)),
    "the first record wins": ("merge", keep_first_records),
}


@pytest.mark.parametrize("bug", SEEDED_BUGS)
def test_seeded_bug_in_membership_is_found_by_simulation(bug: str, monkeypatch: pytest.MonkeyPatch) -> None:
    name, replacement = SEEDED_BUGS[bug]
    monkeypatch.setattr(Membership, name, replacement)
    scenarios = [
        *SCENARIOS.values(),
        GroupScenario(seeds=1, events=20),
        GroupScenario(instances=4, seeds=2, events=40),
    ]
    for seed in range(60):
        result = GroupSimulation(replace(scenarios[seed % len(scenarios)], seed=seed)).run()
        if result.max_quota_sum > 1 + 1e-9 or not result.agreed:
            return
    raise AssertionError("no seed shows the bug")


def test_even_quotas_of_a_small_group_never_exceed_the_whole_in_any_explored_state() -> None:
    found = explore(Scope(max_depth=6))
    assert found.is_complete
    assert found.states > 2000
    assert found.max_quota_sum == pytest.approx(1.0)
    assert found.max_joined == 2
    assert explore(Scope(seeds=1, max_depth=8)).max_quota_sum <= 1 + 1e-9


@pytest.mark.parametrize("bug", ["a newcomer uses its quota at once", "only responsive instances count"])
def test_seeded_bug_in_membership_is_found_by_exploration(bug: str, monkeypatch: pytest.MonkeyPatch) -> None:
    name, replacement = SEEDED_BUGS[bug]
    monkeypatch.setattr(Membership, name, replacement)
    assert explore(Scope(seeds=1, max_depth=9)).max_quota_sum > 1.1


# With shared budgets


def test_suspended_instance_has_no_quota_until_it_resumes() -> None:
    """In a group that it had joined, the next message restored its quota of the budgets."""
    protocol = MembershipProtocol(LIMITS, started_instance(0, seeds=1))
    coordinator = PeerCoordinator(
        Controller(SHARED_BUDGET_SETTINGS, 1),
        incarnation=1,
        subsystems=PeerSubsystems(
            membership=protocol,
            make_budgets=lambda settings, incarnation, now: SharedBudgets(LIMITS, settings, incarnation, now),
        ),
    )
    now = T0
    coordinator.handle(now, [])
    protocol.update_joined(now + LIMITS.bootstrap_us)
    coordinator.handle(now, [])
    budgets = coordinator.budgets
    assert protocol.members.joined
    assert budgets
    assert budgets.leases.resumes_at is not None
    coordinator.set_suspended(now, suspended=True)
    coordinator.handle(now + SECOND, [])
    coordinator.activate(now + SECOND)
    coordinator.handle(now + SECOND, [])
    assert budgets.leases.resumes_at is None
    assert coordinator.leases
    assert coordinator.leases.resumes_at is None
    coordinator.set_suspended(now + SECOND, suspended=False)
    coordinator.handle(now + SECOND, [])
    assert budgets.leases.resumes_at is not None, "as after a start"
    assert coordinator.leases.resumes_at is not None, "as after a start"
