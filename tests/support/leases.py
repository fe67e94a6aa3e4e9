"""Strategies for quota lease messages."""

from __future__ import annotations

from garnetlanding.peers.limits import PeerLimits

LIMITS = PeerLimits()
