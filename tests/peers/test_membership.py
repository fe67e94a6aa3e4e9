"""Heads that find each other, and budgets of a window that all heads share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from itertools import permutations
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetlanding import config
from garnetlanding.decision import interface as api
from garnetlanding.decision.control import Controller
from garnetlanding.emulator.brick import Brick
from garnetlanding.emulator.budget_net import BudgetNet, BudgetRun
from garnetlanding.emulator.discovery import Box
from garnetlanding.emulator.group_model import Scope, explore
from garnetlanding.emulator.group_net import SECOND, GroupNet, GroupRun
from garnetlanding.peers import codec, membership_message
from garnetlanding.peers.codec import MessageError
from garnetlanding.peers.connection_quota import ConnectionQuota
from garnetlanding.peers.coordinator import PeerCoordinator
from garnetlanding.peers.gossip_schedule import GossipSchedule
from garnetlanding.peers.leases import Leases, Own
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.membership import Membership, Record
from garnetlanding.peers.membership_protocol import MembershipProtocol
from garnetlanding.peers.setup import FleetSetup, read_fleet
from garnetlanding.peers.shared_budgets import SharedBudgets
from tests.helpers import T0, Peer, World, read_command, settings, up

LIMITS = PeerLimits()
RECORDS = st.builds(
    Record,
    st.integers(0, 65535),
    st.integers(0, 2**48 - 1),
    st.booleans(),
    st.builds(lambda host, port: f"{host}:{port}", st.ip_addresses(v=4), st.integers(0, 65535))
    | st.builds(lambda host, port: f"[{host}]:{port}", st.ip_addresses(v=6), st.integers(0, 65535)),
)


def at(head: int) -> str:
    return f"127.0.0.{head + 1}:7946"


def one(head: int, life: int = 5, seeds: int = 2) -> Membership:
    return Membership(LIMITS, head, life, at(head), [at(n) for n in range(seeds)], 0)


# The form


@given(st.binary(min_size=8, max_size=8), st.lists(RECORDS, min_size=1, max_size=8), st.booleans())
def test_words_about_heads_are_heard_as_told_and_fit(
    digest: bytes, records: list[Record], joined: bool
) -> None:
    pages = membership_message.pages(records, LIMITS.datagram_bytes, 9)
    assert [r for page in pages for r in page[1:]] == records[1:]
    for page in pages:
        told = membership_message.MembershipMessage(digest, tuple(page), joined)
        data = codec.seal(membership_message.envelope(told, 1, 2, 3, 4))
        assert len(data) <= LIMITS.datagram_bytes
        assert membership_message.read(codec.unseal(data, LIMITS.datagram_bytes)) == told
    assert len(membership_message.pages(records * 9, LIMITS.datagram_bytes, 2)) <= 2


@given(st.binary(max_size=60), st.tuples(st.integers(0, 5), st.integers(0, 3)))
def test_words_about_heads_that_make_no_sense_are_bad(body: bytes, counts: tuple[int, int]) -> None:
    e = codec.Envelope(codec.ROLL, 1, 1, 0, 0, counts, body)
    try:
        told = membership_message.read(e)
    except MessageError:
        return
    assert len(told.records) == counts[0] > 0


# The table


def test_tables_of_heads_merge_to_the_same_one_in_any_order() -> None:
    words = [
        Record(1, 5, False, at(1)),
        Record(1, 5, True, at(1)),
        Record(1, 6, False, at(2)),
        Record(2, 3, False, at(3)),
    ]
    digests = set()
    for order in permutations(words):
        table = one(0)
        for word in order:
            table.learn([word])
        digests.add(table.digest)
        assert table.entitled == {0, 1, 2} and table.reach(1) == at(2)
    assert len(digests) == 1


def test_a_head_uses_nothing_until_all_that_it_knows_have_its_record() -> None:
    a, b, new = one(0), one(1), one(2)
    for x, y in ((a, b), (b, a)):
        x.learn(y.records.values())
    a.heard(1, b.digest, False, LIMITS.begin_us)
    b.heard(0, a.digest, False, LIMITS.begin_us)
    assert a.joined and b.joined and a.even == 0.5, "all seeds begin it together"
    new.learn([a.records[0], a.records[1]])
    new.heard(0, a.digest, True, 9 * SECOND)
    assert not new.joined, "head 0 told the table that it had before it heard of this one"
    a.learn([new.records[2]])
    new.heard(0, a.digest, True, 9 * SECOND)
    assert not new.joined and a.even == pytest.approx(1 / 3)
    b.learn([new.records[2]])
    new.heard(1, b.digest, True, 9 * SECOND)
    assert new.joined and a.even + b.even + new.even == pytest.approx(1)


def test_newcomers_that_know_only_each_other_begin_no_second_group() -> None:
    a, b = one(2), one(3)
    for x, y in ((a, b), (b, a)):
        x.learn(y.records.values())
    a.heard(3, b.digest, False, 60 * SECOND)
    assert not a.joined and len(a.unmet(0)) == 2, "no seed has been heard"


def test_a_head_that_is_put_out_or_replaced_stands_back_and_an_earlier_life_of_it_does_not_matter() -> None:
    alone = one(0, seeds=1)
    alone.look(LIMITS.begin_us)
    assert alone.joined
    alone.learn([Record(0, 9, False, at(0))])
    assert not alone.out and alone.records[0].life == 10, "its own, before its clock was set back"
    alone.learn([Record(0, 11, False, at(7))])
    assert alone.out == "another process has its number" and alone.even == 0.0
    other = one(1)
    assert other.forget(1) and not other.forget(5)
    assert other.out == "put out" and other.state(1, 0) == "gone"
    assert other.known(0)[0]["part"] == 0.0


def test_who_is_not_heard_is_suspect_and_keeps_its_part() -> None:
    a = one(0, seeds=1)
    a.learn([Record(n, 1, False, at(n)) for n in range(1, 9)])
    a.look(LIMITS.begin_us)
    a.heard(1, b"", True, 0)
    assert a.suspect_us == 2 * LIMITS.stale_us and len(a.entitled) == 9
    assert [a.state(1, when) for when in (a.suspect_us, a.suspect_us + 1)] == ["up", "suspect"]
    full = Membership(replace(LIMITS, heads=1), 0, 5, at(0), [at(0)], 0)
    assert full.learn([Record(1, 1, False, at(1))]) == 1


@given(st.integers(2, 300), st.integers(0, 20), st.integers(0, 500))
def test_a_round_has_a_bounded_cost_and_everybody_has_a_turn(heads: int, partners: int, me: int) -> None:
    turns, others = GossipSchedule(LIMITS, me), set(range(1, heads))
    seen: set[int] = set()
    for _ in range(-(-heads // LIMITS.near)):
        chosen = turns.round(others, range(1, partners + 1))
        assert len(chosen) <= LIMITS.near + LIMITS.partners and len(set(chosen)) == len(chosen)
        seen |= set(chosen)
    assert seen == others and turns.round((), (1,)) == []


NETS = {
    "six": GroupNet(),
    "twelve": GroupNet(heads=12, events=30),
    "a storm": GroupNet(events=40, loss=0.4, length_us=30 * SECOND),
}


@pytest.mark.parametrize("name", NETS)
def test_even_parts_of_a_group_that_changes_never_add_up_to_more_than_the_whole(name: str) -> None:
    for seed in range(15):
        seen = GroupRun(replace(NETS[name], seed=seed)).run()
        assert seen.most <= 1 + 1e-9, f"seed {seed}: {seen.most} at {seen.most_at} us"
        assert seen.agreed, f"seed {seed}: tables differ once all is calm"


# Bugs put in on purpose

real_learn, real_look = Membership.learn, Membership.look


def at_once(self: Membership, now: int) -> None:
    self._joined = self._joined or len(self.records) > 1


def one_is_enough(self: Membership, now: int) -> None:
    self._joined = self._joined or (bool(self._known_by) and (self._sponsored or now > self._begins_at))


def without_a_sponsor(self: Membership, now: int) -> None:
    self._joined = self._joined or (bool(self._known_by) and self._known_by >= self.entitled - {self.me})


def heard_only(self: Membership) -> set[int]:
    return {self.me} | {who for who in self._heard if who in self.records and not self.records[who].gone}


def older_stands(self: Membership, records: Any) -> int:
    for record in records:
        self.records.setdefault(record.head, record)
    self._digest = None
    return 0


GROUP_BUGS: dict[str, tuple[str, object]] = {
    "a newcomer uses its part at once": ("look", at_once),
    "one head's word is enough": ("look", one_is_enough),
    "newcomers begin a group of their own": ("look", without_a_sponsor),
    "only who is heard counts": ("entitled", property(heard_only)),
    "the first word stands": ("learn", older_stands),
}


@pytest.mark.parametrize("bug", GROUP_BUGS)
def test_a_bug_put_into_membership_on_purpose_is_found(bug: str, monkeypatch: pytest.MonkeyPatch) -> None:
    name, instead = GROUP_BUGS[bug]
    monkeypatch.setattr(Membership, name, instead)
    nets = [*NETS.values(), GroupNet(seeds=1, events=20), GroupNet(heads=4, seeds=2, events=40)]
    for seed in range(60):
        seen = GroupRun(replace(nets[seed % len(nets)], seed=seed)).run()
        if seen.most > 1 + 1e-9 or not seen.agreed:
            return
    raise AssertionError("no seed shows it")


def test_no_course_of_a_small_group_makes_its_even_parts_more_than_the_whole() -> None:
    found = explore(Scope(moves=6))
    assert found.whole and found.states > 2000 and found.most == pytest.approx(1.0) and found.joined == 2
    assert explore(Scope(seeds=1, moves=8)).most <= 1 + 1e-9


@pytest.mark.parametrize("bug", ["a newcomer uses its part at once", "only who is heard counts"])
def test_some_course_of_a_small_group_shows_a_bug(bug: str, monkeypatch: pytest.MonkeyPatch) -> None:
    name, instead = GROUP_BUGS[bug]
    monkeypatch.setattr(Membership, name, instead)
    assert explore(Scope(seeds=1, moves=9)).most > 1.1


# Budgets

BUDGETS = {
    "three": BudgetNet(),
    "eight": BudgetNet(heads=8),
    "half is lost": BudgetNet(loss=0.5),
    "many faults": BudgetNet(faults=12),
    "late": BudgetNet(heads=4, late_us=2 * SECOND, faults=8),
}


@pytest.mark.parametrize("name", BUDGETS)
def test_all_heads_together_spend_no_more_than_the_budget_within_any_window(name: str) -> None:
    for seed in range(8):
        seen = BudgetRun(replace(BUDGETS[name], seed=seed)).run()
        assert seen.most <= 1 + 1e-9, f"seed {seed}: {seen.most} at {seen.most_at} us"


def test_a_head_alone_can_spend_most_of_the_budget() -> None:
    calm = BudgetNet(calm=True, rest=0.0, shift_us=60 * SECOND, length_us=20 * SECOND)
    assert BudgetRun(calm).run().usable > 0.75


def lease_alone(self: Leases) -> int:
    return int(self._limits.lease_us * (1 + self._limits.drift))


def nothing_locked(self: Own, now: int, longest_us: int) -> float:
    return 0.0


@pytest.mark.parametrize(
    "where, name, instead",
    [(Leases, "_quarantine_us", property(lease_alone)), (Own, "locked", nothing_locked)],
)
def test_a_bug_put_into_budgets_on_purpose_is_found(
    where: object, name: str, instead: Callable[..., Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(where, name, instead)
    nets = [BudgetNet(shift_us=SECOND), BudgetNet(window_us=6 * SECOND, shift_us=2 * SECOND)]
    assert any(BudgetRun(replace(nets[seed % 2], seed=seed)).run().most > 1 + 1e-9 for seed in range(60))


COLD = settings(
    may_message_peers=True,
    instances=3,
    warmup_units=30.0,
    overload_window_us=2 * SECOND,
    warmup_us=14 * SECOND,
)


def test_a_head_asks_for_the_budget_of_a_cold_server_and_counts_what_it_sends() -> None:
    budgets = SharedBudgets(LIMITS, COLD, 1, T0)
    node = replace(up("n0", 0), started_us=T0 - SECOND)
    ask = api.Arrival("r1", "read", "gold", "v", "k", 2, 0, T0 + SECOND, 1)
    budgets.observe_events(
        T0,
        [api.EndpointListUpdate((node, up("n1", 1)), whole=True), ask, replace(ask, request="r2", cell=1)],
        COLD,
        3,
    )
    assert budgets.changed_shares(T0, 3) == {
        "cold:n0": 0.0
    }, "a head that starts waits for its earlier life's window"
    later = T0 + 4 * SECOND
    budgets.observe_events(later, [ask], COLD, 3)
    assert (
        budgets.changed_shares(later, 3) == {"cold:n0": pytest.approx(1.0)}
        and budgets.changed_shares(later, 3) is None
    )
    budgets.observe_actions(later, [api.Send("r1", "n0"), api.Send("r2", "n1"), api.Reject("r2")], COLD)
    own = budgets.leases.demands[codec.tag("cold:n0")]
    assert own.locked(later, budgets.leases.window_us) == pytest.approx(2 / 30)
    budgets.observe_events(
        later, [api.EndpointListUpdate(failed=True), api.EndpointListUpdate((up("n0", 0),))], COLD, 3
    )
    budgets.observe_actions(later, [api.Subscribe()], COLD)
    told = budgets.changed_shares(later, 3)
    assert told and told[api.LIST_CALLS] >= LIMITS.list_least
    assert "r1" in budgets._units
    budgets.observe_events(later, [api.ClientLeft("r1")], COLD, 3)
    assert not budgets._units, "nobody waits for it any more"
    budgets.observe_events(later, [replace(ask, request="r3")], COLD, 3)
    assert "r3" not in budgets._units, "it is warm"


def test_the_module_sends_a_cold_server_what_its_share_allows() -> None:
    sent = {}
    for share in (0.0, 1.0, 3.0):
        module = Controller(replace(COLD, overload_multiple=0.0), 1)
        node = replace(up("n0", 0), started_us=T0)
        asks: list[api.Event] = [
            api.Arrival(f"r{i}", "read", "gold", "v", "k", 2, 0, T0 + SECOND, 1) for i in range(40)
        ]
        told: list[api.Event] = [
            api.EndpointListUpdate((node,), whole=True, at_start=True),
            api.QuotaShares({}, {"cold:n0": share}),
        ]
        actions = module.handle(T0, told + asks)
        sent[share] = sum(isinstance(a, api.Send) for a in actions)
    assert sent[0.0] == 0 and 0 < sent[1.0] <= sent[3.0]


class Shared:
    """Leases of two heads that hear each other, and the places of the first."""

    def __init__(self) -> None:
        self.now, window = T0, 2 * SECOND
        self.heads = [Leases(LIMITS, me, 2, 7, T0 - SECOND, window_us=window) for me in range(2)]
        self.places = ConnectionQuota(8, window, lambda: self.now, lambda: (self.heads[0], 2))

    def talk(self, seconds: float, mine: int = 0, theirs: int = 0, lacking: bool = False) -> None:
        """Each head has so many connections open; the first, where it is `lacking`, wants one more."""
        for _ in range(int(seconds * 4)):
            self.now += SECOND // 4
            self.places.open("n0", mine, lacking)
            self.heads[1].record_demand("places:n0", 2, 4.0, 0, self.now, 2 * SECOND)
            self.heads[1].set_in_use("places:n0", theirs)
            for sender, receiver in ((0, 1), (1, 0)):
                number = self.heads[sender].next_number(self.now)
                for page in self.heads[sender].compose(self.now).values():
                    heard = self.heads[sender].last_received(receiver)
                    self.heads[receiver].receive(sender, codec.Message(7, number, *heard, *page), self.now)

    def others(self) -> int:
        return int(self.heads[1].usable_share(codec.tag("places:n0"), self.now) * 8 + 1e-9)


def test_places_at_a_server_move_to_the_head_that_lacks_them_and_never_add_up_to_more() -> None:
    s = Shared()
    assert s.places.most("n0") == 0, "what an earlier life had open may not have ended"
    s.talk(3)
    assert s.places.most("n0") == 4
    s.talk(3, mine=4, lacking=True)
    assert s.places.most("n0") > 5 and s.places.most("n0") + s.others() <= 8
    more = Shared()
    more.talk(3)
    more.talk(3, mine=4, theirs=4, lacking=True)
    assert more.places.most("n0") == 4, "none that the other has open"
    nobody = ConnectionQuota(8, SECOND, lambda: T0, lambda: None)
    nobody.open("n0", 1)
    assert nobody.most("n0") == 0
    alone = Leases(LIMITS, 0, 1, 7, T0, window_us=SECOND)
    assert ConnectionQuota(8, SECOND, lambda: T0, lambda: (alone, 1)).most("n0") == 8


class Few:
    """Places that a test sets."""

    def __init__(self) -> None:
        self.allowed, self.told = 2, list[tuple[int, bool]]()

    def most(self, server: str) -> int:
        return self.allowed

    def open(self, server: str, count: int, lacking: bool = False) -> None:
        self.told.append((count, lacking))


def test_a_head_opens_no_more_connections_than_it_has_places_and_closes_what_has_gone_back() -> None:
    w, few = World(), Few()
    w.bricks.places = few
    brick = w.server(Brick)
    brick.hold = True
    w.list(Box("n0", brick.address, 0))
    front = w.front()
    peers = [Peer(w, front.address) for _ in range(3)]
    for i, peer in enumerate(peers):
        peer.say(read_command(f"r{i}"))
    assert len(brick.conns) == 2 and (2, True) in few.told, "the third lacks a place"
    few.allowed = 1
    brick.hold = False
    brick.release()
    w.run(SECOND)
    assert len(brick.conns) == 1 and few.told[-1][0] == 1, "the other was closed as it came free"


def test_a_head_that_does_not_act_has_no_part_until_it_acts_again() -> None:
    """In a group that it has joined, its part of the budgets came back with the next message."""
    group = MembershipProtocol(LIMITS, one(0, seeds=1))
    talk = PeerCoordinator(
        Controller(COLD, 1),
        life=1,
        group=group,
        budgets=lambda s, life, now: SharedBudgets(LIMITS, s, life, now),
    )
    now = T0
    talk.handle(now, [])
    group.look(now + LIMITS.begin_us)
    talk.handle(now, [])
    budgets = talk.budgets
    assert group.members.joined and budgets and budgets.leases.resumes_at is not None
    talk.stand_back(True, now)
    talk.handle(now + SECOND, [])
    talk.take_over(now + SECOND)
    talk.handle(now + SECOND, [])
    assert budgets.leases.resumes_at is None and talk.leases and talk.leases.resumes_at is None
    talk.stand_back(False, now + SECOND)
    talk.handle(now + SECOND, [])
    assert budgets.leases.resumes_at is not None and talk.leases.resumes_at is not None, "as after a start"


# Configuration


@pytest.mark.parametrize(
    "data, key",
    [
        ({"budgets": 1}, "key fleet.budgets"),
        ({"server_connections": 9}, "server_connections: only with"),
        ({"seeds": "x"}, "key fleet.seeds: expected a list"),
        ({"seeds": ["nowhere"]}, "key fleet.seeds.0"),
        ({"seeds": ["host:7"]}, "names no machine by number"),
        ({"advertise": "127.0.0.1:7"}, "key fleet.advertise: only with seeds"),
        ({"other": 1}, "key fleet.other"),
        ({"seeds": ["127.0.0.1:7"], "routes": {"127.0.0.1:7": 5}}, "key fleet.routes.127.0.0.1:7"),
    ],
)
def test_a_fault_in_the_operators_section_names_its_key(data: dict[str, Any], key: str) -> None:
    with pytest.raises(config.ConfigError, match=key):
        read_fleet(data)


def test_the_operators_section_is_read() -> None:
    assert read_fleet({}) == FleetSetup()
    routes = {"127.0.0.1:7": "127.0.0.2:8"}
    told = read_fleet({"seeds": ["127.0.0.1:7"], "advertise": "[::1]:9", "routes": routes})
    assert told.seeds == ("127.0.0.1:7",) and told.routes == routes
