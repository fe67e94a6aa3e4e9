"""Accounts of memory: who is evicted, whose charge is refused, and what counts."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from garnetlanding.runtime.memory import MemoryAccount, MemoryBudget


class Holder:
    """A holder that releases everything when it is evicted."""

    def __init__(self, budget: MemoryBudget, *, stalled: bool = False) -> None:
        self.evicted = False
        self.account: MemoryAccount = budget.open_account(self.on_evicted, lambda: stalled)

    def on_evicted(self) -> None:
        self.evicted = True
        self.account.release(self.account.held_bytes)


def test_the_largest_holder_is_evicted_for_a_smaller_one() -> None:
    budget = MemoryBudget(100)
    small, medium, large = Holder(budget), Holder(budget), Holder(budget)
    for holder, size in ((small, 10), (medium, 30), (large, 60)):
        assert holder.account.charge(size)
    assert small.account.charge(15)
    assert [holder.evicted for holder in (small, medium, large)] == [False, False, True]
    assert budget.used_bytes == 55


def test_of_holders_of_about_the_same_size_one_without_progress_is_evicted_first() -> None:
    """Regression: a client that read a long value was evicted before one that had stopped reading."""
    budget = MemoryBudget(100)
    small, progressing = Holder(budget), Holder(budget)
    stalled, little = Holder(budget, stalled=True), Holder(budget, stalled=True)
    for holder, size in ((small, 5), (progressing, 50), (stalled, 30), (little, 15)):
        assert holder.account.charge(size)
    assert small.account.charge(5)
    assert (progressing.evicted, stalled.evicted, little.evicted) == (False, True, False)
    assert small.account.charge(30)
    assert progressing.evicted
    assert not little.evicted, "it holds less than half as much"


def test_a_charge_that_would_make_its_holder_the_largest_is_refused() -> None:
    budget = MemoryBudget(100)
    first, second = Holder(budget), Holder(budget)
    assert first.account.charge(50)
    assert second.account.charge(40)
    assert not second.account.charge(11)
    assert (first.evicted, second.evicted) == (False, False)
    assert budget.used_bytes == 90


def test_the_process_itself_may_evict_any_holder_and_is_never_evicted() -> None:
    budget = MemoryBudget(100)
    holder = Holder(budget)
    assert budget.process_account.charge(90)
    assert holder.account.charge(10)
    assert budget.process_account.charge(5)
    assert holder.evicted
    assert not holder.account.charge(6)


def test_what_a_closed_account_still_holds_counts_until_it_is_released() -> None:
    budget = MemoryBudget(100)
    closed, other = Holder(budget), Holder(budget)
    assert closed.account.charge(80)
    closed.account.close()
    assert not other.account.charge(30)
    assert not closed.evicted
    closed.account.release(80)
    assert other.account.charge(30)


def test_quota_applies_to_the_shared_bytes_only() -> None:
    budget = MemoryBudget(100, unshared_bytes=20)
    budget.quota = 0.5
    holder = Holder(budget)
    assert holder.account.charge(60)
    assert not holder.account.charge(1)
    assert budget.utilization == 0.5


@given(st.lists(st.tuples(st.integers(0, 4), st.integers(1, 60), st.booleans()), max_size=60))
def test_never_more_is_held_than_the_limit_and_holders_below_the_average_are_spared(
    steps: list[tuple[int, int, bool]],
) -> None:
    budget = MemoryBudget(100)
    holders = [Holder(budget) for _ in range(5)]
    for index, size, releases in steps:
        account = holders[index].account
        held_before = [holder.account.held_bytes for holder in holders]
        if releases:
            account.release(min(size, account.held_bytes))
        else:
            account.charge(size)
        assert budget.used_bytes == sum(holder.account.held_bytes for holder in holders) <= 100
        for holder, before in zip(holders, held_before, strict=True):
            if holder.account is not account and holder.account.held_bytes < before:
                assert before > account.held_bytes - size
