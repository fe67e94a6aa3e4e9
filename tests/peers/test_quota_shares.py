"""The arithmetic of quota shares, and the tables of grants."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetlanding.peers.quota_shares import (
    Grant,
    GrantLedger,
    ReceivedGrants,
    max_min_fair_shares,
    spare_share,
)

VOLUME = 7


@given(st.floats(0.1, 100), st.lists(st.floats(0, 100), min_size=1, max_size=6))
def test_max_min_fair_shares_add_up_to_the_supply_and_exceed_no_demand_while_another_is_unmet(
    supply: float, demands: list[float]
) -> None:
    shares = max_min_fair_shares(supply, demands)
    assert sum(shares) == pytest.approx(supply)
    if sum(demands) <= supply:
        assert all(s >= d - 1e-9 for s, d in zip(shares, demands, strict=True))
    else:
        assert all(s == pytest.approx(min(d, max(shares))) for s, d in zip(shares, demands, strict=True))


@pytest.mark.parametrize(
    ("wanted", "requests", "hosts", "expected"),
    [
        pytest.param(0.0, {1: 1.0}, 2, 1.0, id="all of it to the only peer that requests"),
        pytest.param(0.5, {1: 1.0}, 2, 0.0, id="nothing while all of it is needed here"),
        pytest.param(0.9, {1: 0.2}, 2, 0.0, id="nothing to a peer whose even share is enough"),
        pytest.param(0.0, {1: 1.0, 2: 1.0}, 3, 0.5, id="half each to two that lack as much"),
        pytest.param(0.0, {2: 1.0}, 2, 0.0, id="nothing to a peer that requests nothing"),
    ],
)
def test_spare_share_is_what_is_not_needed_in_proportion_to_what_peers_lack(
    wanted: float, requests: dict[int, float], hosts: int, expected: float
) -> None:
    assert spare_share(wanted, requests, hosts, peer=1) == pytest.approx(expected)


def test_ledger_counts_the_greatest_grant_of_each_peer_until_it_expires() -> None:
    ledger = GrantLedger()
    ledger.add(VOLUME, 1, Grant(0.5, expires_at=10))
    ledger.add(VOLUME, 1, Grant(0.25, expires_at=20))
    ledger.add(VOLUME, 2, Grant(0.125, expires_at=20))
    assert ledger.total(VOLUME, now=9) == 0.625
    assert ledger.total(VOLUME, now=9, except_peer=2) == 0.5
    assert ledger.total(VOLUME, now=10) == 0.375
    assert ledger.latest(VOLUME, now=9) == [(1, Grant(0.25, 20)), (2, Grant(0.125, 20))]
    assert ledger.drop_expired(now=10) == [20, 20]
    assert ledger.drop_expired(now=20) == []
    assert not ledger.by_volume


def test_received_grant_replaces_the_one_before_and_counts_until_it_expires() -> None:
    received = ReceivedGrants()
    received.add(VOLUME, 1, Grant(0.5, expires_at=10))
    received.add(VOLUME, 1, Grant(0.25, expires_at=20))
    received.add(VOLUME, 2, Grant(0.125, expires_at=10))
    assert received.shares(VOLUME, now=9) == {1: 0.25, 2: 0.125}
    assert received.shares(VOLUME, now=10) == {1: 0.25}
    received.forget_peers([1])
    assert received.shares(VOLUME, now=9) == {2: 0.125}
    assert received.drop_expired(now=10) == []
    assert not received.by_volume
