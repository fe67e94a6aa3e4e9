"""What heads tell each other of servers: what each sees, what a word counts for, bans of the whole fleet."""

from __future__ import annotations

import pathlib
from dataclasses import replace
from itertools import permutations
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetlanding import config
from garnetlanding.decision import interface as api
from garnetlanding.decision.control import Controller
from garnetlanding.decision.interface import Outcome
from garnetlanding.emulator import verdict_net
from garnetlanding.emulator.verdict_model import Scope, explore
from garnetlanding.http.head import HttpError
from garnetlanding.ops.admin_state import AdminState, AdminStateError, decode, encode
from garnetlanding.ops.replicated_disables import ReplicatedDisables
from garnetlanding.ops.state_file import StateFile
from garnetlanding.peers import codec
from garnetlanding.peers.codec import MessageError
from garnetlanding.peers.coordinator import PeerCoordinator
from garnetlanding.peers.disabled_backends import (
    DIGEST,
    NOTHING,
    DisabledBackendError,
    DisabledBackends,
    Record,
)
from garnetlanding.peers.failure_detector import FailureDetector
from garnetlanding.peers.gossip_message import (
    LONG_AGO,
    Evidence,
    GossipMessage,
    Kind,
    envelope,
    fit,
    read,
    tag,
)
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.local_observations import LocalObservations, Observation
from garnetlanding.peers.setup import read_fleet
from garnetlanding.peers.suspicions import Claim, SuspicionTable
from tests.helpers import MS, SECOND, T0, settings, up

LIMITS = PeerLimits()
AIM = 200 * MS
SIX = tuple(up(f"n{i}", i) for i in range(6))
SERVED, REFUSED = Outcome.SERVED, Outcome.UNREACHABLE


def result(node: str, outcome: Outcome, took: int = MS, request: str = "r") -> api.Result:
    return api.Result(request, 0, node, outcome, took, False)


def sightings(*events: api.Event, now: int = T0) -> LocalObservations:
    seen = LocalObservations(LIMITS)
    seen.observe_events(now, [api.EndpointListUpdate(SIX, whole=True), *events], AIM)
    return seen


def told(seen: LocalObservations, now: int = T0) -> dict[str, str]:
    return {node: e.kind.name for node, e in seen.evidence(now, AIM)}


# What is seen


def test_each_verdict_rests_on_what_this_head_saw_and_an_answer_ends_it() -> None:
    seen = sightings(
        *[result("n0", REFUSED)] * 3,
        *[result("n1", REFUSED)] * 2,
        *[result("n2", Outcome.FULL)] * 3,
        *[result("n3", SERVED, 300 * MS)] * 4,
        *[result("n4", Outcome.TIMEOUT)] * 2,
    )
    assert told(seen) == {"n0": "DEAD", "n2": "FULL", "n3": "SLOW", "n4": "SILENT"}
    later = T0 + 100 * MS
    seen.observe_events(
        later, [result(n, SERVED) for n in ("n0", "n2", "n4")] + [result("n3", SERVED)] * 4, AIM
    )
    assert told(seen, later) == {"n0": "COLD", "n4": "COLD"}, "back, and perhaps cold"
    assert told(seen, later + LIMITS.word_us + 1) == {}


def test_silence_is_seen_while_requests_are_out_and_one_heavy_request_is_none() -> None:
    seen = sightings(result("n0", SERVED))
    seen.observe_actions(T0, [api.Send("a", "n0"), api.Send("b", "n0"), api.Send("c", "n1")])
    assert not told(seen, T0 + 2 * AIM - 1)
    assert told(seen, T0 + 2 * AIM) == {"n0": "SILENT"}
    seen.observe_events(T0 + 2 * AIM, [result("n0", SERVED, request="a")], AIM)
    assert told(seen, T0 + 2 * AIM) == {"n0": "COLD"}
    seen.observe_events(
        T0 + 2 * AIM, [api.EndpointListUpdate((replace(SIX[0], state=api.EndpointState.DRAINING),))], AIM
    )
    assert "n0" not in seen.backends, "told of by the list: nothing is said about it"


# What a word counts for


def dead(node: str = "n0", age_ms: int = 0, life: int = LONG_AGO, kind: Kind = Kind.DEAD) -> Evidence:
    return Evidence(kind, tag(node), life, 3, age_ms)


def test_a_word_is_believed_until_its_greatest_possible_age_and_not_without_an_exchange() -> None:
    seen, v = sightings(), SuspicionTable(LIMITS)
    assert v.receive(1, [dead()], None, T0, seen) == {"word too old": 1}
    assert v.receive(1, [dead(age_ms=500)], T0 - 300 * MS, T0, seen) == {}
    until = T0 - 800 * MS + LIMITS.word_us
    assert v.suspected(T0, seen) == {"n0": until} and not v.suspected(until, seen)
    late = T0 - LIMITS.word_us
    assert v.receive(1, [dead()], late, T0, seen) == {"word too old": 1}
    assert v.receive(1, [dead("x"), dead("n1", life=7)], T0, T0, seen) == {
        "no such server": 1,
        "other life": 1,
    }
    assert v.receive(1, [], T0, T0, seen) == {} and not v.suspected(T0, seen), "not repeated: withdrawn"


def test_lives_are_compared_by_how_long_ago_they_began() -> None:
    seen = LocalObservations(LIMITS)
    seen.observe_events(
        T0, [api.EndpointListUpdate((replace(SIX[0], started_us=T0 - 40 * SECOND),), whole=True)], AIM
    )
    for life, same in ((400, True), (385, True), (430, False), (20, False), (LONG_AGO, False)):
        assert (SuspicionTable(LIMITS).receive(1, [dead(life=life)], T0, T0, seen) == {}) is same


def test_own_evidence_beats_hearsay() -> None:
    seen, v = sightings(), SuspicionTable(LIMITS)
    v.receive(1, [dead()], T0, T0, seen)
    seen.observe_events(T0 + MS, [result("n0", Outcome.ERROR)], AIM)
    assert not v.suspected(T0 + MS, seen)
    v.receive(1, [dead("n1", kind=Kind.SLOW)], T0 + MS, T0 + MS, seen)
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


# Heads in one process


class Heads:
    """Three heads before two nodes; what they tell arrives at once, unless a test cuts it."""

    def __init__(self) -> None:
        self.now = T0
        self.fleets = [FailureDetector(LIMITS) for _ in range(3)]
        self.talks = [
            PeerCoordinator(
                Controller(settings(may_message_peers=True, instance_id=me), 1), life=1, fleet=fleet
            )
            for me, fleet in enumerate(self.fleets)
        ]
        self.inbox: list[list[api.Event]] = [
            [api.EndpointListUpdate(SIX, whole=True, at_start=True)] for _ in range(3)
        ]
        self.sends: list[list[str]] = [[], [], []]

    def run(self, rounds: int, *given: tuple[int, api.Event]) -> None:
        for me, event in given:
            self.inbox[me].append(event)
        for _ in range(rounds):
            self.now += 50 * MS
            for me, talk in enumerate(self.talks):
                events, self.inbox[me] = self.inbox[me], []
                for action in talk.handle(self.now, events):
                    if isinstance(action, api.SendPeerMessage):
                        assert len(action.payload) <= LIMITS.datagram_bytes
                        self.inbox[action.to].append(api.PeerMessage(me, action.payload))
                    elif isinstance(action, api.Send):
                        self.sends[me].append(action.request)


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


def test_a_ban_reaches_all_and_is_lifted_from_any() -> None:
    f = Heads()
    f.run(10)
    said = DisabledBackends(LIMITS)
    said.set_disabled("n1", True, 0, 1000)
    f.fleets[0].replace_disabled(said)
    f.run(10)
    for fleet in f.fleets[1:]:
        assert [r.server for r in fleet.take_received()] == ["n1"] and not fleet.take_received()
        fleet.replace_disabled(DisabledBackends(LIMITS, said.records.values()))
    f.run(10)
    assert not any(fleet.take_received() for fleet in f.fleets), "alike: nothing more is told"
    lifted = DisabledBackends(LIMITS, said.records.values())
    lifted.set_disabled("n1", False, 2, 500)
    f.fleets[2].replace_disabled(lifted)
    f.run(10)
    assert [r.out for r in f.fleets[0].take_received()] == [
        False
    ], "a clock that is behind does not keep it from that"
    assert f.talks[0].known("bans", f.now)[0]["out"] is True


def test_no_course_of_words_has_a_head_doubt_what_nobody_has_seen_in_time() -> None:
    """Every one of two heads within three steps; with three, `benchmarks.verdicts`."""
    found = explore(Scope(heads=2, steps=3))
    assert found.whole and not found.wrong and found.states > 5000 and found.doubts > 500


def from_when_it_came(
    self: SuspicionTable, sender: int, evidence: Any, sent_at: int | None, now: int, seen: LocalObservations
) -> Any:
    return real_heard(self, sender, evidence, None if sent_at is None else now, now, seen)


def claims_for_good(
    self: SuspicionTable, node: str, sender: int, claim: Claim, now: int, seen: LocalObservations
) -> None:
    real_take(self, node, sender, replace(claim, until=claim.until + SECOND), now, seen)


def own_answers_do_not_count(self: Observation, kind: Kind) -> int:
    return -(1 << 62)


real_heard, real_take = SuspicionTable.receive, SuspicionTable._take


@pytest.mark.parametrize(
    "where, name, instead",
    [
        (SuspicionTable, "receive", from_when_it_came),
        (SuspicionTable, "_take", claims_for_good),
        (Observation, "proof_at", own_answers_do_not_count),
    ],
)
def test_some_course_of_words_shows_a_bug(
    where: type, name: str, instead: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(where, name, instead)
    assert explore(Scope(heads=2, steps=4)).wrong


# Bans

RECORDS = [
    Record("a", 5, 0, True),
    Record("a", 5, 1, False),
    Record("b", 7, 2, True),
    Record("a", 4, 9, True),
]


def test_tables_merge_to_the_same_one_in_any_order() -> None:
    tables = []
    for order in permutations(RECORDS):
        bans = DisabledBackends(LIMITS)
        for record in order:
            bans.merge([record])
        tables.append((bans.digest, bans.disabled_names))
    assert set(tables) == {(tables[0][0], frozenset({"b"}))} and tables[0][0] != NOTHING


def test_a_version_that_could_not_be_outbid_and_one_ban_too_many_are_not_taken() -> None:
    bans = DisabledBackends(replace(LIMITS, bans=2), [Record("a", 1, 0, True), Record("b", 2, 0, False)])
    most = LIMITS.ban_version
    assert bans.merge([Record("c", most + 1, 0, True)]) == ([], 1)
    assert bans.set_disabled("c", True, 0, 0).version == 3 and set(bans.records) == {
        "a",
        "c",
    }, "the oldest back went"
    with pytest.raises(DisabledBackendError, match="2 servers are out"):
        bans.set_disabled("d", True, 0, 0)
    with pytest.raises(DisabledBackendError, match="bytes"):
        bans.set_disabled("x" * 181, True, 0, 0)
    assert bans.merge([Record("d", 9, 0, True)]) == ([], 1) and bans.disabled_names == {"a", "c"}
    assert (
        bans.merge([Record("a", most, 9, True)])[1] == 0
        and bans.set_disabled("a", False, 0, 0).version == most + 1
    )
    other = DisabledBackends(LIMITS, [Record("a", most, 9, True)])
    assert other.merge([bans.records["a"]])[0] and not other.disabled_names, "what a liar says last is outbid"


def test_a_head_whose_clock_is_behind_takes_bans_all_the_same() -> None:
    """It dropped every version more than an hour ahead of its own clock: a ban never held there."""
    fleet = FailureDetector(LIMITS)
    fleet.replace_disabled(DisabledBackends(LIMITS))
    state = shared(fleet).merge(AdminState(), [Record("b1", 1_900_000_000_000, 2, True)])
    assert state.disabled == {"b1"}, "its clock says 1000 ms"


def shared(fleet: FailureDetector, me: int = 0) -> ReplicatedDisables:
    return ReplicatedDisables(fleet, lambda: me, lambda: 1000)


def test_bans_are_kept_on_disk_with_their_versions(tmp_path: pathlib.Path) -> None:
    fleet, file = FailureDetector(LIMITS), StateFile(str(tmp_path), "n1")
    desk = shared(fleet)
    state = file.change(lambda s: desk.set_disabled(s, "b1", True))
    assert state.disabled == {"b1"} and file.load() == state
    desk.publish(state)
    assert fleet.disabled.records["b1"] == Record("b1", 1000, 0, True)
    later = Record("b1", 2000, 1, False)
    state = file.change(lambda s: desk.merge(s, [later]))
    assert not state.disabled and state.records == (later,)
    assert desk.merge(state, [Record("b1", 1500, 2, True)]) == state, "last week's word"
    older = decode("n1", encode("n1", AdminState(frozenset({"b2"}), records=(later,))))
    assert desk.table(older).disabled_names == {"b2"}, "put out by a process that had no versions"
    with pytest.raises(HttpError, match="bytes"):
        desk.set_disabled(state, "x" * 200, True)
    with pytest.raises(AdminStateError, match="record"):
        decode("n1", encode("n1", AdminState(records=(("b", "x", 0, True),))))  # type: ignore[arg-type]


# Bytes


@given(
    st.lists(
        st.tuples(
            st.sampled_from(Kind),
            st.integers(0, 2**32 - 1),
            st.integers(0, LONG_AGO),
            st.integers(0, 255),
            st.integers(0, 65535),
        ),
        max_size=30,
    ),
    st.lists(
        st.tuples(
            st.text("abc-09", min_size=1, max_size=40),
            st.integers(0, 2**48 - 1),
            st.integers(0, 65535),
            st.booleans(),
        ),
        max_size=8,
    ),
)
def test_what_fits_is_read_back_and_torn_bytes_are_refused(seen: list[Any], said: list[Any]) -> None:
    evidence, records = [Evidence(*e) for e in seen], [Record(*r) for r in said]
    some, more = fit(evidence, records, LIMITS.datagram_bytes)
    told = GossipMessage(b"digest 8", tuple(evidence[:some]), tuple(records[:more]))
    data = codec.seal(envelope(told, 9, 8, 7, 6))
    assert len(data) <= LIMITS.datagram_bytes
    assert (some, more) == (len(evidence), len(records)) or len(data) > 200 - 40 * (more < len(records))
    e = codec.unseal(data, LIMITS.datagram_bytes)
    assert read(e) == told and (e.life, e.number, e.re_life, e.re_number) == (9, 8, 7, 6)
    for body in (e.body[:-1], e.body + b"x"):
        with pytest.raises(MessageError):
            read(replace(e, body=body))


def test_forged_words_are_counted_by_cause() -> None:
    f = Heads()
    f.run(10)
    good = envelope(GossipMessage(NOTHING, (dead(),)), 1, 999, 0, 0)
    strange = replace(good, number=1000, body=good.body[:DIGEST] + b"\x09" + good.body[DIGEST + 1 :])
    f.run(1, (0, api.PeerMessage(1, codec.seal(good))), (0, api.PeerMessage(1, codec.seal(strange))))
    assert f.talks[0].dropped == {"word too old": 1, "no such verdict": 1}
    off = PeerCoordinator(Controller(settings(may_message_peers=True), 1), life=1)
    off.handle(T0, [api.PeerMessage(1, codec.seal(good))])
    assert off.dropped == {"other kind": 1} and off.known("verdicts", T0) == []


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
    net = verdict_net.Net(length_us=9 * SECOND)
    one, two = verdict_net.Run(net).run(), verdict_net.Run(net).run()
    assert one == two and one.sends and not one.doubts
    assert verdict_net.Run(replace(net, told=False)).run().bytes == 0 < one.bytes
