"""An operator's drain: moving clients away from an instance that keeps running."""

from __future__ import annotations

from garnetlanding.runtime.listener import Listener
from garnetlanding.runtime.scheduler import Scheduler


class ClientDrain:
    """Continues to serve clients for `serve_us` after a drain begins, then closes their connections.

    Idle connections are closed first, the others as they become idle (`Listener.close_idle`). During
    `serve_us`, clients that check an instance's health before they send switch to another instance. This is
    not the draining phase of a graceful shutdown (`daemon/shutdown.py`).
    """

    def __init__(self, scheduler: Scheduler, clients: Listener, serve_us: int) -> None:
        self._scheduler = scheduler
        self._clients = clients
        self._serve_us = serve_us
        self._started_us: int | None = None

    def set_draining(self, *, draining: bool) -> None:
        """Start or end a drain. Has no effect if that is already the state."""
        if draining and self._started_us is None:
            self._started_us = self._scheduler.now
        elif not draining and self._started_us is not None:
            self._started_us = None
            self._clients.close_when_idle = False

    def close_idle_when_due(self) -> None:
        """Close idle connections if a drain began at least `serve_us` ago."""
        if self._started_us is not None and self._scheduler.now >= self._started_us + self._serve_us:
            self._clients.close_idle()
