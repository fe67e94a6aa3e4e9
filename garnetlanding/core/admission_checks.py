"""The instance's own admission checks: whether a request is valid, and whether the instance has capacity.

Both checks precede the `Arrival` event; the decision module accounts for the backends' capacity.
"""

from __future__ import annotations

from garnetlanding.core.ports import InvalidRequestError, RequestDefect, RequestSpec
from garnetlanding.decision.interface import Settings
from garnetlanding.limits import Limits


class Capacity:
    """Counts open requests and the bytes that they hold against the instance's own limits.

    `quota` is the fraction of the limits that this process may use, in (0, 1]; it is below 1 while another
    process of the same instance may use the rest.
    """

    __slots__ = ("_limits", "held_bytes", "open_requests", "quota")

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self.quota = 1.0
        self.open_requests = 0  # accepted, and the response is not complete yet
        self.held_bytes = 0  # by requests that have no final answer yet

    @property
    def request_bytes(self) -> int:
        """The memory that one open request needs, without its value."""
        return self._limits.request_bytes

    @property
    def used(self) -> float:
        """The fraction in use of the limit that is closer to being exhausted."""
        return max(self.open_requests / self._limits.open_requests, self.held_bytes / self._limits.open_bytes)

    @property
    def is_exceeded(self) -> bool:
        """Whether this process uses more than its quota."""
        return self.used > self.quota


def validate(spec: RequestSpec, settings: Settings) -> None:
    """Raise InvalidRequestError if the request contradicts the settings in force.

    The decision module relies on this check: an invalid request would corrupt its state for other requests.
    """
    if spec.request_class not in settings.classes:
        raise InvalidRequestError(RequestDefect.UNKNOWN_CLASS)
    if spec.plan not in settings.plans:
        raise InvalidRequestError(RequestDefect.UNKNOWN_PLAN)
    if settings.cells and spec.cell is not None and spec.cell >= settings.cells:
        raise InvalidRequestError(RequestDefect.UNKNOWN_CELL)
    if spec.units > settings.max_units:
        raise InvalidRequestError(RequestDefect.TOO_MANY_UNITS)
    if spec.serving_instances > settings.instances:
        raise InvalidRequestError(RequestDefect.TOO_MANY_INSTANCES)
