"""The collaborators through which the administration service observes and controls its own process."""

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
    """The parts of one process that operators' calls act on."""

    scheduler: Scheduler
    engine: RequestEngine
    clients: Listener
    limits: Limits
    endpoints_known: Callable[[], bool]  # whether the endpoint list is recent enough to route by
    refresh_quota: Callable[[], None] = _keep_quota  # adapts to the other process of an upgrade
