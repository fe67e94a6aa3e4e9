"""The seven rules, by hand and by seeded random days checked apart from the module's own books."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from garnetlanding.decision import interface as api
from tests.support.clock import MS, SECOND
from tests.support.decision_bench import (
    GOLD,
    READ,
    TIN,
    WRITE,
    DecisionBench,
    make_settings,
    sent_requests,
    up_endpoint,
)

ERROR, FULL, TIMEOUT, RESET = api.Outcome.ERROR, api.Outcome.FULL, api.Outcome.TIMEOUT, api.Outcome.RESET
UNREACHABLE = api.Outcome.UNREACHABLE
ORDERED = replace(WRITE, name="ordered", in_order=True)
UNSAFE = replace(WRITE, name="unsafe", effect=api.Effect.UNSAFE)
EVERYWHERE = replace(WRITE, name="everywhere", deduplication_scope=api.DeduplicationScope.ALL)
ZONED = replace(WRITE, name="zoned", deduplication_scope=api.DeduplicationScope.ZONE)
CLASSES = {c.name: c for c in (READ, WRITE, ORDERED, UNSAFE, EVERYWHERE, ZONED)}
LIMITED = api.PlanSpec("limited", 1.0, 2.0, 1.0, limit_rate=8.0, limit_burst=36.0)
PLANS = {"gold": GOLD, "tin": TIN, "limited": LIMITED}


def one(**changes: object) -> DecisionBench:
    return DecisionBench(make_settings(classes=CLASSES, plans=PLANS, **changes), [up_endpoint("n0", 0)])


def test_one_final_answer_before_the_clients_time_and_nothing_after() -> None:
    b = one()
    b.ask("a", cls="write")
    b.run(3 * SECOND)
    assert [type(x) for x in b.answers("a")] == [api.Fail]
    at = next(t for t, x in b.log if x in b.answers("a"))
    assert at < 50 * SECOND + WRITE.deadline_us
    late = b.end("a", over=True)  # a late reply sends and answers nothing
    assert not [x for x in late if isinstance(x, api.Send | api.Reject | api.Fail)]
    assert len(b.answers("a")) == 1 and len(b.sends("a")) <= 2  # one copy of an overdue attempt


def test_held_request_is_refused_in_time_when_no_node_serves_its_cell() -> None:
    b = one()
    b.ask("a", cell=7)
    b.run(2 * SECOND)
    assert [type(x) for x in b.answers("a")] == [api.Reject]


def test_keyed_request_that_may_have_run_is_failed_never_refused() -> None:
    b = one(max_attempts=1)
    b.ask("a", cls="write")
    b.end("a", ERROR)
    assert [type(x) for x in b.answers("a")] == [api.Fail]


def test_keyed_request_known_not_to_have_run_may_be_refused() -> None:
    b = one(max_attempts=1)
    b.ask("a", cls="write")
    b.end("a", FULL)
    assert [type(x) for x in b.answers("a")] == [api.Reject]


def test_keyed_new_object_is_resent_in_its_cell_within_the_window() -> None:
    b = DecisionBench(
        make_settings(classes=CLASSES, plans=PLANS),
        [up_endpoint("n0", 0), up_endpoint("n1", 1), up_endpoint("n2", 2)],
    )
    b.ask("a", cls="write", cell=-1)
    b.end("a", ERROR)
    b.run(90 * MS)
    assert len(b.sends("a")) == 2 and len({s.node for s in b.sends("a")}) == 1
    b.run(1200 * MS)
    b.end("a", ERROR, attempt=1)  # the window of 2 s, counted from the first send, is over
    b.run(2 * SECOND)
    assert isinstance(b.answers("a")[0], api.Fail)
    assert all(t < 52 * SECOND for t, x in b.log if isinstance(x, api.Send))


def test_unsafe_request_is_resent_only_when_it_never_ran() -> None:
    b = one()
    b.ask("first")
    b.end("first")
    b.ask("ran", cls="unsafe")
    b.end("ran", RESET)
    b.ask("not", cls="unsafe")
    b.end("not", UNREACHABLE)
    b.run(SECOND)
    assert len(b.sends("ran")) == 1 and isinstance(b.answers("ran")[0], api.Fail)
    assert len(b.sends("not")) == 2


def test_nothing_new_to_a_draining_node() -> None:
    b = one()
    for i in range(6):
        b.ask(f"r{i}")
    b.tell(api.EndpointListUpdate((api.Endpoint("n0", 0, "z", api.EndpointState.DRAINING),)))
    before = len(b.sends())
    b.end("r0")
    b.run(SECOND)
    assert len(b.sends()) == before


def test_order_waits_for_attempts_still_out_and_then_rests() -> None:
    b = one(ordered_key_rest_us=200 * MS)
    b.ask("a", cls="ordered", key="k")
    b.ask("b", cls="ordered", key="k")
    b.ask("other", cls="ordered", key="k2")
    assert sent_requests([x for _, x in b.log]) == ["a", "other"]
    b.tell(api.ClientLeft("a"))  # over, but its attempt is out
    assert not b.sends("b")
    b.end("a", api.Outcome.CANCELLED, over=True)
    b.run(190 * MS)
    assert not b.sends("b")
    b.run(30 * MS)
    assert len(b.sends("b")) == 1


def test_budget_counts_every_further_attempt_in_a_sliding_window() -> None:
    b = one(retry_budget_floor=2.0, retry_budget_ratio=0.1, retry_budget_window_us=5 * SECOND)
    for i in range(20):
        b.ask(f"r{i}")
        b.end(f"r{i}", UNREACHABLE if i % 2 else ERROR)
        b.run(200 * MS)
        b.end(f"r{i}", attempt=1)
    further = len(b.sends()) - len({s.request for s in b.sends()})
    assert 2 <= further <= 4
    b.run(6 * SECOND)
    b.ask("late")
    b.end("late", ERROR)
    b.run(200 * MS)
    assert len(b.sends("late")) == 2


def test_limit_holds_a_volume_to_this_hosts_part_and_refuses_the_rest_at_once() -> None:
    b = one()
    for i in range(40):
        b.ask(f"r{i}", plan="limited", units=2, hosts=2)
        if b.sends(f"r{i}"):
            b.end(f"r{i}", took=5 * MS)
    sent = 2 * len(b.sends())
    assert 2 <= sent <= 6  # starts with one largest request, not with a burst an earlier life may have spent
    assert all(b.answers(f"r{i}") for i in range(10, 40))
    b.run(SECOND)
    b.ask("again", plan="limited", units=4, hosts=2)
    assert len(b.sends("again")) == 1  # 8 units a second over two hosts


def test_a_failed_list_call_is_asked_again_with_backoff() -> None:
    b = DecisionBench(make_settings(poll_endpoints=True), [up_endpoint("n0", 0)])
    assert sum(isinstance(a, api.Subscribe) for _, a in b.log) == 1
    for _ in range(3):
        b.tell(api.EndpointListUpdate(failed=True))
        assert any(isinstance(a, api.Subscribe) for a in b.run(6 * SECOND))


def test_odd_but_legal_events_are_passed_over() -> None:
    b = one()
    b.tell(
        api.ClientLeft("nobody"),
        api.Result("nobody", 0, "n0", ERROR, 5, False),
        api.ProbeResult("n0", ERROR, 5),
        api.PeerMessage(1, b"x"),
        api.StreamStarted("nobody", 0),
    )
    b.ask("a")
    b.tell(api.EndpointListUpdate((), whole=True))  # the list drops a node with an attempt out
    b.end("a")
    b.tell(api.EndpointListUpdate((up_endpoint("n0", 0, started=b.now),)))
    b.tell(api.EndpointListUpdate((up_endpoint("n0", 0, started=b.now + 1),)))
    b.ask("z", units=0)


@pytest.mark.parametrize("seed", range(12))
def test_random_days_keep_the_rules(seed: int) -> None:
    rng = random.Random(seed)
    config = make_settings(
        classes=CLASSES,
        plans=PLANS,
        instances=rng.choice([1, 3]),
        parallel_attempts=rng.random() < 0.5,
        may_cancel=rng.random() < 0.5,
        ordered_key_rest_us=200 * MS,
        poll_endpoints=rng.random() < 0.5,
        retry_budget_floor=rng.choice([1.0, 3.0]),
        retry_budget_ratio=0.15,
        retry_budget_window_us=5 * SECOND if seed % 2 else 0,
        max_attempts=rng.choice([1, 3, 4]),
    )
    cells = rng.choice([1, 4])
    bench = DecisionBench(config, [up_endpoint(f"n{c}", c, zone=f"z{c % 2}") for c in range(cells)], seed)
    Checker(bench, rng, cells).day()


class Checker:
    """Plays a random day and keeps its own books of what was sent, ended and answered."""

    def __init__(self, bench: DecisionBench, rng: random.Random, cells: int) -> None:
        self.b, self.rng, self.cells = bench, rng, cells
        self.asked: dict[str, api.Arrival] = {}
        self.tries: dict[str, list[list[object]]] = {}  # [node, sent at, outcome or None]
        self.over: dict[str, int] = {}
        self.barred: dict[str, int] = {}  # node -> told at
        self.keys: dict[str, list[str]] = {}
        self.rest: dict[str, int] = {}
        self.extra: list[int] = []
        self.took: list[int] = []
        self.limit = {f"v{i}": (36.0 / 2, self.b.now) for i in range(4)}

    def day(self) -> None:
        for n in range(900):
            self.b.run(self.rng.choice([0, MS, 5 * MS, 20 * MS]))
            self.check()
            self.step(n)
            self.check()
        for _ in range(60):
            self.b.run(100 * MS)
            self.check()
        assert set(self.over) == set(self.asked)

    def step(self, n: int) -> None:
        roll, out = (
            self.rng.random(),
            [(r, i) for r, ts in self.tries.items() for i, t in enumerate(ts) if t[2] is None],
        )
        if roll < 0.5:
            name, cls = f"r{n}", self.rng.choice(sorted(CLASSES))
            e = api.Arrival(
                name,
                cls,
                self.rng.choice(sorted(PLANS)),
                "",
                self.rng.choice(["", "k1", "k2"]),
                self.rng.choice([0.5, 1, 2, 6]),
                self.rng.randrange(-1, self.cells),
                self.b.now + CLASSES[cls].deadline_us,
                2,
            )
            e = replace(e, volume=f"v{self.rng.randrange(4)}" + e.plan)
            self.asked[name] = e
            self.took.append(self.b.now)
            self.keys.setdefault(e.key, []).append(name)
            self.b.tell(e)
        elif roll < 0.9 and out:
            name, i = self.rng.choice(out)
            outcome = self.rng.choice([api.Outcome.SERVED] * 4 + list(api.Outcome))
            self.tries[name][i][2] = outcome
            over = name in self.over or outcome is api.Outcome.SERVED
            if over:
                self.over.setdefault(name, self.b.now)
            if outcome in (TIMEOUT, RESET, api.Outcome.CANCELLED):
                key = self.asked[name].key
                self.rest[key] = self.b.now + 200 * MS
            node = str(self.tries[name][i][0])
            self.b.tell(api.Result(name, i, node, outcome, 20 * MS, over, self.rng.choice([0, 60, 300])))
        elif roll < 0.93 and self.asked:
            name = self.rng.choice(sorted(self.asked))
            if name not in self.over:
                self.over[name] = self.b.now
                self.b.tell(api.ClientLeft(name))
        elif roll < 0.97:
            cell = self.rng.randrange(self.cells)
            state = self.rng.choice(list(api.EndpointState) + [api.EndpointState.UP] * 2)
            if state is api.EndpointState.UP:
                self.barred.pop(f"n{cell}", None)
            else:
                self.barred[f"n{cell}"] = self.b.now
            started = self.rng.choice([0, self.b.now])
            self.b.tell(
                api.EndpointListUpdate((api.Endpoint(f"n{cell}", cell, f"z{cell % 2}", state, started),))
            )
        else:
            self.b.tell(api.EndpointListUpdate(failed=True))

    def check(self) -> None:
        log, self.b.log = self.b.log, []
        for at, action in log:
            if isinstance(action, api.Send):
                self.check_send(at, action)
            elif isinstance(action, api.Reject | api.Fail):
                name = action.request
                assert name not in self.over, "answered twice"
                assert at <= self.asked[name].until_us
                self.over[name] = at
                if isinstance(action, api.Reject):
                    self.check_refusal(name)
            elif isinstance(action, api.Cancel):
                assert self.b.c.settings.may_cancel and action.attempt < len(self.tries[action.request])
        assert all(self.b.now <= self.asked[n].until_us for n in self.asked if n not in self.over)

    def ran(self, name: str) -> list[list[object]]:
        never = (FULL, api.Outcome.UNREACHABLE, api.Outcome.NEVER_DISPATCHED)
        return [t for t in self.tries.get(name, []) if t[2] not in never]

    def check_refusal(self, name: str) -> None:
        cls = CLASSES[self.asked[name].cls]
        if cls.effect is api.Effect.SAFE or (
            cls.effect is api.Effect.KEYED and cls.deduplication_scope is api.DeduplicationScope.ALL
        ):
            return
        assert not self.ran(name), "refused though it may have run"

    def check_send(self, at: int, a: api.Send) -> None:
        e, tries, s = self.asked[a.request], self.tries.setdefault(a.request, []), self.b.c.settings
        cls, ran, cell = CLASSES[e.cls], self.ran(a.request), int(a.node[1:])
        assert a.request not in self.over and at < e.until_us and len(tries) < s.max_attempts
        assert a.node not in self.barred
        assert e.cell in (-1, cell)
        if any(t[2] is None for t in tries):
            assert s.parallel_attempts
        if ran and cls.effect is not api.Effect.SAFE:
            assert cls.effect is api.Effect.KEYED
            assert at < min(int(str(t[1])) for t in ran) + cls.deduplication_window_us
            if cls.deduplication_scope is api.DeduplicationScope.CELL:
                assert all(t[0] == a.node for t in ran)
            if cls.deduplication_scope is api.DeduplicationScope.ZONE:
                assert all(int(str(t[0])[1:]) % 2 == cell % 2 for t in ran)
        if cls.in_order and e.key:
            before = self.keys[e.key][: self.keys[e.key].index(a.request)]
            for other in (o for o in before if CLASSES[self.asked[o].cls].in_order):
                assert other in self.over
                assert all(t[2] is not None for t in self.tries.get(other, []))
            if not tries:
                assert at >= self.ordered_rest(e.key, before)
        if tries and s.retry_budget_window_us:
            self.extra.append(at)
            spent = sum(1 for t in self.extra if t > at - s.retry_budget_window_us)
            earned = sum(1 for t in self.took if at >= t > at - s.retry_budget_window_us)
            assert spent <= s.retry_budget_floor + s.retry_budget_ratio * earned
        if not tries and e.plan == "limited":
            level, since = self.limit.get(e.volume, (18.0, 50 * SECOND))
            level = min(18.0, level + 4.0 * (at - since) / SECOND) - e.units
            assert level >= -1e-6
            self.limit[e.volume] = (level, at)
        tries.append([a.node, at, None])

    def ordered_rest(self, key: str, before: list[str]) -> int:
        return (
            self.rest.get(key, 0)
            if any(CLASSES[self.asked[o].cls].in_order for o in before)
            and all(CLASSES[self.asked[o].cls].in_order for o in self.keys[key] if o in self.tries)
            else 0
        )
