"""Suspicions of backends: the lifetime of claims, the credit of peers, and the effect on requests."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from garnetlanding import config
from garnetlanding.decision import interface as api
from garnetlanding.decision.interface import Outcome
from garnetlanding.emulator import suspicion_simulation
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
from tests.support.suspicions import (
    LIMITS,
    OBJECTIVE_US,
    REFUSED,
    SERVED,
    SIX_BACKENDS,
    GossipingInstances,
    make_evidence,
    observations_after,
    result,
)


def test_claim_holds_until_its_greatest_possible_age_and_only_after_an_exchange() -> None:
    observations, table = observations_after(), SuspicionTable(LIMITS)
    assert table.receive(1, [make_evidence()], None, T0, observations) == {DropReason.EXPIRED_EVIDENCE: 1}
    assert table.receive(1, [make_evidence(age_ms=500)], T0 - 300 * MS, T0, observations) == {}
    until = T0 - 800 * MS + LIMITS.evidence_us
    assert table.suspected(T0, observations) == {"n0": until}
    assert not table.suspected(until, observations)
    late = T0 - LIMITS.evidence_us
    assert table.receive(1, [make_evidence()], late, T0, observations) == {DropReason.EXPIRED_EVIDENCE: 1}
    assert table.receive(1, [make_evidence("x"), make_evidence("n1", uptime=7)], T0, T0, observations) == {
        DropReason.UNKNOWN_BACKEND: 1,
        DropReason.OTHER_INCARNATION: 1,
    }
    assert table.receive(1, [], T0, T0, observations) == {}, "not repeated: withdrawn"
    assert not table.suspected(T0, observations), "not repeated: withdrawn"


def test_incarnations_of_a_backend_are_compared_by_uptime() -> None:
    observations = LocalObservations(LIMITS)
    observations.observe_events(
        T0,
        [api.EndpointListUpdate((replace(SIX_BACKENDS[0], started_us=T0 - 40 * SECOND),), complete=True)],
        OBJECTIVE_US,
    )
    for uptime, is_same in ((400, True), (385, True), (430, False), (20, False), (MAX_UPTIME, False)):
        dropped = SuspicionTable(LIMITS).receive(1, [make_evidence(uptime=uptime)], T0, T0, observations)
        assert (dropped == {}) is is_same


def test_later_local_observation_refutes_a_claim() -> None:
    observations, table = observations_after(), SuspicionTable(LIMITS)
    table.receive(1, [make_evidence()], T0, T0, observations)
    observations.observe_events(T0 + MS, [result("n0", Outcome.ERROR)], OBJECTIVE_US)
    assert not table.suspected(T0 + MS, observations)
    table.receive(1, [make_evidence("n1", kind=EvidenceKind.SLOW)], T0 + MS, T0 + MS, observations)
    observations.observe_events(T0 + 2 * MS, [result("n1", SERVED, 2 * OBJECTIVE_US)], OBJECTIVE_US)
    assert table.suspected(T0 + 2 * MS, observations), "a late response does not refute that it is slow"
    observations.observe_events(T0 + 3 * MS, [result("n1", SERVED)], OBJECTIVE_US)
    assert not table.suspected(T0 + 3 * MS, observations)


def test_peer_counts_once_and_loses_credit_when_refuted_repeatedly() -> None:
    observations, table = observations_after(), SuspicionTable(LIMITS)
    now = T0
    for _ in range(24):  # six seconds of rounds: the backend that is claimed to be unreachable responds
        now += 250 * MS
        table.receive(1, [make_evidence()], now, now, observations)
        now += MS
        observations.observe_events(now, [result("n0", SERVED)], OBJECTIVE_US)
    assert table.credits.of(1, now) < LIMITS.suspicion_credit
    table.receive(1, [make_evidence("n1")], now, now, observations)
    assert not table.suspected(now, observations), "its claims about other backends do not count either"
    table.receive(2, [make_evidence("n1")], now, now, observations)
    assert table.suspected(now, observations)
    table.receive(1, [make_evidence("n1")] * 5, now, now, observations)
    table.receive(2, [], now, now, observations)
    assert not table.suspected(now, observations), "five equal claims count once"
    assert table.credits.of(1, now + LIMITS.credit_recovery_us) == 1


def test_peer_that_withdraws_and_repeats_a_refuted_claim_loses_credit() -> None:
    observations, table = observations_after(), SuspicionTable(LIMITS)
    now = T0
    for _ in range(4):
        table.receive(1, [make_evidence()], now, now, observations)
        observations.observe_events(now + MS, [result("n0", SERVED)], OBJECTIVE_US)
        table.receive(1, [], now + 2 * MS, now + 2 * MS, observations)
        now += 500 * MS
    assert table.credits.of(1, now) < LIMITS.suspicion_credit
    other, later = SuspicionTable(LIMITS), T0 + 60 * SECOND
    for _ in range(4):  # a backend that really fails and recovers, at longer intervals
        other.receive(1, [make_evidence()], later, later, observations)
        observations.observe_events(later + MS, [result("n0", SERVED)], OBJECTIVE_US)
        other.receive(1, [], later + 2 * MS, later + 2 * MS, observations)
        later += 2 * LIMITS.evidence_us
    assert other.credits.of(1, later) == 1


def test_peer_that_was_right_keeps_its_credit_when_the_backend_recovers() -> None:
    observations, table = observations_after(), SuspicionTable(LIMITS)
    for now in range(T0, T0 + 3 * SECOND, 250 * MS):
        table.receive(1, [make_evidence(age_ms=(now - T0) // MS % 1000)], now, now, observations)
    observations.observe_events(now, [result("n0", SERVED)], OBJECTIVE_US)
    for age in range(250, 1500, 250):  # it repeats its observation with the true age
        table.receive(1, [make_evidence(age_ms=age)], now + age * MS, now + age * MS, observations)
    assert table.credits.of(1, now) == 1


def test_query_changes_no_claim_and_expired_claims_are_dropped_explicitly() -> None:
    observations, table = observations_after(), SuspicionTable(LIMITS)
    table.receive(1, [make_evidence()], T0, T0, observations)
    expired_at = T0 + LIMITS.evidence_us
    assert not table.suspected(expired_at, observations)
    assert list(table.claims_about("n0")) == [1], "a query drops nothing"
    assert table.suspected(expired_at - 1, observations) == {"n0": expired_at}
    table.drop_expired(expired_at, observations)
    assert not table.claims_about("n0")


def test_claims_about_a_backend_that_is_not_listed_any_more_are_forgotten() -> None:
    observations, table = observations_after(), SuspicionTable(LIMITS)
    table.receive(1, [make_evidence("n0"), make_evidence("n1")], T0, T0, observations)
    observations.observe_events(T0, [api.EndpointListUpdate(SIX_BACKENDS[1:], complete=True)], OBJECTIVE_US)
    assert set(table.suspected(T0, observations)) == {"n1"}
    table.drop_expired(T0, observations)
    assert not table.claims_about("n0")
    assert table.claims_about("n1")


def test_suspected_backends_are_a_set_fraction_at_most() -> None:
    observations, table = observations_after(), SuspicionTable(LIMITS)
    table.receive(1, [make_evidence(f"n{i}") for i in range(6)], T0, T0, observations)
    table.receive(2, [make_evidence("n5")], T0, T0, observations)
    assert len(table.suspected(T0, observations)) == 2
    assert "n5" in table.suspected(T0, observations)


def arrival(name: str, now: int) -> api.Arrival:
    return api.Arrival(name, "read", "gold", "v", "k", 1, 0, now + SECOND, 2)


def test_suspected_backend_gets_one_request_at_a_time_until_it_responds() -> None:
    instances = GossipingInstances()
    instances.run(20)
    instances.run(8, *[(1, result("n0", REFUSED))] * 3)
    instances.run(1, *[(0, arrival(f"r{i}", instances.now)) for i in range(3)])
    assert instances.sends[0] == ["r0"], "one at a time, and at least one"
    instances.run(1, (0, result("n0", SERVED, request="r0")))
    assert instances.sends[0] == ["r0", "r1", "r2"], "a response to its own request ends the suspicion"
    rows = [row.as_json() for row in instances.coordinators[0].suspicion_rows(instances.now)]
    assert [claim["head"] for claim in rows[0]["words"]] == [1]  # type: ignore[attr-defined]  # a row of JSON
    assert rows[0]["doubted_ms"] is None


def test_no_sequence_of_claims_leads_to_a_suspicion_without_recent_observation() -> None:
    """Explores all runs of two instances up to three steps; `benchmarks.verdicts` explores those of three."""
    found = explore(Scope(instances=2, steps=3))
    assert found.is_complete
    assert not found.violation
    assert found.states > 5000
    assert found.suspicious_states > 500


def claim_from_arrival(
    self: SuspicionTable,
    sender: int,
    evidence: Any,
    sent_at: int | None,
    now: int,
    observations: LocalObservations,
) -> Any:
    return real_receive(self, sender, evidence, None if sent_at is None else now, now, observations)


def claims_too_long(
    self: SuspicionTable, claim: PeerClaim, sender: int, observation: Observation, now: int
) -> None:
    real_replace_claim(self, replace(claim, expires_at=claim.expires_at + SECOND), sender, observation, now)


def own_responses_ignored(_self: Observation, _kind: EvidenceKind) -> None:
    return None


real_receive, real_replace_claim = SuspicionTable.receive, SuspicionTable._replace_claim


@pytest.mark.parametrize(
    ("owner", "name", "replacement"),
    [
        pytest.param(SuspicionTable, "receive", claim_from_arrival, id="age counts from arrival"),
        pytest.param(SuspicionTable, "_replace_claim", claims_too_long, id="claims hold too long"),
        pytest.param(Observation, "contradicted_at", own_responses_ignored, id="own responses are ignored"),
    ],
)
def test_seeded_bug_is_found_by_exploration(
    owner: type, name: str, replacement: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(owner, name, replacement)
    assert explore(Scope(instances=2, steps=4)).violation


@pytest.mark.parametrize(
    ("section", "key"),
    [
        pytest.param({"verdict": True}, "fleet.verdict: not known", id="unknown key"),
        pytest.param(7, "fleet: missing", id="no section"),
        pytest.param({"bans": 1}, "fleet.bans: expected true or false", id="number for a flag"),
    ],
)
def test_fault_in_the_fleet_section_names_its_key(section: object, key: str) -> None:
    with pytest.raises(config.ConfigError, match=key):
        read_fleet(section)
    assert read_fleet({"bans": False}).suspicions


def test_simulated_fleet_suspects_no_healthy_backend_and_is_reproducible() -> None:
    scenario = suspicion_simulation.Scenario(length_us=9 * SECOND)
    first, second = (
        suspicion_simulation.Simulation(scenario).run(),
        suspicion_simulation.Simulation(scenario).run(),
    )
    assert first == second
    assert first.attempts
    assert not first.suspected
    assert suspicion_simulation.Simulation(replace(scenario, gossip=False)).run().bytes == 0 < first.bytes
