"""Fair queueing: start tags in units, retagging, concurrency, weights. Orders are derived by hand."""

from __future__ import annotations

from dataclasses import replace

from garnetlanding.decision import interface as api
from garnetlanding.decision.concurrency import concurrency_limit
from garnetlanding.decision.weight_control import run_weight_controller
from tests.support.clock import MS, SECOND
from tests.support.decision_bench import DecisionBench, make_settings, sent_requests, up_endpoint

FILLERS = ["f0", "f1", "f2", "f3"]


def bench_at_concurrency_floor(**changes: object) -> DecisionBench:
    """An instance whose only backend has the floor of four attempts in flight, from a volume of its own."""
    bench = DecisionBench(make_settings(**changes), [up_endpoint("n0", 0)])
    for name in FILLERS:
        bench.arrive(name, volume="filler", units=1)
    assert len(bench.sends()) == 4
    return bench


def finish_oldest(bench: DecisionBench, count: int) -> list[str]:
    """Finish the oldest attempts one by one; return the order in which queued requests are sent."""
    sent_order = []
    finished = set()
    for _ in range(count):
        oldest = next(send.request for send in bench.sends() if send.request in bench.state.requests.by_id)
        sent_order += sent_requests(bench.finish_attempt(oldest, duration_us=5 * MS))
        finished.add(oldest)
    assert len(finished) == count, "an answered request was still open"
    return sent_order


def test_start_tags_share_a_backend_by_weight_in_units() -> None:
    bench = bench_at_concurrency_floor()
    # Start tags S of the fillers: 0, 1/4, 2/4, 3/4, so the virtual time v is 0.75.
    # Finish tags F: S + 2/4 for gold, S + 2/1 for tin.
    for i in range(4):
        bench.arrive(f"g{i}", volume="g", plan="gold", units=2)
    for i in range(2):
        bench.arrive(f"t{i}", volume="t", plan="tin", units=2)
    # g: 0.75, 1.25, 1.75, 2.25; t: 0.75, 2.75. Ties go to the earlier arrival.
    assert finish_oldest(bench, 6) == ["g0", "t0", "g1", "g2", "g3", "t1"]


def test_changed_plan_moves_the_tags_of_queued_requests() -> None:
    bench = bench_at_concurrency_floor()
    for name in ("g0", "g1", "t0", "t1"):
        bench.arrive(name, volume=name[0], plan={"g": "gold", "t": "tin"}[name[0]], units=2)
    plans = bench.controller.settings.plans | {
        "tin": replace(bench.controller.settings.plans["tin"], weight=8.0)
    }
    bench.deliver(api.NewSettings(replace(bench.controller.settings, plans=plans)))
    # t: 0.75, 1.0 where 0.75, 2.75 were; g stays at 0.75, 1.25.
    assert finish_oldest(bench, 4) == ["g0", "t0", "t1", "g1"]


def test_larger_requests_move_the_tags_on_further() -> None:
    bench = bench_at_concurrency_floor()
    bench.arrive("big0", volume="big", units=6)
    bench.arrive("big1", volume="big", units=6)
    for i in range(3):
        bench.arrive(f"s{i}", volume="small", units=2)
    # big: 0.75, 2.25; small: 0.75, 1.25, 1.75.
    assert finish_oldest(bench, 5) == ["big0", "s0", "s1", "s2", "big1"]


def test_idle_volume_accumulates_no_credit() -> None:
    bench = bench_at_concurrency_floor()
    for i in range(3):
        bench.arrive(f"a{i}", volume="a", units=4)
    finish_oldest(bench, 3)  # v is now a2's start tag, 2.75
    bench.arrive("a3", volume="a", units=4)  # starts at a2's finish, 3.75
    bench.arrive("i0", volume="idle", units=4)  # v = 2.75
    bench.arrive("i1", volume="idle", units=4)  # 3.75, later than a3
    assert finish_oldest(bench, 3) == ["i0", "a3", "i1"]


def test_weight_change_retags_from_the_last_request_sent() -> None:
    """The paper's first counter-example: a raised weight must apply to queued requests."""
    bench = bench_at_concurrency_floor()
    bench.arrive("t0", volume="t", plan="tin", units=6)
    bench.arrive("t1", volume="t", plan="tin", units=6)
    assert finish_oldest(bench, 1) == ["t0"]  # S = 0.75, F = 6.75: t1 waits at 6.75
    for i in range(2):
        bench.arrive(f"g{i}", volume="g", units=6)  # 0.75, 2.25
    volume, queue = bench.state.volumes.by_name["t"], bench.state.cells.queues[0]
    flow = queue.flows["t"]
    assert flow.queued[0].start_tag == 6.75
    volume.usage_percent = 25  # a quarter of its rate; by the exponent of 0.5, the weight doubles
    bench.state.now = bench.now
    run_weight_controller(bench.state)
    assert volume.weight == 2.0
    assert flow.finish_tag == 0.75 + 6 / 2
    assert flow.queued[0].start_tag == max(queue.virtual_time, 3.75)
    assert finish_oldest(bench, 3) == ["g0", "g1", "t1"]


def test_repeated_retagging_counts_requests_already_sent() -> None:
    """The paper's second counter-example: repeated retagging must not favour one flow."""
    bench = bench_at_concurrency_floor()
    for i in range(6):
        bench.arrive(f"a{i}", volume="a", units=2)
        bench.arrive(f"b{i}", volume="b", units=2)
    sent_order: list[str] = []
    for _ in range(6):
        for name in ("a", "b"):
            bench.state.volumes.by_name[name].usage_percent = 100
        run_weight_controller(bench.state)
        sent_order += finish_oldest(bench, 1)
    assert sent_order == ["a0", "b0", "a1", "b1", "a2", "b2"]


def test_cancelled_queued_request_costs_its_volume_nothing() -> None:
    bench = bench_at_concurrency_floor()
    bench.arrive("x0", volume="x", plan="tin", units=6)
    bench.arrive("x1", volume="x", plan="tin", units=6)
    bench.arrive("y0", volume="y", plan="tin", units=2)
    bench.arrive("y1", volume="y", plan="tin", units=2)
    bench.deliver(api.ClientLeft("x0"))
    # x1 moves up to the 0.75 that x0 had; y1 is at 2.75.
    assert finish_oldest(bench, 3) == ["x1", "y0", "y1"]


def test_backend_without_responses_gets_four_attempts_in_flight() -> None:
    bench = bench_at_concurrency_floor()
    bench.arrive("more")
    assert not bench.sends("more")


def test_concurrency_limit_follows_completions_up_to_the_ceiling() -> None:
    bench = DecisionBench(make_settings(), [up_endpoint("n0", 0)])
    health = bench.state.cells.queues[0].health
    assert health is not None
    for i in range(80):  # 40 a second x 0.3 s = 12
        health.served.add(bench.now - 20 * i)
    assert round(concurrency_limit(bench.state, health), 9) == 12
    for _ in range(2000):
        health.served.add(bench.now)
    assert concurrency_limit(bench.state, health) == 32.0
    bench.state.now = bench.now + 3 * SECOND
    assert concurrency_limit(bench.state, health) == 4.0


def test_fast_errors_do_not_raise_the_concurrency_limit() -> None:
    bench = DecisionBench(make_settings(max_attempts=1), [up_endpoint("n0", 0)])
    for i in range(200):
        bench.arrive(f"e{i}")
        bench.finish_attempt(f"e{i}", api.Outcome.ERROR, duration_us=MS)
    health = bench.state.cells.queues[0].health
    assert health is not None
    assert concurrency_limit(bench.state, health) == 4.0


def test_slow_responses_shrink_the_concurrency_limit_below_the_floor() -> None:
    bench = bench_at_concurrency_floor()
    for name in FILLERS:
        bench.finish_attempt(name, duration_us=900 * MS)
    health = bench.state.cells.queues[0].health
    assert health is not None
    assert concurrency_limit(bench.state, health) < 4.0


def test_weight_stays_without_a_usage_figure_and_is_clamped_with_one() -> None:
    bench = bench_at_concurrency_floor()
    bench.advance(4 * SECOND)
    assert bench.state.volumes.by_name["filler"].weight == 4.0
    for _ in range(20):
        bench.state.volumes.by_name["filler"].usage_percent = 1
        run_weight_controller(bench.state)
    assert bench.state.volumes.by_name["filler"].weight == 16.0
    for _ in range(20):
        bench.state.volumes.by_name["filler"].usage_percent = 10_000
        run_weight_controller(bench.state)
    assert bench.state.volumes.by_name["filler"].weight == 1.0


def test_slow_response_to_a_large_request_does_not_get_small_ones_rejected() -> None:
    """Load shedding forecasts by unit: a response of 240 ms for 6 units means 40 ms for 1 unit."""
    bench = DecisionBench(make_settings(), [up_endpoint("n0", 0)])
    bench.arrive("large", units=6)
    bench.finish_attempt("large", duration_us=240 * MS)
    for name in [*FILLERS, "small"]:
        bench.arrive(name, units=1, volume=name)
    assert not bench.final_answers("small")


def test_overload_sheds_the_lowest_priority_first_and_early() -> None:
    bench = DecisionBench(make_settings(), [up_endpoint("n0", 0)])
    bench.arrive("first", units=1)
    bench.finish_attempt("first", duration_us=70 * MS)
    for i in range(4):
        bench.arrive(f"out{i}", units=1, volume=f"o{i}")
    for i in range(40):
        bench.arrive(f"q{i}", units=2, volume="surge")
    rejected = [f"q{i}" for i in range(40) if bench.final_answers(f"q{i}")]
    assert rejected
    assert "q0" not in rejected
    assert rejected[-1] == "q39"
