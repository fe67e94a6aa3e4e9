"""The limits that the tests of leases share."""

from __future__ import annotations

from garnetlanding.peers.limits import PeerLimits

LIMITS = PeerLimits()
