"""Leases of a limit shared by all instances: on simulated clocks and networks, with seeded bugs."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetlanding.emulator.lease_model import Scope, explore
from garnetlanding.emulator.lease_net import SECOND, RunResult, Scenario, Simulation
from garnetlanding.peers import codec
from garnetlanding.peers.codec import LeaseMessage
from garnetlanding.peers.drop_reasons import DropReason
from garnetlanding.peers.leases import InstanceIdentity, Leases
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.quota_shares import Grant, GrantLedger, max_min_fair_shares
from tests.support.leases import LIMITS

TAG = codec.tag("v")


@given(st.floats(0.1, 100), st.lists(st.floats(0, 100), min_size=1, max_size=6))
def test_shares_add_up_and_nobody_has_more_than_it_asks_while_another_lacks(
    supply: float, demands: list[float]
) -> None:
    shares = max_min_fair_shares(supply, demands)
    assert sum(shares) == pytest.approx(supply)
    if sum(demands) <= supply:
        assert all(s >= d - 1e-9 for s, d in zip(shares, demands, strict=True))
    else:
        assert all(s == pytest.approx(min(d, max(shares))) for s, d in zip(shares, demands, strict=True))


NETS = {
    "two of three": Scenario(),
    "all of three": Scenario(hosts=3),
    "two of eight": Scenario(instances=8),
    "five of five": Scenario(5, 5, 5),
    "clocks far apart": Scenario(drift=0.0099),
    "half is lost": Scenario(loss=0.5),
    "many crashes": Scenario(faults=12),
}


@pytest.mark.parametrize("name", NETS)
def test_no_fault_makes_the_parts_of_a_volumes_heads_more_than_the_whole(name: str) -> None:
    for seed in range(12):
        seen = Simulation(replace(NETS[name], seed=seed)).run()
        assert seen.greatest_sum <= 1 + 1e-9, f"seed {seed}: {seen.greatest_sum} at {seen.greatest_sum_at} us"


def test_the_same_seed_gives_the_same_run() -> None:
    assert Simulation(Scenario(seed=3)).run() == Simulation(Scenario(seed=3)).run()


def test_the_busiest_head_can_use_what_was_bought() -> None:
    """Fixed parts let it use 1 / hosts."""
    steady = Simulation(
        Scenario(calm=True, other_demand=0.0, shift_us=60 * SECOND, length_us=60 * SECOND)
    ).run()
    moving = Simulation(
        Scenario(calm=True, other_demand=0.0, shift_us=12 * SECOND, length_us=60 * SECOND)
    ).run()
    assert steady.usable > 0.95 and moving.usable > 0.9
    assert steady.greatest_sum <= 1 + 1e-9 and moving.greatest_sum <= 1 + 1e-9


def meet(heads: int = 3) -> list[Leases]:
    return [Leases(LIMITS, InstanceIdentity(me, heads, 7), 0) for me in range(heads)]


def test_the_module_hears_what_is_given_of_a_volume_that_is_asked_for_no_more() -> None:
    """Requests that came before may be held for tokens still, and would go out on a part that is gone."""
    one, other, third = meet()
    start = LIMITS.lease_us * 2
    one.record_demand("v", 2, 40.0, 2, start)
    assert one.changed_shares(start) == {"v": 0.5}
    later = start + LIMITS.span_us + 200_000
    assert one.changed_shares(later) == {}
    for now in range(later, later + 600_000, 100_000):
        other.record_demand("v", 2, 40.0, 8, now)
        talk([one, other, third], now)
        told = one.changed_shares(now)
        assert told.get("v", 0.5) == one.usable_share(TAG, now)
        if told:
            break
    assert told["v"] < 0.5


def talk(group: list[Leases], now: int, silent: tuple[int, ...] = ()) -> None:
    for sender in group:
        number = sender.next_number(now)
        for who, page in sender.compose(now).items():
            if sender.identity.number not in silent and who not in silent:
                group[who].receive(
                    sender.identity.number,
                    LeaseMessage(sender.identity.incarnation, number, *sender.last_received(who), *page),
                    now,
                )


def lead(group: list[Leases], start: int, seconds: float, silent: tuple[int, ...] = ()) -> int:
    """Head 0 is asked for all that the volume may have."""
    now = start
    for now in range(start, start + int(seconds * SECOND), SECOND // 10):
        group[0].record_demand("v", 2, 40.0, 4, now)
        if now % (SECOND // 5) == 0:
            talk(group, now, silent)
    return now


def test_a_head_that_is_cut_off_goes_back_to_its_even_part_and_on_again_when_it_is_heard() -> None:
    group = meet()
    now = lead(group, 0, 4)
    assert group[0].usable_share(TAG, now) == pytest.approx(1.0)
    now = lead(group, now, 2, silent=(0,))
    assert group[0].usable_share(TAG, now) == 0.5
    now = lead(group, now, 1)
    assert group[0].usable_share(TAG, now) == pytest.approx(1.0)


def test_a_head_of_another_volume_that_is_cut_off_takes_nothing_once_the_volumes_heads_are_known() -> None:
    group = meet()
    now = lead(group, 0, 3, silent=(2,))
    assert (
        group[0].usable_share(TAG, now) == 0.5
    ), "head 2 may be the volume's other one, and sends for itself"
    group[1].record_demand("v", 2, 40.0, 1, now)
    now = lead(group, now, 1, silent=(2,))
    assert group[0].usable_share(TAG, now) > 0.9, "it is head 1"


def test_a_head_that_has_just_started_uses_nothing_until_its_earlier_life_can_have_left_nothing() -> None:
    group = meet()
    group[1].record_demand("v", 2, 40.0, 1, 0)
    assert group[1].usable_share(TAG, 0) == 0.0 and group[1].changed_shares(0) == {"v": 0.0}
    at = group[1].resumes_at
    assert at is not None
    assert group[1].usable_share(TAG, at) == 0.5 and group[1].changed_shares(at) == {"v": 0.5}


def test_a_number_of_hosts_that_changes_changes_the_even_part_of_a_head_that_hears_nobody() -> None:
    """It was taken for what the module had anyway, and the module went on with the part of before."""
    one = Leases(LIMITS, InstanceIdentity(0, 3, 7), 0)
    assert one.resumes_at is not None
    now = one.resumes_at
    one.record_demand("v", 2, 40.0, 1, now)
    assert one.changed_shares(now) == {"v": 0.5}
    one.record_demand("v", 3, 40.0, 1, now + 1)
    assert one.changed_shares(now + 1) == {"v": pytest.approx(1 / 3)}


def test_a_stalled_heads_lease_has_ended_before_it_may_send_again() -> None:
    group = meet()
    now = lead(group, 0, 4)
    assert group[0].changed_shares(now) == {"v": pytest.approx(1.0)}
    late = now + LIMITS.lease_us + 1
    group[0].record_demand("v", 2, 40.0, 4, late)
    assert group[0].changed_shares(late) == {"v": 0.5}


def test_words_of_no_peer_and_too_many_volumes_are_not_kept() -> None:
    one = Leases(PeerLimits(volumes=5), InstanceIdentity(0, 3, 1), 0)
    assert [one.receive(who, LeaseMessage(1, 1), 0) for who in (0, 3, -1, 2)] == [
        DropReason.UNKNOWN_PEER
    ] * 3 + [None]
    one.receive(1, LeaseMessage(1, 1, 0, 0, {v: codec.Ask(1.0, 2) for v in range(30)}), 0)
    assert len(one.contacts[1].requests) == 5
    one.receive(1, LeaseMessage(1, 2, 1, 1, {}, {v: 1.0 for v in range(30)}), 0)
    assert not one._received.by_volume, "nothing is kept that was not asked for"


def test_a_restarted_head_is_heard_at_once_and_its_earlier_life_no_more() -> None:
    one = Leases(LIMITS, InstanceIdentity(0, 3, 1), 0)
    assert [one.receive(1, LeaseMessage(*m), 0) for m in ((5, 9), (6, 1), (5, 10), (6, 1))] == [
        None,
        None,
        DropReason.OUTDATED,
        DropReason.OUTDATED,
    ]
    assert (
        one.receive(1, LeaseMessage(5, 11), LIMITS.stale_us + 1) is None
    ), "its clock was set back: heard later"


def test_drop_reasons_are_counted_by_the_words_that_operators_know() -> None:
    words = {"no peer", "old", "other kind", "no such server", "other life", "word too old"}
    assert {reason.value for reason in DropReason} == words


# Bugs put in on purpose

real_heard, real_part, real_grants = Leases.receive, Leases.usable_share, Leases._make_grants


def from_when_it_came(self: Leases, sender: int, m: LeaseMessage, now: int) -> DropReason | None:
    self._sent[m.acked_number] = now if m.acked_incarnation == self.identity.incarnation else 0
    return real_heard(self, sender, m, now)


def twice_as_long(self: Leases, sender: int, m: LeaseMessage, now: int) -> DropReason | None:
    if m.acked_number in self._sent:
        self._sent[m.acked_number] = now + LIMITS.lease_us
    return real_heard(self, sender, m, now)


def lent_is_kept(self: Leases, volume: int, now: int) -> float:
    given, self._granted = self._granted, GrantLedger()
    part = real_part(self, volume, now)
    self._granted = given
    return part


def never_ends(self: Leases, volume: int, now: int) -> float:
    for grantors in self._received.by_volume.values():
        for peer, grant in grantors.items():
            grantors[peer] = Grant(grant.share, now + SECOND)
    return real_part(self, volume, now)


def not_counted(self: Leases, who: int, now: int) -> dict[int, float]:
    grants = real_grants(self, who, now)
    for volume in grants:
        self._granted.by_volume[volume][who].pop()
    return grants


def every_head_counts(self: Leases, volume: int, now: int) -> float:
    own = self.demands[volume]
    held = list(self._received.shares(volume, now).values())
    alone = real_part(self, volume, now)
    return max(
        alone, min(1.0, (1 / own.hosts + sum(held) / own.hosts) if not self.is_quarantined(now) else 0.0)
    )


def greatest(self: Leases, volume: int, now: int) -> float:
    """As if a head that is none of the volume's left something of it."""
    own, self.demands[volume].requested_by = self.demands[volume], {}
    held = sorted(self._received.shares(volume, now).values(), reverse=True)
    lent = 1.0 if self.is_quarantined(now) else self._granted.total(volume, now)
    return (max(0.0, 1 - lent) + sum(held[: own.hosts - 1])) / own.hosts


def last_grant_only(self: GrantLedger, volume: int, peer: int, now: int) -> float:
    grants = self.by_volume[volume][peer] = [g for g in self.by_volume[volume][peer] if g.expires_at > now]
    return grants[-1].share if grants else 0.0


def gone_too_soon(self: Leases) -> int:
    return int(self._limits.lease_us * 0.8)


def no_look(self: Leases, now: int) -> dict[str, float]:
    changed = real_parts(self, now)
    self.recheck_at = now + SECOND
    return changed


def all_to_each(self: Leases, volume: int, hosts: int, who: int, now: int) -> float:
    return 1.0


def no_quarantine(self: Leases, *args: Any) -> None:
    real_init(self, *args)
    self.resumes_at = args[2]


def forgetful(self: Leases, now: int) -> None:
    real_forget(self, now)
    self._granted.by_volume.clear()


def rounded_up(m: LeaseMessage) -> bytes:
    return real_encode(replace(m, grants={v: min(1.0, s * 1.25) for v, s in m.grants.items()}))


def lent_to_one(self: Leases, volume: int, now: int) -> float:
    takers = self._granted.by_volume.get(volume, {})
    kept = {t: takers[t] for t in list(takers)[1:]}
    for taker in kept:
        del takers[taker]
    part = real_part(self, volume, now)
    takers.update(kept)
    return part


def half_of_hosts(self: Leases, volume: str, hosts: int, limit: float, units: float, now: int) -> None:
    real_asked(self, volume, max(2, hosts - 1), limit, units, now)


real_parts, real_init, real_forget, real_encode = (
    Leases.changed_shares,
    Leases.__init__,
    Leases._drop_expired,
    codec.encode_leases,
)
real_asked = Leases.record_demand
BUGS: dict[str, tuple[object, str, Callable[..., Any] | property]] = {
    "a lease counts from when it came": (Leases, "receive", from_when_it_came),
    "a lease is twice as long at its taker": (Leases, "receive", twice_as_long),
    "what is lent is used all the same": (Leases, "usable_share", lent_is_kept),
    "a lease never ends at its taker": (Leases, "usable_share", never_ends),
    "what is given is not counted as gone": (Leases, "_make_grants", not_counted),
    "every head's share counts": (Leases, "usable_share", every_head_counts),
    "the greatest shares count, not the least": (Leases, "usable_share", greatest),
    "only the last grant counts as gone": (GrantLedger, "share_of", last_grant_only),
    "given parts come back before the lease ends": (Leases, "_quarantine_us", property(gone_too_soon)),
    "parts are looked at only now and then": (Leases, "changed_shares", no_look),
    "the whole part is given to each that asks": (Leases, "_grantable_share", all_to_each),
    "a started head uses its part at once": (Leases, "__init__", no_quarantine),
    "what was given is forgotten": (Leases, "_drop_expired", forgetful),
    "shares are rounded up on the way": (codec, "encode_leases", rounded_up),
    "what is lent to a second head is not counted": (Leases, "usable_share", lent_to_one),
    "one host too few": (Leases, "record_demand", half_of_hosts),
}


def first_found(seeds: int = 60) -> tuple[int, RunResult] | None:
    """The first run that shows more than the whole, of nets that differ."""
    nets = [
        Scenario(),
        Scenario(hosts=3),
        Scenario(instances=4, hosts=3, loss=0.3),
        Scenario(faults=10, late_us=2 * SECOND),
    ]
    for seed in range(seeds):
        seen = Simulation(replace(nets[seed % len(nets)], seed=seed)).run()
        if seen.greatest_sum > 1 + 1e-9:
            return seed + 1, seen
    return None


@pytest.mark.parametrize("bug", BUGS)
def test_a_bug_put_in_on_purpose_is_found(bug: str, monkeypatch: pytest.MonkeyPatch) -> None:
    where, name, instead = BUGS[bug]
    monkeypatch.setattr(where, name, instead)
    assert first_found() is not None, "no seed shows it"


def test_no_course_of_three_heads_makes_their_parts_more_than_the_whole() -> None:
    """Every one within three steps, and within two with a head that starts anew."""
    found = explore(Scope(steps=3, starts=0))
    assert found.whole and found.states > 10_000 and found.greatest_sum == pytest.approx(1.0)
    assert (1.0, 0.0) in found.shares, "some course leaves all of it to one head"
    assert explore(Scope(steps=2)).greatest_sum <= 1 + 1e-9


@pytest.mark.parametrize(
    "bug",
    [
        "a lease counts from when it came",
        "what is lent is used all the same",
        "what is given is not counted as gone",
        "every head's share counts",
        "what was given is forgotten",
    ],
)
def test_some_course_shows_a_bug_put_in_on_purpose(bug: str, monkeypatch: pytest.MonkeyPatch) -> None:
    where, name, instead = BUGS[bug]
    monkeypatch.setattr(where, name, instead)
    assert explore(Scope(steps=3, starts=0)).greatest_sum > 1.4


def test_without_a_bug_the_same_runs_show_nothing() -> None:
    assert first_found(40) is None
