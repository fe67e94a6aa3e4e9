"""The collaborators through which the administration service observes and controls its own process."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from garnetlanding.core.engine import RequestEngine
from garnetlanding.limits import Limits
from garnetlanding.runtime.listener import Listener
from garnetlanding.runtime.scheduler import Scheduler


def _nothing_to_share() -> None:
    """Leave the quota as it is: no second process of this instance is expected."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ManagedInstance:
    """The parts of one process that operators' calls act on."""

    scheduler: Scheduler
    engine: RequestEngine
    clients: Listener
    limits: Limits
    endpoints_known: Callable[[], bool]  # whether the endpoint list may be relied on
    refresh_quota: Callable[[], None] = _nothing_to_share  # adapts to the other process of an upgrade
