"""Instances and settings for tests of membership and of shared budgets."""

from __future__ import annotations

from garnetlanding.peers.limits import SECOND, PeerLimits
from garnetlanding.peers.membership import Membership
from tests.support.decision_bench import make_settings

LIMITS = PeerLimits()


def address_of(instance: int) -> str:
    return f"127.0.0.{instance + 1}:7946"


def started_instance(instance: int, incarnation: int = 5, seeds: int = 2) -> Membership:
    """Return the membership of a newly started instance that knows only the addresses of the seeds."""
    addresses = [address_of(seed) for seed in range(seeds)]
    return Membership(LIMITS, instance, incarnation, address_of(instance), addresses, 0)


SHARED_BUDGET_SETTINGS = make_settings(
    may_message_peers=True,
    instances=3,
    warmup_units=30.0,
    overload_window_us=2 * SECOND,
    warmup_us=14 * SECOND,
)
