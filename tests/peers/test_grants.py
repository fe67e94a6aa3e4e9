"""Tables of the grants that an instance has made and received."""

from __future__ import annotations

from garnetlanding.peers.grants import Grant, GrantLedger, ReceivedGrants

VOLUME = 7


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


def test_received_grant_replaces_the_previous_one_and_counts_until_it_expires() -> None:
    received = ReceivedGrants()
    received.add(VOLUME, 1, Grant(0.5, expires_at=10))
    received.add(VOLUME, 1, Grant(0.25, expires_at=20))
    received.add(VOLUME, 2, Grant(0.125, expires_at=10))
    assert received.fractions(VOLUME, now=9) == {1: 0.25, 2: 0.125}
    assert received.fractions(VOLUME, now=10) == {1: 0.25}
    received.forget_peers([1])
    assert received.fractions(VOLUME, now=9) == {2: 0.125}
    assert received.drop_expired(now=10) == []
    assert not received.by_volume


def test_query_does_not_change_the_ledger() -> None:
    ledger = GrantLedger()
    ledger.add(VOLUME, 1, Grant(0.5, expires_at=10))
    assert ledger.usable_fraction(VOLUME, 1, now=10) == 0.0
    assert ledger.usable_fraction(VOLUME, 1, now=9) == 0.5
