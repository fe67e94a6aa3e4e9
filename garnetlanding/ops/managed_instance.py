"""The objects through which the admin service observes and controls its own process."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from garnetlanding.core.engine import RequestEngine
from garnetlanding.limits import Limits
from garnetlanding.runtime.listener import Listener
from garnetlanding.runtime.scheduler import Scheduler


def _keep_quota() -> None:
    """Leave the quota unchanged: this instance has no second process."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ManagedInstance:
    """The components of one process that operators' calls apply to."""

    scheduler: Scheduler
    engine: RequestEngine
    clients: Listener
    limits: Limits
    endpoints_known: Callable[[], bool]  # whether the endpoint list is recent enough to route by
    refresh_quota: Callable[[], None] = _keep_quota  # adjusts the quota to the other process of an upgrade
