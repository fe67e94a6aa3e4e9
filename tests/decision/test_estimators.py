"""Sliding-window sums, moving averages and the statistics of all backends."""

from __future__ import annotations

import pytest

from garnetlanding.decision.estimators import EwmaRate, ResponseStatistics, SlidingWindowSum
from tests.support.clock import MS, SECOND, T0


def test_window_sum_discards_amounts_at_and_before_its_start() -> None:
    window = SlidingWindowSum(2 * SECOND)
    window.add(T0, 3.0)
    window.add(T0 + SECOND, 4.0)
    assert window.total(T0 - 1) == 7.0
    assert window.total(T0) == 4.0
    assert window.total(T0 + SECOND) == 0.0
    assert window.last_at == T0 + SECOND


def test_window_sum_without_amounts_was_last_added_to_long_ago() -> None:
    assert SlidingWindowSum(SECOND).last_at < -1_000_000 * SECOND


def test_rate_approaches_a_steady_amount_per_second() -> None:
    rate = EwmaRate()
    for now in range(T0, T0 + 100 * SECOND, 100 * MS):
        rate.add(now, 0.5, 10 * SECOND)
    assert rate.rate == pytest.approx(5.0, rel=0.02)


def test_lost_responses_make_a_backend_fault_less_likely() -> None:
    statistics = ResponseStatistics(latency_us=300_000.0)
    assert statistics.fault_probability(in_flight=1) == 1.0
    for _ in range(5):
        statistics.record_loss()
    assert statistics.fault_probability(in_flight=1) < 0.05
    assert statistics.fault_probability(in_flight=8) > statistics.fault_probability(in_flight=1)


def test_hedging_delay_converges_to_the_95th_percentile_of_the_latency() -> None:
    statistics = ResponseStatistics(latency_us=300_000.0)
    for number in range(20_000):
        statistics.record_response(1_000.0 * (1 + number * 7 % 100), is_hedge_win=False)
    assert 85_000 < statistics.hedging_delay_us < 105_000
    assert statistics.loss_rate == 0.0
