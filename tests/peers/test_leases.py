"""Leases of a limit shared by all instances: on simulated clocks and networks, with seeded bugs."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from garnetlanding.emulator.lease_model import Scope, explore
from garnetlanding.emulator.lease_net import SECOND, RunResult, Scenario, Simulation
from garnetlanding.peers import lease_message
from garnetlanding.peers.drop_reasons import DropReason
from garnetlanding.peers.grants import Grant, GrantLedger
from garnetlanding.peers.lease_message import LeaseMessage, QuotaRequest
from garnetlanding.peers.leases import Leases
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.name_tag import name_tag
from garnetlanding.peers.peer_contacts import InstanceIdentity
from tests.support.leases import LIMITS

TAG = name_tag("v")


SCENARIOS = {
    "two of three": Scenario(),
    "all of three": Scenario(hosts=3),
    "two of eight": Scenario(instances=8),
    "five of five": Scenario(5, 5, 5),
    "clocks far apart": Scenario(drift=0.0099),
    "half is lost": Scenario(loss=0.5),
    "many crashes": Scenario(faults=12),
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_usable_quotas_never_add_up_to_more_than_the_limit_under_faults(name: str) -> None:
    for seed in range(12):
        result = Simulation(replace(SCENARIOS[name], seed=seed)).run()
        assert (
            result.greatest_sum <= 1 + 1e-9
        ), f"seed {seed}: {result.greatest_sum} at {result.greatest_sum_at} us"


def test_simulation_with_the_same_seed_gives_the_same_result() -> None:
    assert Simulation(Scenario(seed=3)).run() == Simulation(Scenario(seed=3)).run()


def test_busiest_instance_can_use_nearly_the_whole_limit() -> None:
    """Fixed quotas let it use 1 / hosts."""
    steady = Simulation(
        Scenario(calm=True, other_demand=0.0, shift_us=60 * SECOND, length_us=60 * SECOND)
    ).run()
    moving = Simulation(
        Scenario(calm=True, other_demand=0.0, shift_us=12 * SECOND, length_us=60 * SECOND)
    ).run()
    assert steady.utilization > 0.95
    assert moving.utilization > 0.9
    assert steady.greatest_sum <= 1 + 1e-9
    assert moving.greatest_sum <= 1 + 1e-9


def fleet_of(instances: int = 3) -> list[Leases]:
    """Return the leases of instances that all start at the time 0."""
    return [Leases(LIMITS, InstanceIdentity(number, instances, 7), 0) for number in range(instances)]


def test_quota_change_is_reported_for_a_volume_without_recent_requests() -> None:
    """Earlier requests may still be queued for tokens, and would be sent on a quota that is granted away."""
    grantor, requester, bystander = fleet_of()
    start = LIMITS.lease_us * 2
    grantor.record_demand("v", 2, 40.0, 2, start)
    assert grantor.refresh_quotas(start) == {"v": 0.5}
    later = start + LIMITS.demand_window_us + 200_000
    assert grantor.refresh_quotas(later) == {}
    for now in range(later, later + 600_000, 100_000):
        requester.record_demand("v", 2, 40.0, 8, now)
        exchange([grantor, requester, bystander], now)
        changed = grantor.refresh_quotas(now)
        assert changed.get("v", 0.5) == grantor.usable_quota(TAG, now)
        if changed:
            break
    assert changed["v"] < 0.5


def exchange(group: list[Leases], now: int, cut_off: tuple[int, ...] = ()) -> None:
    """Send a message from each instance to every other; those from and to the `cut_off` are lost."""
    for sender in group:
        number = sender.contacts.next_number(now)
        for receiver, page in sender.compose(now).items():
            if sender.identity.number not in cut_off and receiver not in cut_off:
                group[receiver].receive(
                    sender.identity.number,
                    LeaseMessage(
                        sender.identity.incarnation, number, *sender.contacts.last_received(receiver), *page
                    ),
                    now,
                )


def run_busy(group: list[Leases], start: int, seconds: float, cut_off: tuple[int, ...] = ()) -> int:
    """Let instance 0 get requests for the whole limit and the others none; return the time after it."""
    now = start
    for now in range(start, start + int(seconds * SECOND), SECOND // 10):
        group[0].record_demand("v", 2, 40.0, 4, now)
        if now % (SECOND // 5) == 0:
            exchange(group, now, cut_off)
    return now


def test_instance_cut_off_falls_back_to_its_even_quota_and_regains_leases_when_reconnected() -> None:
    group = fleet_of()
    now = run_busy(group, 0, 4)
    assert group[0].usable_quota(TAG, now) == pytest.approx(1.0)
    now = run_busy(group, now, 2, cut_off=(0,))
    assert group[0].usable_quota(TAG, now) == 0.5
    now = run_busy(group, now, 1)
    assert group[0].usable_quota(TAG, now) == pytest.approx(1.0)


def test_peer_cut_off_that_is_no_host_costs_nothing_once_the_hosts_are_known() -> None:
    group = fleet_of()
    now = run_busy(group, 0, 3, cut_off=(2,))
    assert (
        group[0].usable_quota(TAG, now) == 0.5
    ), "instance 2 may be the volume's other host, and send for itself"
    group[1].record_demand("v", 2, 40.0, 1, now)
    now = run_busy(group, now, 1, cut_off=(2,))
    assert group[0].usable_quota(TAG, now) > 0.9, "the other host is instance 1"


def test_started_instance_uses_nothing_until_grants_of_its_earlier_incarnation_have_expired() -> None:
    group = fleet_of()
    group[1].record_demand("v", 2, 40.0, 1, 0)
    assert group[1].usable_quota(TAG, 0) == 0.0
    assert group[1].refresh_quotas(0) == {"v": 0.0}
    resumes_at = group[1].resumes_at
    assert resumes_at is not None
    assert group[1].usable_quota(TAG, resumes_at) == 0.5
    assert group[1].refresh_quotas(resumes_at) == {"v": 0.5}


def test_changed_number_of_hosts_changes_the_even_quota_of_an_instance_without_contacts() -> None:
    """It was taken for the quota that the module had anyway, and the module went on with the old one."""
    one = Leases(LIMITS, InstanceIdentity(0, 3, 7), 0)
    assert one.resumes_at is not None
    now = one.resumes_at
    one.record_demand("v", 2, 40.0, 1, now)
    assert one.refresh_quotas(now) == {"v": 0.5}
    one.record_demand("v", 3, 40.0, 1, now + 1)
    assert one.refresh_quotas(now + 1) == {"v": pytest.approx(1 / 3)}


def test_lease_of_a_stalled_instance_has_expired_before_it_may_send_again() -> None:
    group = fleet_of()
    now = run_busy(group, 0, 4)
    assert group[0].refresh_quotas(now) == {"v": pytest.approx(1.0)}
    late = now + LIMITS.lease_us + 1
    group[0].record_demand("v", 2, 40.0, 4, late)
    assert group[0].refresh_quotas(late) == {"v": 0.5}


def test_messages_of_unknown_peers_and_requests_beyond_the_bound_are_not_kept() -> None:
    one = Leases(PeerLimits(max_volumes=5), InstanceIdentity(0, 3, 1), 0)
    assert [one.receive(sender, LeaseMessage(1, 1), 0) for sender in (0, 3, -1, 2)] == [
        DropReason.UNKNOWN_PEER
    ] * 3 + [None]
    one.receive(1, LeaseMessage(1, 1, 0, 0, {v: QuotaRequest(1.0, 2) for v in range(30)}), 0)
    assert len(one.contacts.by_peer[1].requests) == 5
    one.receive(1, LeaseMessage(1, 2, 1, 1, {}, {v: 1.0 for v in range(30)}), 0)
    assert not one.received.by_volume, "no grant is kept that was not requested"


def test_restarted_peer_is_accepted_at_once_and_its_earlier_incarnation_no_more() -> None:
    one = Leases(LIMITS, InstanceIdentity(0, 3, 1), 0)
    assert [one.receive(1, LeaseMessage(*m), 0) for m in ((5, 9), (6, 1), (5, 10), (6, 1))] == [
        None,
        None,
        DropReason.OUTDATED,
        DropReason.OUTDATED,
    ]
    assert (
        one.receive(1, LeaseMessage(5, 11), LIMITS.peer_timeout_us + 1) is None
    ), "its clock was set back: accepted later"


def test_drop_reasons_are_counted_by_the_words_that_operators_know() -> None:
    words = {"no peer", "old", "other kind", "no such server", "other life", "word too old"}
    assert {reason.value for reason in DropReason} == words


# Seeded bugs

real_receive = Leases.receive
real_usable_quota = Leases.usable_quota
real_make_grants = Leases._make_grants
real_refresh_quotas = Leases.refresh_quotas
real_init = Leases.__init__
real_drop_expired = Leases._drop_expired
real_record_demand = Leases.record_demand
real_encode = lease_message.encode


def lease_from_arrival(self: Leases, sender: int, message: LeaseMessage, now: int) -> DropReason | None:
    is_acked = message.acked_incarnation == self.identity.incarnation
    self.contacts.sent[message.acked_number] = now if is_acked else 0
    return real_receive(self, sender, message, now)


def lease_doubled(self: Leases, sender: int, message: LeaseMessage, now: int) -> DropReason | None:
    if message.acked_number in self.contacts.sent:
        self.contacts.sent[message.acked_number] = now + LIMITS.lease_us
    return real_receive(self, sender, message, now)


def granted_quotas_used(self: Leases, volume: int, now: int) -> float:
    granted, self.granted = self.granted, GrantLedger()
    quota = real_usable_quota(self, volume, now)
    self.granted = granted
    return quota


def lease_without_end(self: Leases, volume: int, now: int) -> float:
    for grantors in self.received.by_volume.values():
        for peer, grant in grantors.items():
            grantors[peer] = Grant(grant.fraction, now + SECOND)
    return real_usable_quota(self, volume, now)


def grant_not_recorded(self: Leases, peer: int, now: int) -> dict[int, float]:
    grants = real_make_grants(self, peer, now)
    for volume in grants:
        self.granted.by_volume[volume][peer].pop()
    return grants


def fractions_of_all_peers(self: Leases, volume: int, now: int) -> float:
    hosts = self.demands.by_tag[volume].hosts
    received = list(self.received.fractions(volume, now).values())
    quota = real_usable_quota(self, volume, now)
    return max(quota, min(1.0, (1 / hosts + sum(received) / hosts) if self.may_use_quotas(now) else 0.0))


def greatest_fractions(self: Leases, volume: int, now: int) -> float:
    """As if an instance that is no host granted something of the volume."""
    demand = self.demands.by_tag[volume]
    demand.last_request_by_peer = {}
    received = sorted(self.received.fractions(volume, now).values(), reverse=True)
    granted = self.granted.total(volume, now) if self.may_use_quotas(now) else 1.0
    return (max(0.0, 1 - granted) + sum(received[: demand.hosts - 1])) / demand.hosts


def last_grant_only(self: GrantLedger, volume: int, peer: int, now: int) -> float:
    grants = self.by_volume[volume][peer] = [g for g in self.by_volume[volume][peer] if g.expires_at > now]
    return grants[-1].fraction if grants else 0.0


def quarantine_too_short(self: Leases) -> int:
    return int(self.limits.lease_us * 0.8)


def rechecked_seldom(self: Leases, now: int) -> dict[str, float]:
    changed = real_refresh_quotas(self, now)
    self.recheck_at = now + SECOND
    return changed


def whole_quota_to_each(_self: Leases, _volume: int, _hosts: int, _peer: int, _now: int) -> float:
    return 1.0


def no_quarantine(self: Leases, *args: Any) -> None:
    real_init(self, *args)
    self.resumes_at = args[2]


def grants_forgotten(self: Leases, now: int) -> None:
    real_drop_expired(self, now)
    self.granted.by_volume.clear()


def fractions_rounded_up(message: LeaseMessage) -> bytes:
    grants = {volume: min(1.0, fraction * 1.25) for volume, fraction in message.grants.items()}
    return real_encode(replace(message, grants=grants))


def one_receiver_counted(self: Leases, volume: int, now: int) -> float:
    receivers = self.granted.by_volume.get(volume, {})
    omitted = {receiver: receivers[receiver] for receiver in list(receivers)[1:]}
    for receiver in omitted:
        del receivers[receiver]
    quota = real_usable_quota(self, volume, now)
    receivers.update(omitted)
    return quota


def one_host_too_few(self: Leases, volume: str, hosts: int, limit: float, units: float, now: int) -> None:
    real_record_demand(self, volume, max(2, hosts - 1), limit, units, now)


BUGS: dict[str, tuple[object, str, Callable[..., Any] | property]] = {
    "a lease runs from the arrival of the grant": (Leases, "receive", lease_from_arrival),
    "a lease is twice as long at the receiver": (Leases, "receive", lease_doubled),
    "granted quotas are used all the same": (Leases, "usable_quota", granted_quotas_used),
    "a lease never expires at the receiver": (Leases, "usable_quota", lease_without_end),
    "a grant is not recorded": (Leases, "_make_grants", grant_not_recorded),
    "the quotas of all peers count": (Leases, "usable_quota", fractions_of_all_peers),
    "the greatest quotas count, not the least": (Leases, "usable_quota", greatest_fractions),
    "only the last grant counts": (GrantLedger, "usable_fraction", last_grant_only),
    "granted quotas come back before the lease expires": (
        Leases,
        "_reclaim_after_us",
        property(quarantine_too_short),
    ),
    "quotas are rechecked only now and then": (Leases, "refresh_quotas", rechecked_seldom),
    "the whole quota is granted to each that requests it": (
        Leases,
        "_grantable_fraction",
        whole_quota_to_each,
    ),
    "a started instance uses its quota at once": (Leases, "__init__", no_quarantine),
    "grants are forgotten": (Leases, "_drop_expired", grants_forgotten),
    "quotas are rounded up when encoded": (lease_message, "encode", fractions_rounded_up),
    "grants to a second peer are not counted": (Leases, "usable_quota", one_receiver_counted),
    "one host too few": (Leases, "record_demand", one_host_too_few),
}


def first_violation(seeds: int = 60) -> tuple[int, RunResult] | None:
    """Return the first run whose quotas exceed the limit, of several scenarios."""
    scenarios = [
        Scenario(),
        Scenario(hosts=3),
        Scenario(instances=4, hosts=3, loss=0.3),
        Scenario(faults=10, late_us=2 * SECOND),
    ]
    for seed in range(seeds):
        result = Simulation(replace(scenarios[seed % len(scenarios)], seed=seed)).run()
        if result.greatest_sum > 1 + 1e-9:
            return seed + 1, result
    return None


@pytest.mark.parametrize("bug", BUGS)
def test_seeded_bug_is_found_by_simulation(bug: str, monkeypatch: pytest.MonkeyPatch) -> None:
    target, name, replacement = BUGS[bug]
    monkeypatch.setattr(target, name, replacement)
    assert first_violation() is not None, "no seed shows it"


def test_usable_quotas_never_add_up_to_more_than_the_limit_in_any_course_of_three_instances() -> None:
    """Every one within three steps, and within two with an instance that starts anew."""
    found = explore(Scope(steps=3, starts=0))
    assert found.is_complete
    assert found.states > 10_000
    assert found.greatest_sum == pytest.approx(1.0)
    assert (1.0, 0.0) in found.quotas, "some course leaves all of it to one instance"
    assert explore(Scope(steps=2)).greatest_sum <= 1 + 1e-9


@pytest.mark.parametrize(
    "bug",
    [
        "a lease runs from the arrival of the grant",
        "granted quotas are used all the same",
        "a grant is not recorded",
        "the quotas of all peers count",
        "grants are forgotten",
    ],
)
def test_seeded_bug_is_found_by_exploration(bug: str, monkeypatch: pytest.MonkeyPatch) -> None:
    target, name, replacement = BUGS[bug]
    monkeypatch.setattr(target, name, replacement)
    assert explore(Scope(steps=3, starts=0)).greatest_sum > 1.4


def test_simulations_without_a_seeded_bug_find_nothing() -> None:
    assert first_violation(40) is None
