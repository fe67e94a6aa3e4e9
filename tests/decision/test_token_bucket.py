"""Token buckets and the budgets of retries and hedged requests."""

from __future__ import annotations

import pytest

from garnetlanding.decision.token_bucket import HedgeBudget, RetryBudget, TokenBucket
from tests.support.clock import MS, SECOND, T0
from tests.support.decision_bench import make_settings


def test_bucket_fills_by_its_rate_up_to_its_capacity() -> None:
    bucket = TokenBucket(rate=4.0, capacity=10.0, now=T0, level=1.0)
    assert bucket.refill(T0 + SECOND) == 5.0
    assert bucket.refill(T0 + 10 * SECOND) == 10.0


def test_reconfigured_bucket_loses_tokens_above_its_new_capacity() -> None:
    bucket = TokenBucket(rate=4.0, capacity=10.0, now=T0, level=10.0)
    bucket.reconfigure(T0, rate=1.0, capacity=3.0)
    assert bucket.level == 3.0
    bucket.level = 0.0
    assert bucket.refill(T0 + 2 * SECOND) == 2.0


def test_retry_budget_allows_a_fixed_number_and_a_fraction_of_the_arrivals() -> None:
    settings = make_settings(
        retry_budget_floor=1.0, retry_budget_ratio=0.5, retry_budget_window_us=5 * SECOND
    )
    budget = RetryBudget(settings.retry_budget_window_us)
    for _ in range(2):
        budget.record_arrival(T0)
    for _ in range(2):
        assert budget.allows_retry(T0, settings, quota=1.0)
        budget.record_retry(T0)
    assert not budget.allows_retry(T0, settings, quota=1.0)
    assert budget.allows_retry(T0, settings, quota=2.0), "a larger quota of the fixed number"
    assert budget.allows_retry(T0 + 6 * SECOND, settings, quota=1.0), "the window has moved on"


def test_retry_budget_without_a_window_allows_every_retry() -> None:
    settings = make_settings(retry_budget_window_us=0)
    budget = RetryBudget(settings.retry_budget_window_us)
    for _ in range(100):
        budget.record_retry(T0)
    assert budget.allows_retry(T0, settings, quota=1.0)


def test_hedge_budget_is_not_refilled_without_lost_responses_except_by_a_win() -> None:
    budget = HedgeBudget()
    while budget.has_token():
        budget.spend()
    for _ in range(1000):
        budget.record_arrival(loss_rate=0.0)
    assert not budget.has_token()
    budget.record_win()
    assert budget.has_token()


@pytest.mark.parametrize("age_us", [0, 10 * MS, 5 * SECOND], ids=["at once", "soon", "later"])
def test_level_of_a_bucket_does_not_depend_on_how_often_it_is_refilled(age_us: int) -> None:
    refilled_often = TokenBucket(rate=8.0, capacity=36.0, now=T0, level=0.0)
    refilled_once = TokenBucket(rate=8.0, capacity=36.0, now=T0, level=0.0)
    for now in range(T0, T0 + age_us, MS):
        refilled_often.refill(now)
    assert refilled_often.refill(T0 + age_us) == pytest.approx(refilled_once.refill(T0 + age_us))
