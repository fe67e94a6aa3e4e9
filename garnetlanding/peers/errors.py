"""The base class of every error of this package."""

from __future__ import annotations


class PeersError(Exception):
    """An error of the link between instances, or of what they exchange over it."""
