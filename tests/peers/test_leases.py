"""The lease protocol: simulations with faults, exhaustive exploration, and seeded bugs that both detect."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

import pytest

from garnetlanding.emulator.lease_model import Scope, explore
from garnetlanding.emulator.lease_simulation import SECOND, RunResult, Scenario, Simulation
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
FLOAT_TOLERANCE = 1e-9

SCENARIOS = {
    "two hosts of three instances": Scenario(),
    "three hosts of three instances": Scenario(hosts=3),
    "two hosts of eight instances": Scenario(instances=8),
    "five hosts of five instances": Scenario(5, 5, 5),
    "greatest clock drift": Scenario(drift=0.0099),
    "half of the messages lost": Scenario(loss=0.5),
    "many faults": Scenario(faults=12),
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_usable_quotas_never_add_up_to_more_than_the_limit_under_faults(name: str) -> None:
    for seed in range(12):
        result = Simulation(replace(SCENARIOS[name], seed=seed)).run()
        assert (
            result.max_sum <= 1 + FLOAT_TOLERANCE
        ), f"seed {seed}: {result.max_sum} at {result.max_sum_at} us"


def test_simulation_with_the_same_seed_gives_the_same_result() -> None:
    assert Simulation(Scenario(seed=3)).run() == Simulation(Scenario(seed=3)).run()


def test_busiest_instance_can_use_nearly_the_whole_limit() -> None:
    """With fixed quotas it could use 1 / hosts of the limit."""
    steady = Simulation(
        Scenario(calm=True, other_demand=0.0, shift_us=60 * SECOND, length_us=60 * SECOND)
    ).run()
    moving = Simulation(
        Scenario(calm=True, other_demand=0.0, shift_us=12 * SECOND, length_us=60 * SECOND)
    ).run()
    assert steady.utilization > 0.95
    assert moving.utilization > 0.9
    assert steady.max_sum <= 1 + FLOAT_TOLERANCE
    assert moving.max_sum <= 1 + FLOAT_TOLERANCE


def make_fleet(instances: int = 3) -> list[Leases]:
    """Return the leases of instances that all start at time 0."""
    return [Leases(LIMITS, InstanceIdentity(number, instances, 7), 0) for number in range(instances)]


def test_quota_change_is_reported_for_a_volume_without_recent_requests() -> None:
    """Requests that are still queued must not be sent on a quota that has been granted to a peer."""
    fleet = make_fleet()
    grantor, requester, _ = fleet
    start = LIMITS.lease_us * 2
    grantor.record_demand("v", 2, 40.0, 2, start)
    assert grantor.refresh_quotas(start) == {"v": 0.5}
    later = start + LIMITS.demand_window_us + 200_000
    assert grantor.refresh_quotas(later) == {}
    for now in range(later, later + 600_000, 100_000):
        requester.record_demand("v", 2, 40.0, 8, now)
        exchange(fleet, now)
        changed = grantor.refresh_quotas(now)
        assert changed.get("v", 0.5) == grantor.usable_quota(TAG, now)
        if changed:
            break
    assert changed["v"] < 0.5


def exchange(fleet: list[Leases], now: int, disconnected: tuple[int, ...] = ()) -> None:
    """Send a message from each instance to each other one, except from and to `disconnected` instances."""
    for sender in fleet:
        number = sender.contacts.next_number(now)
        for receiver, page in sender.compose(now).items():
            if sender.identity.number not in disconnected and receiver not in disconnected:
                fleet[receiver].receive(
                    sender.identity.number,
                    LeaseMessage(
                        sender.identity.incarnation, number, *sender.contacts.last_received(receiver), *page
                    ),
                    now,
                )


def run_with_one_busy_instance(
    fleet: list[Leases], start: int, seconds: float, disconnected: tuple[int, ...] = ()
) -> int:
    """Let instance 0 receive requests for the whole limit and the others none; return the end time."""
    now = start
    for now in range(start, start + int(seconds * SECOND), SECOND // 10):
        fleet[0].record_demand("v", 2, 40.0, 4, now)
        if now % (SECOND // 5) == 0:
            exchange(fleet, now, disconnected)
    return now


def test_disconnected_instance_falls_back_to_its_even_quota_and_regains_leases_when_reconnected() -> None:
    fleet = make_fleet()
    now = run_with_one_busy_instance(fleet, 0, 4)
    assert fleet[0].usable_quota(TAG, now) == pytest.approx(1.0)
    now = run_with_one_busy_instance(fleet, now, 2, disconnected=(0,))
    assert fleet[0].usable_quota(TAG, now) == 0.5
    now = run_with_one_busy_instance(fleet, now, 1)
    assert fleet[0].usable_quota(TAG, now) == pytest.approx(1.0)


def test_disconnected_peer_that_is_no_host_has_no_effect_once_the_hosts_are_known() -> None:
    fleet = make_fleet()
    now = run_with_one_busy_instance(fleet, 0, 3, disconnected=(2,))
    assert (
        fleet[0].usable_quota(TAG, now) == 0.5
    ), "instance 2 may be the volume's other host and use its own quota"
    fleet[1].record_demand("v", 2, 40.0, 1, now)
    now = run_with_one_busy_instance(fleet, now, 1, disconnected=(2,))
    assert fleet[0].usable_quota(TAG, now) > 0.9, "instance 1 is known to be the other host"


def test_started_instance_uses_no_quota_until_grants_of_its_earlier_incarnation_have_expired() -> None:
    fleet = make_fleet()
    fleet[1].record_demand("v", 2, 40.0, 1, 0)
    assert fleet[1].usable_quota(TAG, 0) == 0.0
    assert fleet[1].refresh_quotas(0) == {"v": 0.0}
    resumes_at = fleet[1].resumes_at
    assert resumes_at is not None
    assert fleet[1].usable_quota(TAG, resumes_at) == 0.5
    assert fleet[1].refresh_quotas(resumes_at) == {"v": 0.5}


def test_changed_number_of_hosts_changes_the_even_quota_of_an_instance_without_contacts() -> None:
    """Guards against an even quota that is not reported, so that the module keeps the previous quota."""
    leases = Leases(LIMITS, InstanceIdentity(0, 3, 7), 0)
    assert leases.resumes_at is not None
    now = leases.resumes_at
    leases.record_demand("v", 2, 40.0, 1, now)
    assert leases.refresh_quotas(now) == {"v": 0.5}
    leases.record_demand("v", 3, 40.0, 1, now + 1)
    assert leases.refresh_quotas(now + 1) == {"v": pytest.approx(1 / 3)}


def test_lease_of_a_stalled_instance_has_expired_before_it_may_send_again() -> None:
    fleet = make_fleet()
    now = run_with_one_busy_instance(fleet, 0, 4)
    assert fleet[0].refresh_quotas(now) == {"v": pytest.approx(1.0)}
    resumed_at = now + LIMITS.lease_us + 1
    fleet[0].record_demand("v", 2, 40.0, 4, resumed_at)
    assert fleet[0].refresh_quotas(resumed_at) == {"v": 0.5}


def test_messages_of_unknown_peers_and_requests_beyond_the_maximum_are_not_stored() -> None:
    leases = Leases(PeerLimits(max_volumes=5), InstanceIdentity(0, 3, 1), 0)
    assert [leases.receive(sender, LeaseMessage(1, 1), 0) for sender in (0, 3, -1, 2)] == [
        DropReason.UNKNOWN_PEER
    ] * 3 + [None]
    leases.receive(1, LeaseMessage(1, 1, 0, 0, {volume: QuotaRequest(1.0, 2) for volume in range(30)}), 0)
    assert len(leases.contacts.by_peer[1].requests) == 5
    leases.receive(1, LeaseMessage(1, 2, 1, 1, {}, {volume: 1.0 for volume in range(30)}), 0)
    assert not leases.received.by_volume, "grants without a demand are not stored"


def test_restarted_peer_is_accepted_immediately_and_its_earlier_incarnation_is_rejected() -> None:
    leases = Leases(LIMITS, InstanceIdentity(0, 3, 1), 0)
    messages = [LeaseMessage(5, 9), LeaseMessage(6, 1), LeaseMessage(5, 10), LeaseMessage(6, 1)]
    assert [leases.receive(1, message, 0) for message in messages] == [
        None,
        None,
        DropReason.OUTDATED,
        DropReason.OUTDATED,
    ]
    assert (
        leases.receive(1, LeaseMessage(5, 11), LIMITS.peer_timeout_us + 1) is None
    ), "accepted after the timeout, since the peer's clock may have been set back"


def test_values_of_drop_reasons_are_those_that_operators_match() -> None:
    values = {"no peer", "old", "other kind", "no such server", "other life", "word too old"}
    assert {reason.value for reason in DropReason} == values


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
    self.contacts.sent_times[message.acked_number] = now if is_acked else 0
    return real_receive(self, sender, message, now)


def lease_doubled(self: Leases, sender: int, message: LeaseMessage, now: int) -> DropReason | None:
    if message.acked_number in self.contacts.sent_times:
        self.contacts.sent_times[message.acked_number] = now + LIMITS.lease_us
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
    """Count grants of instances that may not be hosts of the volume."""
    demand = self.demands.by_tag[volume]
    demand.last_request_by_peer = {}
    received = sorted(self.received.fractions(volume, now).values(), reverse=True)
    granted = self.granted.total(volume, now) if self.may_use_quotas(now) else 1.0
    return (max(0.0, 1 - granted) + sum(received[: demand.hosts - 1])) / demand.hosts


def last_grant_only(self: GrantLedger, volume: int, peer: int, now: int) -> float:
    grants = [grant for grant in self.by_volume[volume][peer] if grant.expires_at > now]
    self.by_volume[volume][peer] = grants
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


@dataclass(frozen=True, slots=True)
class SeededBug:
    """A faulty replacement for an attribute of a class or a module."""

    target: object
    attribute: str
    replacement: Callable[..., Any] | property

    def install(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Replace the attribute until the test ends."""
        monkeypatch.setattr(self.target, self.attribute, self.replacement)


SEEDED_BUGS: dict[str, SeededBug] = {
    "a lease runs from the arrival of the grant": SeededBug(Leases, "receive", lease_from_arrival),
    "a lease is twice as long at the receiver": SeededBug(Leases, "receive", lease_doubled),
    "granted quotas are still used": SeededBug(Leases, "usable_quota", granted_quotas_used),
    "a lease never expires at the receiver": SeededBug(Leases, "usable_quota", lease_without_end),
    "a grant is not recorded": SeededBug(Leases, "_make_grants", grant_not_recorded),
    "the quotas of all peers count": SeededBug(Leases, "usable_quota", fractions_of_all_peers),
    "the greatest fractions count instead of the smallest": SeededBug(
        Leases, "usable_quota", greatest_fractions
    ),
    "only the latest grant counts": SeededBug(GrantLedger, "usable_fraction", last_grant_only),
    "granted quotas are reclaimed before the lease expires": SeededBug(
        Leases,
        "_reclaim_after_us",
        property(quarantine_too_short),
    ),
    "quotas are rechecked too rarely": SeededBug(Leases, "refresh_quotas", rechecked_seldom),
    "the whole quota is granted to each requester": SeededBug(
        Leases,
        "_grantable_fraction",
        whole_quota_to_each,
    ),
    "a started instance uses its quota immediately": SeededBug(Leases, "__init__", no_quarantine),
    "grants are forgotten": SeededBug(Leases, "_drop_expired", grants_forgotten),
    "granted fractions are rounded up when encoded": SeededBug(lease_message, "encode", fractions_rounded_up),
    "grants to a second peer are not counted": SeededBug(Leases, "usable_quota", one_receiver_counted),
    "the number of hosts is too small by one": SeededBug(Leases, "record_demand", one_host_too_few),
}


def first_violation(seeds: int = 60) -> tuple[int, RunResult] | None:
    """Return the number and result of the first simulation whose quotas exceed the limit, if any."""
    scenarios = [
        Scenario(),
        Scenario(hosts=3),
        Scenario(instances=4, hosts=3, loss=0.3),
        Scenario(faults=10, late_us=2 * SECOND),
    ]
    for seed in range(seeds):
        result = Simulation(replace(scenarios[seed % len(scenarios)], seed=seed)).run()
        if result.max_sum > 1 + FLOAT_TOLERANCE:
            return seed + 1, result
    return None


@pytest.mark.parametrize("bug", SEEDED_BUGS)
def test_seeded_bug_is_found_by_simulation(bug: str, monkeypatch: pytest.MonkeyPatch) -> None:
    SEEDED_BUGS[bug].install(monkeypatch)
    assert first_violation() is not None, "no seed leads to a violation"


def test_usable_quotas_never_add_up_to_more_than_the_limit_in_any_history_of_three_instances() -> None:
    """Explores every history of three steps, and those of two steps with a restart."""
    found = explore(Scope(steps=3, starts=0))
    assert found.is_complete
    assert found.states > 10_000
    assert found.max_sum == pytest.approx(1.0)
    assert (1.0, 0.0) in found.quotas, "in some history one instance has the whole limit"
    assert explore(Scope(steps=2)).max_sum <= 1 + FLOAT_TOLERANCE


@pytest.mark.parametrize(
    "bug",
    [
        "a lease runs from the arrival of the grant",
        "granted quotas are still used",
        "a grant is not recorded",
        "the quotas of all peers count",
        "grants are forgotten",
    ],
)
def test_seeded_bug_is_found_by_exploration(bug: str, monkeypatch: pytest.MonkeyPatch) -> None:
    SEEDED_BUGS[bug].install(monkeypatch)
    assert explore(Scope(steps=3, starts=0)).max_sum > 1.4


def test_simulation_without_a_seeded_bug_finds_no_violation() -> None:
    assert first_violation(40) is None
