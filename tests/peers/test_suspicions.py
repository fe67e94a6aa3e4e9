"""Suspicions that peers report: how long they count, who is believed, and what they lead to."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from garnetlanding import config
from garnetlanding.decision import interface as api
from garnetlanding.decision.interface import Outcome
from garnetlanding.emulator import suspicion_net
from garnetlanding.emulator.suspicion_model import Scope, explore
from garnetlanding.peers.drop_reasons import DropReason
from garnetlanding.peers.gossip_message import (
    MAX_UPTIME,
    EvidenceKind,
)
from garnetlanding.peers.local_observations import LocalObservations, Observation
from garnetlanding.peers.setup import read_fleet
from garnetlanding.peers.suspicions import PeerClaim, SuspicionTable
from tests.support.clock import MS, SECOND, T0
from tests.support.suspicions import AIM, LIMITS, REFUSED, SERVED, SIX, Heads, dead, result, sightings


def test_a_word_is_believed_until_its_greatest_possible_age_and_not_without_an_exchange() -> None:
    seen, v = sightings(), SuspicionTable(LIMITS)
    assert v.receive(1, [dead()], None, T0, seen) == {DropReason.EXPIRED_EVIDENCE: 1}
    assert v.receive(1, [dead(age_ms=500)], T0 - 300 * MS, T0, seen) == {}
    until = T0 - 800 * MS + LIMITS.word_us
    assert v.suspected(T0, seen) == {"n0": until} and not v.suspected(until, seen)
    late = T0 - LIMITS.word_us
    assert v.receive(1, [dead()], late, T0, seen) == {DropReason.EXPIRED_EVIDENCE: 1}
    assert v.receive(1, [dead("x"), dead("n1", life=7)], T0, T0, seen) == {
        DropReason.UNKNOWN_BACKEND: 1,
        DropReason.OTHER_INCARNATION: 1,
    }
    assert v.receive(1, [], T0, T0, seen) == {} and not v.suspected(T0, seen), "not repeated: withdrawn"


def test_lives_are_compared_by_how_long_ago_they_began() -> None:
    seen = LocalObservations(LIMITS)
    seen.observe_events(
        T0, [api.EndpointListUpdate((replace(SIX[0], started_us=T0 - 40 * SECOND),), whole=True)], AIM
    )
    for life, same in ((400, True), (385, True), (430, False), (20, False), (MAX_UPTIME, False)):
        assert (SuspicionTable(LIMITS).receive(1, [dead(life=life)], T0, T0, seen) == {}) is same


def test_own_evidence_beats_hearsay() -> None:
    seen, v = sightings(), SuspicionTable(LIMITS)
    v.receive(1, [dead()], T0, T0, seen)
    seen.observe_events(T0 + MS, [result("n0", Outcome.ERROR)], AIM)
    assert not v.suspected(T0 + MS, seen)
    v.receive(1, [dead("n1", kind=EvidenceKind.SLOW)], T0 + MS, T0 + MS, seen)
    seen.observe_events(T0 + 2 * MS, [result("n1", SERVED, 2 * AIM)], AIM)
    assert v.suspected(T0 + 2 * MS, seen), "a late answer does not speak against slow"
    seen.observe_events(T0 + 3 * MS, [result("n1", SERVED)], AIM)
    assert not v.suspected(T0 + 3 * MS, seen)


def test_one_head_counts_once_and_one_that_is_refuted_again_and_again_counts_less() -> None:
    seen, v = sightings(), SuspicionTable(LIMITS)
    now = T0
    for _ in range(24):  # six seconds of rounds: it says that a server is dead which answers all the time
        now += 250 * MS
        v.receive(1, [dead()], now, now, seen)
        now += MS
        seen.observe_events(now, [result("n0", SERVED)], AIM)
    assert v.credit(1, now) < LIMITS.trust
    v.receive(1, [dead("n1")], now, now, seen)
    assert not v.suspected(now, seen), "nor is it believed of others"
    v.receive(2, [dead("n1")], now, now, seen)
    assert v.suspected(now, seen)
    v.receive(1, [dead("n1")] * 5, now, now, seen)
    v.receive(2, [], now, now, seen)
    assert not v.suspected(now, seen), "saying it five times is saying it once"
    assert v.credit(1, now + LIMITS.recover_us) == 1


def test_a_head_that_takes_its_word_back_and_says_it_again_counts_less_too() -> None:
    seen, v = sightings(), SuspicionTable(LIMITS)
    now = T0
    for _ in range(4):
        v.receive(1, [dead()], now, now, seen)
        seen.observe_events(now + MS, [result("n0", SERVED)], AIM)
        v.receive(1, [], now + 2 * MS, now + 2 * MS, seen)
        now += 500 * MS
    assert v.credit(1, now) < LIMITS.trust
    other, slow = SuspicionTable(LIMITS), T0 + 60 * SECOND
    for _ in range(4):  # a server that really comes and goes, at some distance
        other.receive(1, [dead()], slow, slow, seen)
        seen.observe_events(slow + MS, [result("n0", SERVED)], AIM)
        other.receive(1, [], slow + 2 * MS, slow + 2 * MS, seen)
        slow += 2 * LIMITS.word_us
    assert other.credit(1, slow) == 1


def test_a_head_that_was_right_keeps_its_credit_when_the_server_comes_back() -> None:
    seen, v = sightings(), SuspicionTable(LIMITS)
    for now in range(T0, T0 + 3 * SECOND, 250 * MS):
        v.receive(1, [dead(age_ms=(now - T0) // MS % 1000)], now, now, seen)
    seen.observe_events(now, [result("n0", SERVED)], AIM)
    for age in range(250, 1500, 250):  # it goes on telling what it saw before, as old as that is
        v.receive(1, [dead(age_ms=age)], now + age * MS, now + age * MS, seen)
    assert v.credit(1, now) == 1


def test_a_set_share_of_the_servers_is_doubted_at_most() -> None:
    seen, v = sightings(), SuspicionTable(LIMITS)
    v.receive(1, [dead(f"n{i}") for i in range(6)], T0, T0, seen)
    v.receive(2, [dead("n5")], T0, T0, seen)
    assert len(v.suspected(T0, seen)) == 2 and "n5" in v.suspected(T0, seen)


def arrival(name: str, now: int) -> api.Arrival:
    return api.Arrival(name, "read", "gold", "v", "k", 1, 0, now + SECOND, 2)


def test_a_head_is_careful_with_a_server_that_another_saw_dead_until_it_answers() -> None:
    f = Heads()
    f.run(20)
    f.run(8, *[(1, result("n0", REFUSED))] * 3)
    f.run(1, *[(0, arrival(f"r{i}", f.now)) for i in range(3)])
    assert f.sends[0] == ["r0"], "one at a time, and never none"
    f.run(1, (0, result("n0", SERVED, request="r0")))
    assert f.sends[0] == ["r0", "r1", "r2"], "its own answer ends the doubt"
    shown = f.talks[0].known("verdicts", f.now)
    assert [w["head"] for w in shown[0]["words"]] == [1] and shown[0]["doubted_ms"] is None  # type: ignore


def test_no_course_of_words_has_a_head_doubt_what_nobody_has_seen_in_time() -> None:
    """Every one of two heads within three steps; with three, `benchmarks.verdicts`."""
    found = explore(Scope(instances=2, steps=3))
    assert found.whole and not found.violation and found.states > 5000 and found.suspicious > 500


def from_when_it_came(
    self: SuspicionTable, sender: int, evidence: Any, sent_at: int | None, now: int, seen: LocalObservations
) -> Any:
    return real_heard(self, sender, evidence, None if sent_at is None else now, now, seen)


def claims_for_good(
    self: SuspicionTable, node: str, sender: int, claim: PeerClaim, now: int, seen: LocalObservations
) -> None:
    real_take(self, node, sender, replace(claim, expires_at=claim.expires_at + SECOND), now, seen)


def own_answers_do_not_count(self: Observation, kind: EvidenceKind) -> None:
    return None


real_heard, real_take = SuspicionTable.receive, SuspicionTable._take


@pytest.mark.parametrize(
    "where, name, instead",
    [
        (SuspicionTable, "receive", from_when_it_came),
        (SuspicionTable, "_take", claims_for_good),
        (Observation, "contradicted_at", own_answers_do_not_count),
    ],
)
def test_some_course_of_words_shows_a_bug(
    where: type, name: str, instead: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(where, name, instead)
    assert explore(Scope(instances=2, steps=4)).violation


@pytest.mark.parametrize(
    "section, key",
    [
        ({"verdict": True}, "fleet.verdict: not known"),
        (7, "fleet: missing"),
        ({"bans": 1}, "fleet.bans: expected true or false"),
    ],
)
def test_a_fault_in_the_section_names_its_key(section: object, key: str) -> None:
    with pytest.raises(config.ConfigError, match=key):
        read_fleet(section)
    assert read_fleet({"bans": False}).verdicts


def test_a_fleet_before_a_silent_server_doubts_no_healthy_one_and_plays_the_same_each_time() -> None:
    net = suspicion_net.Scenario(length_us=9 * SECOND)
    one, two = suspicion_net.Simulation(net).run(), suspicion_net.Simulation(net).run()
    assert one == two and one.attempts and not one.suspected
    assert suspicion_net.Simulation(replace(net, gossip=False)).run().bytes == 0 < one.bytes
