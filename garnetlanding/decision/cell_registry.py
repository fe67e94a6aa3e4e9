"""Registry of the cells: their fair queues and the endpoint list."""

from __future__ import annotations

from collections.abc import Iterator

from garnetlanding.decision import interface as api
from garnetlanding.decision.fair_queue import CellQueue


class CellRegistry:
    """Owns the queue of each cell, the endpoint list, and the set of queues with a pending dispatch pass.

    `queues` holds the queues by cell, `endpoints` the endpoint list by backend, and `disabled` the cells
    whose backend an operator has disabled.
    """

    __slots__ = ("_pending", "disabled", "endpoints", "queues")

    def __init__(self) -> None:
        self.queues: dict[int, CellQueue] = {}
        self.endpoints: dict[str, api.Endpoint] = {}
        self.disabled: set[int] = set()
        self._pending: dict[int, CellQueue] = {}  # by cell; dispatched last in, first out

    def queue(self, cell: int) -> CellQueue:
        """Return the queue of a cell; create it on first use."""
        queue = self.queues.get(cell)
        if queue is None:
            queue = self.queues[cell] = CellQueue(cell)
        return queue

    def mark_pending(self, queue: CellQueue) -> None:
        """Request a dispatch pass over a queue in this call."""
        self._pending[queue.cell] = queue

    def take_pending(self) -> Iterator[CellQueue]:
        """Yield the pending queues until none is left, including those marked during the iteration."""
        while self._pending:
            yield self._pending.popitem()[1]

    def replace_endpoints(self, endpoints: dict[str, api.Endpoint]) -> None:
        """Replace the endpoint list."""
        self.endpoints = endpoints
        self.disabled = {endpoint.cell for endpoint in endpoints.values() if endpoint.admin_disabled}

    def apply_suspicions(self, event: api.PeerSuspicions) -> None:
        """Replace the suspicions against backends that peers have reported."""
        for queue in self.queues.values():
            if queue.health:
                queue.health.suspected_until = event.suspected_until.get(queue.health.endpoint.backend, 0)
