"""The design: start tags in units, retagging, depth, the weight controller. Sequences worked by hand."""

from __future__ import annotations

from dataclasses import replace

from garnetlanding.decision import interface as api
from garnetlanding.decision.concurrency import concurrency_limit
from garnetlanding.decision.weight_control import run_weight_controller
from tests.support.clock import MS, SECOND
from tests.support.decision_bench import DecisionBench, make_settings, sent_requests, up_endpoint

FOUR = ["f0", "f1", "f2", "f3"]


def filled(**changes: object) -> DecisionBench:
    """A host whose one node has the floor of four out, from a volume of its own."""
    b = DecisionBench(make_settings(**changes), [up_endpoint("n0", 0)])
    for name in FOUR:
        b.ask(name, volume="filler", units=1)
    assert len(b.sends()) == 4
    return b


def drain(b: DecisionBench, count: int) -> list[str]:
    """Ends the oldest out one by one; the order in which held ones leave."""
    out, order = [s.request for s in b.sends() if not b.answers(s.request)], []
    done: set[str] = getattr(b, "done", set())
    for _ in range(count):
        name = next(n for n in [s.request for s in b.sends()] if n not in done)
        done.add(name)
        order += sent_requests(b.end(name, took=5 * MS))
    b.done = done  # type: ignore[attr-defined]
    assert out is not None
    return order


def test_start_tags_share_by_weight_in_units() -> None:
    b = filled()
    # Filler's tags: S = 0, 1/4, 2/4, 3/4, so v = 0.75. gold: F = S + 2/4; tin: F = S + 2/1.
    for i in range(4):
        b.ask(f"g{i}", volume="g", plan="gold", units=2)
    for i in range(2):
        b.ask(f"t{i}", volume="t", plan="tin", units=2)
    # g: 0.75, 1.25, 1.75, 2.25; t: 0.75, 2.75. Ties go to the earlier arrival.
    assert drain(b, 6) == ["g0", "t0", "g1", "g2", "g3", "t1"]


def test_a_plan_changed_by_the_operator_moves_the_tags_of_what_is_held() -> None:
    b = filled()
    for name in ("g0", "g1", "t0", "t1"):
        b.ask(name, volume=name[0], plan={"g": "gold", "t": "tin"}[name[0]], units=2)
    plans = b.c.settings.plans | {"tin": replace(b.c.settings.plans["tin"], weight=8.0)}
    b.tell(api.NewSettings(replace(b.c.settings, plans=plans)))
    # t: 0.75, 1.0 where 0.75, 2.75 were; g stays at 0.75, 1.25.
    assert drain(b, 4) == ["g0", "t0", "t1", "g1"]


def test_larger_requests_pay_more() -> None:
    b = filled()
    b.ask("big0", volume="big", units=6)
    b.ask("big1", volume="big", units=6)
    for i in range(3):
        b.ask(f"s{i}", volume="small", units=2)
    # big: 0.75, 2.25; small: 0.75, 1.25, 1.75.
    assert drain(b, 5) == ["big0", "s0", "s1", "s2", "big1"]


def test_idle_volume_banks_no_credit() -> None:
    b = filled()
    for i in range(3):
        b.ask(f"a{i}", volume="a", units=4)
    drain(b, 3)  # v is now a2's start tag, 2.75
    b.ask("a3", volume="a", units=4)  # starts at a2's finish, 3.75
    b.ask("i0", volume="idle", units=4)  # v = 2.75
    b.ask("i1", volume="idle", units=4)  # 3.75, later than a3
    assert drain(b, 3) == ["i0", "a3", "i1"]


def test_weight_change_retags_from_the_last_sent() -> None:
    """The paper's first counter-example: a weight raised must act on work already held."""
    b = filled()
    b.ask("t0", volume="t", plan="tin", units=6)
    b.ask("t1", volume="t", plan="tin", units=6)
    assert drain(b, 1) == ["t0"]  # S = 0.75, F = 6.75: t1 waits at 6.75
    for i in range(2):
        b.ask(f"g{i}", volume="g", units=6)  # 0.75, 2.25
    volume, flow, node = b.c.state.volumes["t"], b.c.state.cells[0].flows["t"], b.c.state.cells[0]
    assert flow.queued[0].start_tag == 6.75
    volume.usage_percent = 25  # a quarter of its rate: weight times 2 with half a step
    b.c.state.now = b.now
    run_weight_controller(b.c.state)
    assert volume.weight == 2.0
    assert flow.finish_tag == 0.75 + 6 / 2
    assert flow.queued[0].start_tag == max(node.virtual_time, 3.75)
    assert drain(b, 3) == ["g0", "g1", "t1"]


def test_retagging_does_not_forget_work_already_sent() -> None:
    """The paper's second counter-example: retagging again and again must not favour one flow."""
    b = filled()
    for i in range(6):
        b.ask(f"a{i}", volume="a", units=2)
        b.ask(f"b{i}", volume="b", units=2)
    left: list[str] = []
    for _ in range(6):
        for name in ("a", "b"):
            b.c.state.volumes[name].usage_percent = 100
        run_weight_controller(b.c.state)
        left += drain(b, 1)
    assert left == ["a0", "b0", "a1", "b1", "a2", "b2"]


def test_unsent_request_leaves_no_cost() -> None:
    b = filled()
    b.ask("x0", volume="x", plan="tin", units=6)
    b.ask("x1", volume="x", plan="tin", units=6)
    b.ask("y0", volume="y", plan="tin", units=2)
    b.ask("y1", volume="y", plan="tin", units=2)
    b.tell(api.ClientLeft("x0"))
    # x1 moves up to the 0.75 that x0 had; y1 is at 2.75.
    assert drain(b, 3) == ["x1", "y0", "y1"]


def test_unheard_node_has_four_out() -> None:
    b = filled()
    b.ask("more")
    assert not b.sends("more")


def test_depth_follows_served_completions_up_to_the_ceiling() -> None:
    b = DecisionBench(make_settings(), [up_endpoint("n0", 0)])
    h = b.c.state.cells[0].health
    assert h is not None
    for i in range(80):  # 40 a second x 0.3 s = 12
        h.served.add(b.now - 20 * i)
    assert round(concurrency_limit(b.c.state, h), 9) == 12
    for _ in range(2000):
        h.served.add(b.now)
    assert concurrency_limit(b.c.state, h) == 32.0
    b.c.state.now = b.now + 3 * SECOND
    assert concurrency_limit(b.c.state, h) == 4.0


def test_quick_errors_do_not_swell_depth() -> None:
    b = DecisionBench(make_settings(max_attempts=1), [up_endpoint("n0", 0)])
    for i in range(200):
        b.ask(f"e{i}")
        b.end(f"e{i}", api.Outcome.ERROR, took=MS)
    h = b.c.state.cells[0].health
    assert h is not None and concurrency_limit(b.c.state, h) == 4.0


def test_slow_answers_narrow_the_window_below_the_floor() -> None:
    b = filled()
    for name in FOUR:
        b.end(name, took=900 * MS)
    h = b.c.state.cells[0].health
    assert h is not None and concurrency_limit(b.c.state, h) < 4.0


def test_weight_is_left_alone_without_a_figure_and_clamped_with_one() -> None:
    b = filled()
    b.run(4 * SECOND)
    assert b.c.state.volumes["filler"].weight == 4.0
    for _ in range(20):
        b.c.state.volumes["filler"].usage_percent = 1
        run_weight_controller(b.c.state)
    assert b.c.state.volumes["filler"].weight == 16.0
    for _ in range(20):
        b.c.state.volumes["filler"].usage_percent = 10_000
        run_weight_controller(b.c.state)
    assert b.c.state.volumes["filler"].weight == 1.0


def test_a_large_slow_read_does_not_get_small_ones_refused() -> None:
    """Refusal foresees by time per unit: one 6-unit answer of 240 ms says 40 ms for one of 1 unit."""
    b = DecisionBench(make_settings(), [up_endpoint("n0", 0)])
    b.ask("large", units=6)
    b.end("large", took=240 * MS)
    for name in [*FOUR, "small"]:
        b.ask(name, units=1, volume=name)
    assert not b.answers("small")


def test_what_earns_least_is_refused_first_and_early() -> None:
    b = DecisionBench(make_settings(), [up_endpoint("n0", 0)])
    b.ask("first", units=1)
    b.end("first", took=70 * MS)
    for i in range(4):
        b.ask(f"out{i}", units=1, volume=f"o{i}")
    for i in range(40):
        b.ask(f"q{i}", units=2, volume="surge")
    refused = [f"q{i}" for i in range(40) if b.answers(f"q{i}")]
    assert refused and "q0" not in refused and refused[-1] == "q39"
