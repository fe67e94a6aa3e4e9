"""Rules of the decision module: single cases, and random event sequences that a checker verifies."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

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
CLASSES = {spec.name: spec for spec in (READ, WRITE, ORDERED, UNSAFE, EVERYWHERE, ZONED)}
LIMITED = api.PlanSpec("limited", 1.0, 2.0, 1.0, limit_rate=8.0, limit_burst=36.0)
PLANS = {"gold": GOLD, "tin": TIN, "limited": LIMITED}


def bench_with_one_backend(**changes: object) -> DecisionBench:
    return DecisionBench(make_settings(classes=CLASSES, plans=PLANS, **changes), [up_endpoint("n0", 0)])


def test_request_gets_one_final_answer_before_its_deadline_and_nothing_after() -> None:
    bench = bench_with_one_backend()
    bench.arrive("a", request_class="write")
    bench.advance(3 * SECOND)
    assert [type(x) for x in bench.final_answers("a")] == [api.Fail]
    at = next(t for t, x in bench.timeline if x in bench.final_answers("a"))
    assert at < 50 * SECOND + WRITE.deadline_us
    late = bench.finish_attempt("a", answered=True)  # a late result sends and answers nothing
    assert not [x for x in late if isinstance(x, api.Send | api.Reject | api.Fail)]
    assert len(bench.final_answers("a")) == 1
    assert len(bench.sends("a")) <= 2  # one hedge of an overdue attempt


def test_queued_request_is_rejected_in_time_when_no_backend_serves_its_cell() -> None:
    bench = bench_with_one_backend()
    bench.arrive("a", cell=7)
    bench.advance(2 * SECOND)
    assert [type(x) for x in bench.final_answers("a")] == [api.Reject]


def test_keyed_request_that_may_have_run_is_failed_never_rejected() -> None:
    bench = bench_with_one_backend(max_attempts=1)
    bench.arrive("a", request_class="write")
    bench.finish_attempt("a", ERROR)
    assert [type(x) for x in bench.final_answers("a")] == [api.Fail]


def test_keyed_request_known_not_to_have_run_may_be_rejected() -> None:
    bench = bench_with_one_backend(max_attempts=1)
    bench.arrive("a", request_class="write")
    bench.finish_attempt("a", FULL)
    assert [type(x) for x in bench.final_answers("a")] == [api.Reject]


def test_keyed_new_object_is_retried_in_its_cell_within_the_deduplication_window() -> None:
    bench = DecisionBench(
        make_settings(classes=CLASSES, plans=PLANS),
        [up_endpoint("n0", 0), up_endpoint("n1", 1), up_endpoint("n2", 2)],
    )
    bench.arrive("a", request_class="write", cell=None)
    bench.finish_attempt("a", ERROR)
    bench.advance(90 * MS)
    assert len(bench.sends("a")) == 2
    assert len({s.backend for s in bench.sends("a")}) == 1
    bench.advance(1200 * MS)
    bench.finish_attempt("a", ERROR, attempt=1)  # the window of 2 s, counted from the first send, is over
    bench.advance(2 * SECOND)
    assert isinstance(bench.final_answers("a")[0], api.Fail)
    assert all(t < 52 * SECOND for t, x in bench.timeline if isinstance(x, api.Send))


def test_unsafe_request_is_retried_only_when_it_never_ran() -> None:
    bench = bench_with_one_backend()
    bench.arrive("first")
    bench.finish_attempt("first")
    bench.arrive("ran", request_class="unsafe")
    bench.finish_attempt("ran", RESET)
    bench.arrive("not", request_class="unsafe")
    bench.finish_attempt("not", UNREACHABLE)
    bench.advance(SECOND)
    assert len(bench.sends("ran")) == 1
    assert isinstance(bench.final_answers("ran")[0], api.Fail)
    assert len(bench.sends("not")) == 2


def test_draining_backend_gets_no_new_attempt() -> None:
    bench = bench_with_one_backend()
    for i in range(6):
        bench.arrive(f"r{i}")
    bench.deliver(api.EndpointListUpdate((api.Endpoint("n0", 0, "z", api.EndpointState.DRAINING),)))
    before = len(bench.sends())
    bench.finish_attempt("r0")
    bench.advance(SECOND)
    assert len(bench.sends()) == before


def test_ordered_key_waits_for_attempts_in_flight_and_then_pauses() -> None:
    bench = bench_with_one_backend(ordered_key_pause_us=200 * MS)
    bench.arrive("a", request_class="ordered", key="k")
    bench.arrive("b", request_class="ordered", key="k")
    bench.arrive("other", request_class="ordered", key="k2")
    assert sent_requests([x for _, x in bench.timeline]) == ["a", "other"]
    bench.deliver(api.ClientLeft("a"))  # answered, but its attempt is in flight
    assert not bench.sends("b")
    bench.finish_attempt("a", api.Outcome.CANCELLED, answered=True)
    bench.advance(190 * MS)
    assert not bench.sends("b")
    bench.advance(30 * MS)
    assert len(bench.sends("b")) == 1


def test_ordered_key_waits_for_an_attempt_in_flight_of_a_request_that_was_answered_before() -> None:
    bench = bench_with_one_backend(ordered_key_pause_us=200 * MS, may_cancel=False)
    bench.arrive("a", request_class="ordered", key="k")
    bench.deliver(api.ClientLeft("a"))  # needs no answer, but its attempt is not cancelled
    bench.arrive("b", request_class="ordered", key="k")
    bench.advance(300 * MS)
    assert not bench.sends("b")
    bench.finish_attempt("a", answered=True)
    bench.advance(10 * MS)
    assert len(bench.sends("b")) == 1


def test_retry_budget_counts_every_retry_in_a_sliding_window() -> None:
    bench = bench_with_one_backend(
        retry_budget_floor=2.0, retry_budget_ratio=0.1, retry_budget_window_us=5 * SECOND
    )
    for i in range(20):
        bench.arrive(f"r{i}")
        bench.finish_attempt(f"r{i}", UNREACHABLE if i % 2 else ERROR)
        bench.advance(200 * MS)
        bench.finish_attempt(f"r{i}", attempt=1)
    retries = len(bench.sends()) - len({s.request for s in bench.sends()})
    assert 2 <= retries <= 4
    bench.advance(6 * SECOND)
    bench.arrive("late")
    bench.finish_attempt("late", ERROR)
    bench.advance(200 * MS)
    assert len(bench.sends("late")) == 2


def test_limit_allows_a_volume_this_instances_quota_and_rejects_the_rest_at_once() -> None:
    bench = bench_with_one_backend()
    for i in range(40):
        bench.arrive(f"r{i}", plan="limited", units=2, serving_instances=2)
        if bench.sends(f"r{i}"):
            bench.finish_attempt(f"r{i}", duration_us=5 * MS)
    sent = 2 * len(bench.sends())
    assert 2 <= sent <= 6  # starts with one request: an earlier incarnation may have spent the burst
    assert all(bench.final_answers(f"r{i}") for i in range(10, 40))
    bench.advance(SECOND)
    bench.arrive("again", plan="limited", units=4, serving_instances=2)
    assert len(bench.sends("again")) == 1  # 8 units per second over two instances


def test_failed_poll_of_the_endpoint_list_is_repeated_after_a_backoff() -> None:
    bench = DecisionBench(make_settings(poll_endpoints=True), [up_endpoint("n0", 0)])
    assert sum(isinstance(a, api.Subscribe) for _, a in bench.timeline) == 1
    for _ in range(3):
        bench.deliver(api.EndpointListFailure())
        assert any(isinstance(a, api.Subscribe) for a in bench.advance(6 * SECOND))


def test_unexpected_but_legal_events_are_ignored() -> None:
    bench = bench_with_one_backend()
    bench.deliver(
        api.ClientLeft("nobody"),
        api.Result("nobody", 0, "n0", ERROR, 5, False),
        api.HealthCheckResult("n0", ERROR, 5),
        api.PeerMessage(1, b"x"),
        api.StreamStarted("nobody", 0),
    )
    bench.arrive("a")
    bench.deliver(api.EndpointListUpdate((), complete=True))  # removes a backend with an attempt in flight
    bench.finish_attempt("a")
    bench.deliver(api.EndpointListUpdate((up_endpoint("n0", 0, started=bench.now),)))
    bench.deliver(api.EndpointListUpdate((up_endpoint("n0", 0, started=bench.now + 1),)))
    bench.arrive("z", units=0)


@pytest.mark.parametrize("seed", range(12))
def test_rules_hold_for_random_events(seed: int) -> None:
    rng = random.Random(seed)
    settings = make_settings(
        classes=CLASSES,
        plans=PLANS,
        instances=rng.choice([1, 3]),
        parallel_attempts=rng.random() < 0.5,
        may_cancel=rng.random() < 0.5,
        ordered_key_pause_us=200 * MS,
        poll_endpoints=rng.random() < 0.5,
        retry_budget_floor=rng.choice([1.0, 3.0]),
        retry_budget_ratio=0.15,
        retry_budget_window_us=5 * SECOND if seed % 2 else 0,
        max_attempts=rng.choice([1, 3, 4]),
    )
    cells = rng.choice([1, 4])
    bench = DecisionBench(settings, [up_endpoint(f"n{c}", c, zone=f"z{c % 2}") for c in range(cells)], seed)
    RuleChecker(bench, rng, cells).run()


@dataclass
class SentAttempt:
    """An attempt as recorded by the checker."""

    backend: str
    sent_at: int
    outcome: api.Outcome | None = None  # None: in flight

    @property
    def may_have_run(self) -> bool:
        return self.outcome not in (FULL, UNREACHABLE, api.Outcome.NEVER_DISPATCHED)

    @property
    def zone(self) -> int:
        return int(self.backend[1:]) % 2


class RuleChecker:
    """Delivers random events and checks the rules with its own record of attempts and answers."""

    def __init__(self, bench: DecisionBench, rng: random.Random, cells: int) -> None:
        self.bench = bench
        self.rng = rng
        self.cells = cells
        self.settings = bench.controller.settings
        self.arrivals: dict[str, api.Arrival] = {}
        self.attempts: dict[str, list[SentAttempt]] = {}
        self.answered_at: dict[str, int] = {}
        self.unavailable_since: dict[str, int] = {}  # by backend
        self.requests_of_key: dict[str, list[str]] = {}
        self.key_pauses_until: dict[str, int] = {}
        self.retries_at: list[int] = []
        self.arrived_at: list[int] = []
        self.limits = {f"v{i}": (36.0 / 2, self.bench.now) for i in range(4)}  # tokens and their time

    def run(self) -> None:
        for number in range(900):
            self.bench.advance(self.rng.choice([0, MS, 5 * MS, 20 * MS]))
            self.check_actions()
            self.take_step(number)
            self.check_actions()
        for _ in range(60):
            self.bench.advance(100 * MS)
            self.check_actions()
        assert set(self.answered_at) == set(self.arrivals)

    def take_step(self, number: int) -> None:
        roll = self.rng.random()
        in_flight = [
            (name, index)
            for name, attempts in self.attempts.items()
            for index, attempt in enumerate(attempts)
            if attempt.outcome is None
        ]
        if roll < 0.5:
            self.send_arrival(f"r{number}")
        elif roll < 0.9 and in_flight:
            self.end_attempt(*self.rng.choice(in_flight))
        elif roll < 0.93 and self.arrivals:
            self.leave(self.rng.choice(sorted(self.arrivals)))
        elif roll < 0.97:
            self.change_endpoint(self.rng.randrange(self.cells))
        else:
            self.bench.deliver(api.EndpointListFailure())

    def send_arrival(self, name: str) -> None:
        class_name = self.rng.choice(sorted(CLASSES))
        arrival = api.Arrival(
            name,
            class_name,
            self.rng.choice(sorted(PLANS)),
            "",
            self.rng.choice(["", "k1", "k2"]),
            self.rng.choice([0.5, 1, 2, 6]),
            None if (cell := self.rng.randrange(-1, self.cells)) < 0 else cell,
            self.bench.now + CLASSES[class_name].deadline_us,
            2,
        )
        arrival = replace(arrival, volume=f"v{self.rng.randrange(4)}" + arrival.plan)
        self.arrivals[name] = arrival
        self.arrived_at.append(self.bench.now)
        self.requests_of_key.setdefault(arrival.key, []).append(name)
        self.bench.deliver(arrival)

    def end_attempt(self, name: str, index: int) -> None:
        attempt = self.attempts[name][index]
        attempt.outcome = self.rng.choice([api.Outcome.SERVED] * 4 + list(api.Outcome))
        answered = name in self.answered_at or attempt.outcome is api.Outcome.SERVED
        if answered:
            self.answered_at.setdefault(name, self.bench.now)
        if attempt.outcome in (TIMEOUT, RESET, api.Outcome.CANCELLED):
            self.key_pauses_until[self.arrivals[name].key] = self.bench.now + 200 * MS
        usage_percent = self.rng.choice([None, 59, 299])
        self.bench.deliver(
            api.Result(name, index, attempt.backend, attempt.outcome, 20 * MS, answered, usage_percent)
        )

    def leave(self, name: str) -> None:
        if name not in self.answered_at:
            self.answered_at[name] = self.bench.now
            self.bench.deliver(api.ClientLeft(name))

    def change_endpoint(self, cell: int) -> None:
        state = self.rng.choice(list(api.EndpointState) + [api.EndpointState.UP] * 2)
        backend = f"n{cell}"
        if state is api.EndpointState.UP:
            self.unavailable_since.pop(backend, None)
        else:
            self.unavailable_since[backend] = self.bench.now
        started_us = self.rng.choice([0, self.bench.now])
        endpoint = api.Endpoint(backend, cell, f"z{cell % 2}", state, started_us)
        self.bench.deliver(api.EndpointListUpdate((endpoint,)))

    def check_actions(self) -> None:
        log = self.bench.timeline
        self.bench.timeline = []
        for at, action in log:
            if isinstance(action, api.Send):
                self.check_send(at, action)
            elif isinstance(action, api.Reject | api.Fail):
                self.check_final_answer(at, action)
            elif isinstance(action, api.Cancel):
                assert self.settings.may_cancel
                assert action.attempt < len(self.attempts[action.request])
        for name, arrival in self.arrivals.items():
            assert name in self.answered_at or self.bench.now <= arrival.deadline_us

    def check_final_answer(self, at: int, answer: api.Reject | api.Fail) -> None:
        name = answer.request
        assert name not in self.answered_at, "answered twice"
        assert at <= self.arrivals[name].deadline_us
        self.answered_at[name] = at
        if isinstance(answer, api.Reject):
            self.check_rejection(name)

    def may_have_run(self, name: str) -> list[SentAttempt]:
        return [attempt for attempt in self.attempts.get(name, []) if attempt.may_have_run]

    def check_rejection(self, name: str) -> None:
        spec = CLASSES[self.arrivals[name].request_class]
        if spec.effect is api.Effect.SAFE:
            return
        if spec.effect is api.Effect.KEYED and spec.deduplication_scope is api.DeduplicationScope.ALL:
            return
        assert not self.may_have_run(name), "rejected though it may have run"

    def check_send(self, at: int, send: api.Send) -> None:
        arrival = self.arrivals[send.request]
        attempts = self.attempts.setdefault(send.request, [])
        attempt = SentAttempt(send.backend, at)
        cell = int(send.backend[1:])
        assert send.request not in self.answered_at
        assert at < arrival.deadline_us
        assert len(attempts) < self.settings.max_attempts
        assert send.backend not in self.unavailable_since
        assert arrival.cell in (None, cell)
        if any(earlier.outcome is None for earlier in attempts):
            assert self.settings.parallel_attempts
        self.check_repeat(attempt, CLASSES[arrival.request_class], self.may_have_run(send.request))
        self.check_order(at, arrival, is_first=not attempts)
        if attempts:
            self.check_retry_budget(at)
        elif arrival.plan == "limited":
            self.check_limit(at, arrival)
        attempts.append(attempt)

    def check_repeat(self, attempt: SentAttempt, spec: api.ClassSpec, ran: list[SentAttempt]) -> None:
        """A request that may have run is retried only where a duplicate is harmless."""
        if not ran or spec.effect is api.Effect.SAFE:
            return
        assert spec.effect is api.Effect.KEYED
        assert attempt.sent_at < min(earlier.sent_at for earlier in ran) + spec.deduplication_window_us
        if spec.deduplication_scope is api.DeduplicationScope.CELL:
            assert all(earlier.backend == attempt.backend for earlier in ran)
        if spec.deduplication_scope is api.DeduplicationScope.ZONE:
            assert all(earlier.zone == attempt.zone for earlier in ran)

    def check_order(self, at: int, arrival: api.Arrival, is_first: bool) -> None:
        """A request of an ordered key is sent when its predecessors are answered and not in flight."""
        if not (CLASSES[arrival.request_class].in_order and arrival.key):
            return
        requests = self.requests_of_key[arrival.key]
        before = [name for name in requests[: requests.index(arrival.request)] if self.is_ordered(name)]
        for name in before:
            assert name in self.answered_at
            assert all(attempt.outcome is not None for attempt in self.attempts.get(name, []))
        if is_first:
            assert at >= self.pause_of_ordered_key(arrival.key, before)

    def is_ordered(self, name: str) -> bool:
        return CLASSES[self.arrivals[name].request_class].in_order

    def pause_of_ordered_key(self, key: str, before: list[str]) -> int:
        """Return the end of the key's pause, if only ordered requests determine it; otherwise 0."""
        sent = [name for name in self.requests_of_key[key] if name in self.attempts]
        if before and all(self.is_ordered(name) for name in sent):
            return self.key_pauses_until.get(key, 0)
        return 0

    def check_retry_budget(self, at: int) -> None:
        settings = self.settings
        window = settings.retry_budget_window_us
        if not window:
            return
        self.retries_at.append(at)
        spent = sum(1 for retry_at in self.retries_at if retry_at > at - window)
        arrived = sum(1 for arrived_at in self.arrived_at if at >= arrived_at > at - window)
        assert spent <= settings.retry_budget_floor + settings.retry_budget_ratio * arrived

    def check_limit(self, at: int, arrival: api.Arrival) -> None:
        level, since = self.limits.get(arrival.volume, (18.0, 50 * SECOND))
        level = min(18.0, level + 4.0 * (at - since) / SECOND) - arrival.units
        assert level >= -1e-6
        self.limits[arrival.volume] = (level, at)
