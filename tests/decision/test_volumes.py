"""Volumes: the reserve, the usage figure, and the expiry of idle volumes."""

from __future__ import annotations

from dataclasses import replace

import pytest

from garnetlanding.decision import interface as api
from tests.support.clock import MS, SECOND
from tests.support.decision_bench import READ, WRITE, DecisionBench, make_settings, up_endpoint


def test_request_that_ends_unsent_returns_its_reserved_units() -> None:
    bench = DecisionBench(make_settings(), [up_endpoint("n0", 0)])
    bench.arrive("queued", cell=7, units=2)  # no backend serves this cell
    reserve = bench.state.volumes.by_name["v"].reserve
    before = reserve.level
    bench.deliver(api.ClientLeft("queued"))
    assert reserve.level == before + 2


def test_request_that_was_sent_spends_its_reserved_units() -> None:
    bench = DecisionBench(make_settings(), [up_endpoint("n0", 0)])
    bench.arrive("sent", units=2)
    reserve = bench.state.volumes.by_name["v"].reserve
    before = reserve.level
    bench.finish_attempt("sent")
    assert reserve.level == before


def test_usage_figure_of_a_result_is_kept_as_the_volumes_percentage() -> None:
    bench = DecisionBench(make_settings(), [up_endpoint("n0", 0)])
    bench.arrive("a")
    bench.finish_attempt("a", usage_percent=25)
    volume = bench.state.volumes.by_name["v"]
    assert volume.usage_percent == 25
    bench.arrive("b")
    bench.finish_attempt("b", usage_percent=None)
    assert volume.usage_percent == 25, "a result without a usage figure changes nothing"
    bench.arrive("c")
    bench.finish_attempt("c", usage_percent=0)
    assert volume.usage_percent == 0


@pytest.mark.parametrize("usage_percent", [25, 100, 400])
def test_weight_follows_the_usage_figure_of_the_results(usage_percent: int) -> None:
    bench = DecisionBench(make_settings(), [up_endpoint("n0", 0)])
    bench.arrive("a")
    bench.finish_attempt("a", usage_percent=usage_percent)
    bench.advance(4 * SECOND)
    assert bench.state.volumes.by_name["v"].weight == 4.0 * (100 / usage_percent) ** 0.5


def test_idle_volume_is_dropped_after_a_minute() -> None:
    bench = DecisionBench(make_settings(), [up_endpoint("n0", 0)])
    bench.arrive("a")
    bench.finish_attempt("a")
    bench.advance(50 * SECOND)
    assert "v" in bench.state.volumes.by_name
    bench.advance(20 * SECOND)
    assert "v" not in bench.state.volumes.by_name
    assert "v" not in bench.state.cells.queues[0].flows


def test_volume_with_a_queued_request_is_not_dropped_however_long_it_waits() -> None:
    long_deadline = replace(READ, deadline_us=600 * SECOND, latency_objective_us=500 * SECOND)
    settings = make_settings(classes={"read": long_deadline, "write": WRITE})
    bench = DecisionBench(settings, [up_endpoint("n0", 0)])
    bench.arrive("long_deadline", cell=7)  # no backend serves this cell yet
    bench.advance(100 * SECOND)
    assert "v" in bench.state.volumes.by_name
    bench.deliver(api.EndpointListUpdate((up_endpoint("n7", 7),)))
    assert [send.backend for send in bench.sends("long_deadline")] == ["n7"]
    bench.advance(20 * MS)
    assert not bench.final_answers("long_deadline")


def test_volumes_beyond_the_limit_are_dropped_the_least_recently_used_first() -> None:
    """Regression: a volume lasted for 60 s after its last request, however many there were in that time."""
    bench = DecisionBench(make_settings(), [])
    bench.state.volumes._max_volumes = 8
    bench.arrive("unfinished", volume="unfinished", timeout_us=30 * SECOND)
    for number in range(40):
        bench.advance(MS)
        bench.arrive(f"r{number}", volume=f"v{number}", timeout_us=1)
        bench.advance(MS)
        bench.arrive(f"u{number}", volume="used", timeout_us=1)
    volumes = bench.state.volumes.by_name
    assert len(volumes) <= 8
    assert {"unfinished", "used", "v39"} <= set(volumes)
