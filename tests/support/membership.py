"""Simulated instances for the tests of membership and of what is divided by it."""

from __future__ import annotations

from garnetlanding.peers.limits import SECOND, PeerLimits
from garnetlanding.peers.membership import Membership
from tests.support.decision_bench import make_settings

LIMITS = PeerLimits()


# Bugs put in on purpose

real_learn, real_look = Membership.merge, Membership.update_joined


COLD = make_settings(
    may_message_peers=True,
    instances=3,
    warmup_units=30.0,
    overload_window_us=2 * SECOND,
    warmup_us=14 * SECOND,
)
