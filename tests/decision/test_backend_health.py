"""Node health: silence, resets, cold nodes, new objects."""

from __future__ import annotations

import pytest

from garnetlanding.decision import interface as api
from tests.support.clock import MS, SECOND
from tests.support.decision_bench import READ, DecisionBench, make_settings, up_endpoint


def busy(hosts: int, latency: int, answers: int = 12) -> DecisionBench:
    """A host whose node has answered so often, each time after `latency`."""
    b = DecisionBench(make_settings(instances=hosts), [up_endpoint("n0", 0)])
    for i in range(answers):
        b.ask(f"b{i}", volume=f"b{i}", cls="write", units=1)
        b.run(latency)
        b.end(f"b{i}", took=latency)
    return b


def test_scattered_resets_do_not_make_a_working_node_cold() -> None:
    b = DecisionBench(make_settings(), [up_endpoint("n0", 0)])
    for i in range(20):
        b.ask(f"r{i}")
        b.run(10 * MS)
        b.end(f"r{i}", api.Outcome.RESET if i % 3 else api.Outcome.SERVED, over=i % 3 == 0)
    h = b.c.state.cells[0].health
    assert h is not None and h.warming_since < b.now - b.c.settings.warmup_us


def test_a_node_whose_attempts_time_out_gets_no_cheap_work_until_that_fades() -> None:
    b = busy(150, 20 * MS)
    b.ask("h", cls="write")
    b.run(1400 * MS)
    for attempt in range(len(b.sends("h"))):
        b.end("h", api.Outcome.TIMEOUT, attempt, took=1400 * MS)
    b.ask("w", volume="w", plan="tin", units=6)
    assert not b.sends("w")
    b.run(5 * SECOND)
    b.ask("x", volume="w", plan="tin", units=6)
    assert len(b.sends("x")) == 1


def test_a_lone_unanswered_request_does_not_close_a_node() -> None:
    b = DecisionBench(make_settings(), [up_endpoint("n0", 0)])
    b.ask("a")
    b.run(240 * MS)
    b.ask("b")
    assert len(b.sends("b")) == 1


def test_what_no_node_has_seen_is_given_up_before_half_its_time() -> None:
    """A refusal after more than half of its time costs a client that nobody has served 0.3 of the worth."""
    b = DecisionBench(make_settings(parallel_attempts=False), [up_endpoint("n0", 0)])
    b.ask("held", cell=1)  # no node has this cell
    b.ask("unmet", cell=0)
    b.end("unmet", api.Outcome.UNREACHABLE)
    b.ask("seen", cell=0)
    b.end("seen", api.Outcome.RESET)
    b.ask("out", cell=0)
    b.run(0)
    before = b.now
    while not b.answers("held"):
        b.run(10 * MS)
    assert b.now - before <= READ.deadline_us // 2
    assert not b.answers("out") and not b.answers("seen")


def test_a_node_that_refused_connections_while_silent_comes_back_cold() -> None:
    b = DecisionBench(make_settings(), [up_endpoint("n0", 0)])
    h = b.c.state.cells[0].health
    assert h is not None
    for name in ("a", "b", "c"):
        assert h.warming_since < 0, "some connects break by chance"
        b.ask(name, volume=name, plan="tin", hosts=3)
        b.run(250 * MS)
        b.end(name, api.Outcome.UNREACHABLE)
    assert h.warming_since == b.now
    for i in range(40):
        b.ask(f"c{i}", volume="c", units=1, plan="tin", hosts=3)
        b.end(f"c{i}")
    assert sum(1 for s in b.sends() if s.request.startswith("c")) <= 4


def test_among_150_hosts_cheap_requests_wait_where_a_node_is_slow() -> None:
    """Every host's least of one out would fill the node: beyond the reserve they yield to the dear."""
    b = busy(150, 220 * MS)
    for i in range(30):  # far beyond the volume's reserve, at the lowest price
        b.ask(f"cheap{i}", volume="c", plan="tin", units=6)
    cheap = len([s for s in b.sends() if s.request.startswith("cheap")])
    b.ask("dear", volume="d", units=1)
    assert len(b.sends("dear")) == 1
    assert cheap <= 1


def test_among_three_hosts_the_depth_alone_decides_at_that_pace() -> None:
    b = busy(3, 220 * MS)
    b.ask("cheap", volume="c", plan="tin", units=1)
    assert len(b.sends("cheap")) == 1


def test_an_overdue_answer_gets_one_second_copy_and_wrong_guesses_ration_them() -> None:
    b = DecisionBench(make_settings(), [up_endpoint(f"n{c}", c) for c in range(9)])
    for i in range(40):
        b.ask(f"b{i}", cell=0, units=1)
        b.run(20 * MS)
        b.end(f"b{i}", took=20 * MS)
    for i in range(8):
        b.ask(f"lost{i}", cell=i, units=1)
        b.run(280 * MS)
    copied = [i for i in range(8) if len(b.sends(f"lost{i}")) == 2]
    assert 1 <= len(copied) <= 4
    assert all(len(b.sends(f"lost{i}")) <= 2 for i in range(8))


@pytest.mark.parametrize("lost", [True, False])
def test_copies_are_earned_where_answers_get_lost_and_not_where_they_are_merely_late(lost: bool) -> None:
    """A node that serves in turn answers the first attempt first: a copy there is work for nothing."""
    b = DecisionBench(make_settings(), [up_endpoint("n0", 0)])
    for i in range(1000):
        b.ask(f"r{i}", units=1)
        b.run(280 * MS if i % 20 == 0 else 20 * MS)
        if lost and len(b.sends(f"r{i}")) == 2:
            b.end(f"r{i}", attempt=1, took=20 * MS)
        else:
            b.end(f"r{i}", took=280 * MS if i % 20 == 0 else 20 * MS)
    copied = sum(len(b.sends(f"r{i}")) == 2 for i in range(1000))
    assert copied > 5 if lost else copied <= 3, "three are there at first"


def test_no_second_copy_where_the_settings_forbid_two_attempts_at_once() -> None:
    b = DecisionBench(make_settings(parallel_attempts=False), [up_endpoint("n0", 0)])
    b.ask("a")
    b.run(SECOND)
    assert len(b.sends("a")) == 1


def test_a_full_queue_reads_as_a_long_wait() -> None:
    b = busy(150, 20 * MS)
    for i in range(4):
        b.ask(f"full{i}", volume=f"f{i}")
        b.end(f"full{i}", api.Outcome.FULL)
    b.ask("cheap", volume="c", plan="tin", units=6)
    assert not b.sends("cheap")


def test_one_request_turned_away_again_and_again_says_nothing_of_the_node() -> None:
    """Bricks turn some reads away for themselves, at once, while they serve all others quickly."""
    b = busy(150, 20 * MS)
    for i in range(4):
        b.ask(f"full{i}", volume=f"f{i}")
        for attempt in range(3):
            b.end(f"full{i}", api.Outcome.FULL, attempt=attempt)
            b.run(100 * MS)
        b.ask(f"quick{i}", volume=f"q{i}", plan="tin", units=4)
        b.run(20 * MS)
        assert b.sends(f"quick{i}")
        b.end(f"quick{i}", took=20 * MS)


def test_all_hosts_together_keep_the_cold_budget() -> None:
    """Each host takes its part of what a cold node always bears, in every window."""
    b = DecisionBench(make_settings(), [])
    b.tell(api.EndpointListUpdate((up_endpoint("n0", 0, started=b.now),), whole=True))
    for i in range(60):
        b.ask(f"c{i}", volume=f"v{i % 3}", units=1, plan="tin", hosts=3)
        if b.sends(f"c{i}"):
            b.end(f"c{i}")
        b.run(20 * MS)
    assert 1 <= len(b.sends()) <= 5  # 9 units x warmth, over three hosts


def test_a_new_object_avoids_a_silent_node() -> None:
    b = DecisionBench(make_settings(), [up_endpoint("n0", 0), up_endpoint("n1", 1)])
    for i in range(4):
        b.ask(f"h{i}", cell=0, cls="write")
    b.run(700 * MS)
    for i in range(4):
        b.ask(f"new{i}", cell=-1, cls="write")
    assert {s.node for s in b.sends() if s.request.startswith("new")} == {"n1"}


def test_a_new_object_goes_to_a_node_that_was_slow_once_or_never_tried() -> None:
    """One slow answer long ago kept a node out for good, and an untried one counted as slow as the slowest:
    each head put all its new objects on the few that it had found quick."""
    b = DecisionBench(make_settings(), [up_endpoint("n0", 0), up_endpoint("n1", 1), up_endpoint("n2", 2)])
    b.ask("slow", cell=0)
    b.end("slow", took=800 * MS)
    for i in range(4):
        b.ask(f"fair{i}", cell=1, volume="w")
        b.end(f"fair{i}", took=250 * MS)
    b.run(20 * SECOND)
    b.ask("fair", cell=1, volume="w")
    b.end("fair", took=280 * MS)
    for i in range(9):
        b.ask(f"new{i}", cell=-1, cls="write", volume=f"x{i}")
    assert {s.node for s in b.sends() if s.request.startswith("new")} == {"n0", "n1", "n2"}


def test_what_a_cold_nodes_budget_cannot_cover_in_time_is_refused_at_once_cheapest_first() -> None:
    b = DecisionBench(make_settings(warmup_units=3.0), [])
    b.tell(api.EndpointListUpdate((up_endpoint("n0", 0, started=b.now),), whole=True))
    for i in range(8):
        b.ask(f"cheap{i}", volume="c", units=1, plan="tin", hosts=3)
    b.ask("dear", volume="d", units=1, hosts=3)
    refused = [a.request for _, a in b.log if isinstance(a, api.Reject)]
    assert refused and all(name.startswith("cheap") for name in refused)
    b.run(300 * MS)
    assert b.sends("dear") and not b.answers("dear")


def test_held_work_waits_for_the_node_that_replaces_a_draining_one() -> None:
    b = DecisionBench(make_settings(), [up_endpoint("n0", 0)])
    b.tell(api.EndpointListUpdate((api.Endpoint("n0", 0, "z", api.EndpointState.DRAINING),)))
    b.ask("a", units=1)
    assert not b.sends()
    b.tell(api.EndpointListUpdate((up_endpoint("n9", 0),)))
    assert [s.node for s in b.sends("a")] == ["n9"]


def test_the_time_of_a_large_request_does_not_spoil_the_pace() -> None:
    b = busy(3, 30 * MS)
    h = b.c.state.cells[0].health
    assert h is not None
    before = h.latency_us
    b.ask("large", units=6)
    b.run(170 * MS)
    b.end("large", took=170 * MS)
    assert h.latency_us <= before * 1.01 and h.depth_factor == 1.0


def test_list_calls_after_many_errors_stay_close_enough_to_hear_of_a_drain_in_time() -> None:
    """What discovery has to tell counts as told after 6 s, also to a host that waits to ask again."""
    b = DecisionBench(make_settings(poll_endpoints=True), [up_endpoint("n0", 0)])
    for _ in range(30):
        failed_at = b.now
        b.tell(api.EndpointListUpdate(failed=True))
        b.run(6 * SECOND)
        assert [t for t, a in b.log if isinstance(a, api.Subscribe) and t >= failed_at]
