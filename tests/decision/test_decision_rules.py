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


def test_request_gets_one_final_answer_before_its_deadline_and_nothing_after() -> None:
    bench = one()
    bench.ask("a", cls="write")
    bench.run(3 * SECOND)
    assert [type(x) for x in bench.answers("a")] == [api.Fail]
    at = next(t for t, x in bench.log if x in bench.answers("a"))
    assert at < 50 * SECOND + WRITE.deadline_us
    late = bench.end("a", over=True)  # a late reply sends and answers nothing
    assert not [x for x in late if isinstance(x, api.Send | api.Reject | api.Fail)]
    assert len(bench.answers("a")) == 1 and len(bench.sends("a")) <= 2  # one copy of an overdue attempt


def test_queued_request_is_refused_in_time_when_no_backend_serves_its_cell() -> None:
    bench = one()
    bench.ask("a", cell=7)
    bench.run(2 * SECOND)
    assert [type(x) for x in bench.answers("a")] == [api.Reject]


def test_keyed_request_that_may_have_run_is_failed_never_refused() -> None:
    bench = one(max_attempts=1)
    bench.ask("a", cls="write")
    bench.end("a", ERROR)
    assert [type(x) for x in bench.answers("a")] == [api.Fail]


def test_keyed_request_known_not_to_have_run_may_be_refused() -> None:
    bench = one(max_attempts=1)
    bench.ask("a", cls="write")
    bench.end("a", FULL)
    assert [type(x) for x in bench.answers("a")] == [api.Reject]


def test_keyed_new_object_is_retried_in_its_cell_within_the_deduplication_window() -> None:
    bench = DecisionBench(
        make_settings(classes=CLASSES, plans=PLANS),
        [up_endpoint("n0", 0), up_endpoint("n1", 1), up_endpoint("n2", 2)],
    )
    bench.ask("a", cls="write", cell=-1)
    bench.end("a", ERROR)
    bench.run(90 * MS)
    assert len(bench.sends("a")) == 2 and len({s.node for s in bench.sends("a")}) == 1
    bench.run(1200 * MS)
    bench.end("a", ERROR, attempt=1)  # the window of 2 s, counted from the first send, is over
    bench.run(2 * SECOND)
    assert isinstance(bench.answers("a")[0], api.Fail)
    assert all(t < 52 * SECOND for t, x in bench.log if isinstance(x, api.Send))


def test_unsafe_request_is_retried_only_when_it_never_ran() -> None:
    bench = one()
    bench.ask("first")
    bench.end("first")
    bench.ask("ran", cls="unsafe")
    bench.end("ran", RESET)
    bench.ask("not", cls="unsafe")
    bench.end("not", UNREACHABLE)
    bench.run(SECOND)
    assert len(bench.sends("ran")) == 1 and isinstance(bench.answers("ran")[0], api.Fail)
    assert len(bench.sends("not")) == 2


def test_draining_backend_gets_no_new_attempt() -> None:
    bench = one()
    for i in range(6):
        bench.ask(f"r{i}")
    bench.tell(api.EndpointListUpdate((api.Endpoint("n0", 0, "z", api.EndpointState.DRAINING),)))
    before = len(bench.sends())
    bench.end("r0")
    bench.run(SECOND)
    assert len(bench.sends()) == before


def test_ordered_key_waits_for_attempts_in_flight_and_then_rests() -> None:
    bench = one(ordered_key_rest_us=200 * MS)
    bench.ask("a", cls="ordered", key="k")
    bench.ask("b", cls="ordered", key="k")
    bench.ask("other", cls="ordered", key="k2")
    assert sent_requests([x for _, x in bench.log]) == ["a", "other"]
    bench.tell(api.ClientLeft("a"))  # over, but its attempt is out
    assert not bench.sends("b")
    bench.end("a", api.Outcome.CANCELLED, over=True)
    bench.run(190 * MS)
    assert not bench.sends("b")
    bench.run(30 * MS)
    assert len(bench.sends("b")) == 1


def test_retry_budget_counts_every_further_attempt_in_a_sliding_window() -> None:
    bench = one(retry_budget_floor=2.0, retry_budget_ratio=0.1, retry_budget_window_us=5 * SECOND)
    for i in range(20):
        bench.ask(f"r{i}")
        bench.end(f"r{i}", UNREACHABLE if i % 2 else ERROR)
        bench.run(200 * MS)
        bench.end(f"r{i}", attempt=1)
    further = len(bench.sends()) - len({s.request for s in bench.sends()})
    assert 2 <= further <= 4
    bench.run(6 * SECOND)
    bench.ask("late")
    bench.end("late", ERROR)
    bench.run(200 * MS)
    assert len(bench.sends("late")) == 2


def test_limit_allows_a_volume_this_instances_share_and_refuses_the_rest_at_once() -> None:
    bench = one()
    for i in range(40):
        bench.ask(f"r{i}", plan="limited", units=2, hosts=2)
        if bench.sends(f"r{i}"):
            bench.end(f"r{i}", took=5 * MS)
    sent = 2 * len(bench.sends())
    assert 2 <= sent <= 6  # starts with one largest request, not with a burst an earlier life may have spent
    assert all(bench.answers(f"r{i}") for i in range(10, 40))
    bench.run(SECOND)
    bench.ask("again", plan="limited", units=4, hosts=2)
    assert len(bench.sends("again")) == 1  # 8 units a second over two hosts


def test_failed_poll_of_the_endpoint_list_is_repeated_after_a_backoff() -> None:
    bench = DecisionBench(make_settings(poll_endpoints=True), [up_endpoint("n0", 0)])
    assert sum(isinstance(a, api.Subscribe) for _, a in bench.log) == 1
    for _ in range(3):
        bench.tell(api.EndpointListUpdate(failed=True))
        assert any(isinstance(a, api.Subscribe) for a in bench.run(6 * SECOND))


def test_unexpected_but_legal_events_are_ignored() -> None:
    bench = one()
    bench.tell(
        api.ClientLeft("nobody"),
        api.Result("nobody", 0, "n0", ERROR, 5, False),
        api.ProbeResult("n0", ERROR, 5),
        api.PeerMessage(1, b"x"),
        api.StreamStarted("nobody", 0),
    )
    bench.ask("a")
    bench.tell(api.EndpointListUpdate((), whole=True))  # the list drops a node with an attempt out
    bench.end("a")
    bench.tell(api.EndpointListUpdate((up_endpoint("n0", 0, started=bench.now),)))
    bench.tell(api.EndpointListUpdate((up_endpoint("n0", 0, started=bench.now + 1),)))
    bench.ask("z", units=0)


@pytest.mark.parametrize("seed", range(12))
def test_rules_hold_on_random_days(seed: int) -> None:
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
        self.bench, self.rng, self.cells = bench, rng, cells
        self.asked: dict[str, api.Arrival] = {}
        self.tries: dict[str, list[list[object]]] = {}  # [node, sent at, outcome or None]
        self.over: dict[str, int] = {}
        self.barred: dict[str, int] = {}  # node -> told at
        self.keys: dict[str, list[str]] = {}
        self.rest: dict[str, int] = {}
        self.extra: list[int] = []
        self.took: list[int] = []
        self.limit = {f"v{i}": (36.0 / 2, self.bench.now) for i in range(4)}

    def day(self) -> None:
        for n in range(900):
            self.bench.run(self.rng.choice([0, MS, 5 * MS, 20 * MS]))
            self.check()
            self.step(n)
            self.check()
        for _ in range(60):
            self.bench.run(100 * MS)
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
                self.bench.now + CLASSES[cls].deadline_us,
                2,
            )
            e = replace(e, volume=f"v{self.rng.randrange(4)}" + e.plan)
            self.asked[name] = e
            self.took.append(self.bench.now)
            self.keys.setdefault(e.key, []).append(name)
            self.bench.tell(e)
        elif roll < 0.9 and out:
            name, i = self.rng.choice(out)
            outcome = self.rng.choice([api.Outcome.SERVED] * 4 + list(api.Outcome))
            self.tries[name][i][2] = outcome
            over = name in self.over or outcome is api.Outcome.SERVED
            if over:
                self.over.setdefault(name, self.bench.now)
            if outcome in (TIMEOUT, RESET, api.Outcome.CANCELLED):
                key = self.asked[name].key
                self.rest[key] = self.bench.now + 200 * MS
            node = str(self.tries[name][i][0])
            self.bench.tell(api.Result(name, i, node, outcome, 20 * MS, over, self.rng.choice([0, 60, 300])))
        elif roll < 0.93 and self.asked:
            name = self.rng.choice(sorted(self.asked))
            if name not in self.over:
                self.over[name] = self.bench.now
                self.bench.tell(api.ClientLeft(name))
        elif roll < 0.97:
            cell = self.rng.randrange(self.cells)
            state = self.rng.choice(list(api.EndpointState) + [api.EndpointState.UP] * 2)
            if state is api.EndpointState.UP:
                self.barred.pop(f"n{cell}", None)
            else:
                self.barred[f"n{cell}"] = self.bench.now
            started = self.rng.choice([0, self.bench.now])
            self.bench.tell(
                api.EndpointListUpdate((api.Endpoint(f"n{cell}", cell, f"z{cell % 2}", state, started),))
            )
        else:
            self.bench.tell(api.EndpointListUpdate(failed=True))

    def check(self) -> None:
        log, self.bench.log = self.bench.log, []
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
                assert self.bench.c.settings.may_cancel and action.attempt < len(self.tries[action.request])
        assert all(self.bench.now <= self.asked[n].until_us for n in self.asked if n not in self.over)

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
        e, tries, s = self.asked[a.request], self.tries.setdefault(a.request, []), self.bench.c.settings
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
