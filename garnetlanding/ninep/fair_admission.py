"""Limits how many requests one client may have open at the core at once.

All clients of an instance share one core, so a client that keeps many requests open takes time from all
others. Alone it may use the whole limit; beside other active clients it gets an equal share, and at least
one. Requests beyond the share wait at the client's own connection.
"""

from __future__ import annotations

from collections import OrderedDict


class FairAdmission:
    """Counts the active clients. Times are microseconds and are passed in; no clock is read here."""

    def __init__(self, max_requests: int, active_span_us: int) -> None:
        """`max_requests` is the limit of a client that is alone.

        A client counts as active for `active_span_us` after its last request.
        """
        self._max_requests = max_requests
        self._active_span_us = active_span_us
        self._last_request_at: OrderedDict[int, int] = OrderedDict()  # by client; the latest at the end

    def record_request(self, client: int, now: int) -> None:
        """Note that the client has sent a request."""
        self._last_request_at[client] = now
        self._last_request_at.move_to_end(client)

    def forget(self, client: int) -> None:
        """Drop a client that has disconnected."""
        self._last_request_at.pop(client, None)

    def limit_for(self, client: int, now: int) -> int:
        """Return how many requests the client may have open at the core, at least one.

        Takes no more steps than the limit, however many clients are active.
        """
        active = 1
        for other, requested_at in reversed(self._last_request_at.items()):
            if requested_at <= now - self._active_span_us or active >= self._max_requests:
                break
            if other != client:
                active += 1
        return max(1, self._max_requests // active)
