"""The peer limits of the lease tests."""

from __future__ import annotations

from garnetlanding.peers.limits import PeerLimits

LIMITS = PeerLimits()
