"""The limit on backend connections."""

from __future__ import annotations

import pytest

from garnetlanding.runtime.connection_capacity import UpstreamCapacity


class FakeCapacityOwner:
    """Grants or denies requests for capacity and counts them."""

    def __init__(self, *, grants: bool) -> None:
        self.grants = grants
        self.requests = 0

    @property
    def has_free_capacity(self) -> bool:
        return self.grants

    def reserve(self) -> bool:
        self.requests += 1
        return self.grants


def capacity_with_owner(*, grants: bool) -> tuple[UpstreamCapacity, FakeCapacityOwner]:
    """Return the capacity for four connections, of which two are reserved, and its owner."""
    capacity = UpstreamCapacity(4, reserved=2)
    owner = FakeCapacityOwner(grants=grants)
    capacity.owner = owner
    return capacity, owner


@pytest.mark.parametrize("grants", [True, False])
def test_only_connections_beyond_the_reserved_ones_need_the_clients_consent(grants: bool) -> None:
    capacity, owner = capacity_with_owner(grants=grants)
    capacity.open_count = 1
    assert capacity.reserve()
    assert (capacity.granted, owner.requests) == (0, 0)
    capacity.open_count = 2
    assert capacity.reserve() is grants
    assert (capacity.granted, owner.requests) == (0, 1)
    capacity.open_count = 3
    assert capacity.granted == 1


@pytest.mark.parametrize("grants", [True, False])
def test_whether_there_is_room_is_told_without_a_request(grants: bool) -> None:
    capacity, owner = capacity_with_owner(grants=grants)
    capacity.open_count = 1
    assert capacity.has_free_capacity
    capacity.open_count = 2
    assert capacity.has_free_capacity is grants
    capacity.open_count = 4
    assert not capacity.has_free_capacity
    assert owner.requests == 0


def test_at_the_limit_no_connection_is_available_and_clients_are_not_asked() -> None:
    capacity, owner = capacity_with_owner(grants=True)
    capacity.open_count = 4
    assert not capacity.reserve()
    assert owner.requests == 0
    assert capacity.utilization == 1.0


def test_the_quota_of_an_upgrade_reduces_the_limit_and_the_reserved_connections() -> None:
    capacity = UpstreamCapacity(8, reserved=4)
    capacity.open_count = 4
    assert capacity.reserve(), "without an owner no consent is needed"
    assert capacity.granted == 0
    capacity.quota = 0.5
    assert not capacity.reserve()
    assert capacity.reserved == 2
    assert capacity.granted == 2
    assert capacity.utilization == 0.5, "a fraction of the limit of both processes"
