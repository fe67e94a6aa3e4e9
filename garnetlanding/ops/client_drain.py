"""An operator's drain: moving clients away from an instance that goes on running."""

from __future__ import annotations

from garnetlanding.runtime.listener import Listener
from garnetlanding.runtime.scheduler import Scheduler


class ClientDrain:
    """Serves clients on their connections for a while after a drain begins, then closes the connections.

    Idle ones are closed at once then, the others as they become idle (`Listener.close_idle`). Clients that
    probe before they send find another instance meanwhile; `serve_us` is that time. This is not the draining
    phase of a graceful shutdown (`daemon/shutdown.py`).
    """

    def __init__(self, scheduler: Scheduler, clients: Listener, serve_us: int) -> None:
        self._scheduler = scheduler
        self._clients = clients
        self._serve_us = serve_us
        self._started_at: int | None = None

    def set_draining(self, draining: bool) -> None:
        """Begin a drain, or end it; the same again changes nothing."""
        if draining and self._started_at is None:
            self._started_at = self._scheduler.now
        elif not draining and self._started_at is not None:
            self._started_at = None
            self._clients.ending = False

    def close_idle_when_due(self) -> None:
        """Close the connections that are idle, once a drain has lasted long enough."""
        if self._started_at is not None and self._scheduler.now >= self._started_at + self._serve_us:
            self._clients.close_idle()
