"""Limits how many requests each client may have open at the core.

All clients of an instance share one core, so a client with many open requests delays all others. A single
active client may use the whole limit; several active clients get equal shares of at least one request.
Requests beyond the share are queued at the client's own connection.
"""

from __future__ import annotations

from collections import OrderedDict


class FairAdmission:
    """Divides the limit among active clients. Times are in microseconds and are passed in by the caller."""

    def __init__(self, max_requests: int, active_window_us: int) -> None:
        """`max_requests` is the limit of a client if no other is active.

        A client counts as active for `active_window_us` after its last request.
        """
        self._max_requests = max_requests
        self._active_window_us = active_window_us
        self._last_request_at: OrderedDict[int, int] = OrderedDict()  # by client, oldest first

    def record_request(self, client: int, now: int) -> None:
        """Record that the client has sent a request."""
        self._last_request_at[client] = now
        self._last_request_at.move_to_end(client)

    def remove_client(self, client: int) -> None:
        """Remove a client that has disconnected."""
        self._last_request_at.pop(client, None)

    def limit_for(self, client: int, now: int) -> int:
        """Return how many requests the client may have open at the core, at least one.

        The number of steps is bounded by `max_requests`, however many clients are active.
        """
        active = 1
        for other, requested_at in reversed(self._last_request_at.items()):
            if requested_at <= now - self._active_window_us or active >= self._max_requests:
                break
            if other != client:
                active += 1
        return max(1, self._max_requests // active)
