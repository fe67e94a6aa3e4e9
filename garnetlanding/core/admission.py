"""Admission by this instance's own means: what it can never serve, and what exceeds its capacity.

Both are decided before the decision module gets a request's `Arrival`, whose capacity is that of the
backends.
"""

from __future__ import annotations

from garnetlanding.core.ports import InvalidRequestError, RequestSpec
from garnetlanding.decision.interface import Settings
from garnetlanding.limits import Limits


class Capacity:
    """How many requests are open and how many bytes they hold, against the instance's own limits.

    `share` is the part of the limits that this process may use, in (0, 1]; below 1 while another process of
    the same instance has the rest.
    """

    __slots__ = ("_limits", "share", "open_requests", "held_bytes")

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self.share = 1.0
        self.open_requests = 0  # accepted, and not yet answered to the last byte
        self.held_bytes = 0  # of requests without a final answer

    @property
    def used(self) -> float:
        """The part of the instance's limits in use, by the scarcer of the two."""
        return max(self.open_requests / self._limits.open_items, self.held_bytes / self._limits.open_bytes)

    @property
    def is_exceeded(self) -> bool:
        """Whether more is in use than this process's share."""
        return self.used > self.share


def validate(spec: RequestSpec, settings: Settings) -> None:
    """Raise InvalidRequestError for what the settings in force have no place for.

    Such a request would corrupt what the decision module keeps for others. The texts reach clients.
    """
    if spec.cls not in settings.classes:
        raise InvalidRequestError("unknown class")
    if spec.plan not in settings.plans:
        raise InvalidRequestError("unknown plan")
    if settings.cells and spec.cell >= settings.cells:
        raise InvalidRequestError("unknown shard")
    if spec.units > settings.max_units:
        raise InvalidRequestError("more units than the largest request has")
    if spec.volume_hosts > settings.instances:
        raise InvalidRequestError("more hosts than there are")
