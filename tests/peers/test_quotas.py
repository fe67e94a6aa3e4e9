"""The arithmetic of quotas."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetlanding.peers.quotas import (
    guaranteed_fractions,
    max_min_fair_allocation,
    spare_fraction,
    usable_quota,
)


@given(st.floats(0.1, 100), st.lists(st.floats(0, 100), min_size=1, max_size=6))
def test_max_min_fair_allocations_add_up_to_the_supply_and_exceed_no_demand_while_another_is_unmet(
    supply: float, demands: list[float]
) -> None:
    amounts = max_min_fair_allocation(supply, demands)
    assert sum(amounts) == pytest.approx(supply)
    if sum(demands) <= supply:
        assert all(amount >= demand - 1e-9 for amount, demand in zip(amounts, demands, strict=True))
    else:
        greatest = max(amounts)
        for amount, demand in zip(amounts, demands, strict=True):
            assert amount == pytest.approx(min(demand, greatest))


@pytest.mark.parametrize(
    ("wanted", "requests", "hosts", "expected"),
    [
        pytest.param(0.0, {1: 1.0}, 2, 1.0, id="all to the only requester"),
        pytest.param(0.5, {1: 1.0}, 2, 0.0, id="nothing if the instance needs all"),
        pytest.param(0.9, {1: 0.2}, 2, 0.0, id="nothing to a peer whose even quota suffices"),
        pytest.param(0.0, {1: 1.0, 2: 1.0}, 3, 0.5, id="half each for equal shortfalls"),
        pytest.param(0.0, {2: 1.0}, 2, 0.0, id="nothing to a peer without a request"),
    ],
)
def test_spare_fraction_is_divided_in_proportion_to_the_shortfalls_of_peers(
    wanted: float, requests: dict[int, float], hosts: int, expected: float
) -> None:
    assert spare_fraction(wanted, requests, hosts, peer=1) == pytest.approx(expected)


@pytest.mark.parametrize(
    ("known_hosts", "other_peers", "hosts", "expected"),
    [
        pytest.param([1, 2], [1, 2, 3], 3, [0.5, 0.25], id="only the known hosts if all are known"),
        pytest.param([1], [1, 2, 3], 3, [0.5, 0.25], id="the smaller of two possible hosts"),
        pytest.param([], [1, 2, 3, 4], 3, [0.0, 0.25], id="the smallest if no host is known"),
        pytest.param([1], [], 3, [0.5], id="nothing for a host that may be undiscovered"),
        pytest.param([4], [1, 2], 2, [0.0], id="nothing for a host without a grant"),
    ],
)
def test_unknown_hosts_are_counted_with_the_smallest_fractions_of_the_other_peers(
    known_hosts: list[int], other_peers: list[int], hosts: int, expected: list[float]
) -> None:
    received = {1: 0.5, 2: 0.25, 3: 0.75}
    assert guaranteed_fractions(received, known_hosts, other_peers, hosts) == expected


def test_usable_quota_is_the_rest_of_the_even_quota_and_the_received_grants() -> None:
    assert usable_quota(0.25, [0.5, 0.75], hosts=4) == 0.5
    assert usable_quota(1.5, [], hosts=2) == 0.0, "never negative"
