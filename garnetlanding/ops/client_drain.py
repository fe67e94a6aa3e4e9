"""An operator's drain: moving clients away from an instance that keeps running."""

from __future__ import annotations

from garnetlanding.runtime.listener import Listener
from garnetlanding.runtime.scheduler import Scheduler


class ClientDrain:
    """Goes on serving clients for `serve_us` after a drain begins, then closes their connections.

    Idle connections are closed first, the others as they become idle (`Listener.close_idle`). During
    `serve_us`, clients that check an instance's health before they send find another instance. This is not
    the draining phase of a graceful shutdown (`daemon/shutdown.py`).
    """

    def __init__(self, scheduler: Scheduler, clients: Listener, serve_us: int) -> None:
        self._scheduler = scheduler
        self._clients = clients
        self._serve_us = serve_us
        self._started_at: int | None = None

    def set_draining(self, *, draining: bool) -> None:
        """Begin a drain, or end it. Has no effect where that is already the state."""
        if draining and self._started_at is None:
            self._started_at = self._scheduler.now
        elif not draining and self._started_at is not None:
            self._started_at = None
            self._clients.close_when_idle = False

    def close_idle_when_due(self) -> None:
        """Close idle connections if a drain began at least `serve_us` ago."""
        if self._started_at is not None and self._scheduler.now >= self._started_at + self._serve_us:
            self._clients.close_idle()
