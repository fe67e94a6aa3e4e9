"""Start-time fair queueing (SFQ) in units: queues and tags; dispatch.py chooses among the queued requests.

A request's start tag is the maximum of the queue's virtual time when it was enqueued and the finish tag of
the previous request of its volume; its finish tag is the start tag plus its units over the volume's weight.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from garnetlanding.decision.backend_health import BackendHealth
from garnetlanding.decision.estimators import EwmaRate
from garnetlanding.decision.requests import Request
from garnetlanding.decision.time_constants import NEVER


@dataclass(slots=True, eq=False)
class Flow:
    """The requests of one volume in one cell: those queued, and the tags of the last one sent."""

    queued: deque[Request] = field(default_factory=deque)
    last_start_tag: float = 0.0  # of the last request sent
    last_units: float = 0.0
    finish_tag: float = 0.0  # of the last request sent
    arrived_units: float = 0.0  # ever queued here

    def retag_for_weight(self, virtual_time: float, weight: float) -> None:
        """Recompute all tags for a changed weight, starting with the last request sent."""
        self.finish_tag = self.last_start_tag + self.last_units / weight
        previous = self.finish_tag
        for request in self.queued:
            if not request.keeps_tags:
                request.start_tag = max(virtual_time, previous)
                previous = request.start_tag + request.units / weight
                request.finish_tag = previous

    def retag_after_removal(self, weight: float) -> None:
        """Recompute the tags of the queued requests after one was removed unsent."""
        previous = self.finish_tag
        for request in self.queued:
            if not request.keeps_tags:
                request.start_tag = max(request.virtual_time, previous)
                previous = request.start_tag + request.units / weight
                request.finish_tag = previous

    def record_sent(self, request: Request) -> None:
        """Store the tags of a request that is sent, unless a later one was sent before."""
        if not request.keeps_tags and request.start_tag >= self.last_start_tag:
            self.last_start_tag = request.start_tag
            self.last_units = request.units
            self.finish_tag = request.finish_tag


@dataclass(slots=True, eq=False)
class CellQueue:
    """The fair queue of one cell; it is kept when another backend process takes over the cell."""

    cell: int
    health: BackendHealth | None = None  # of the backend that serves the cell; None: no backend
    flows: dict[str, Flow] = field(default_factory=dict)  # by volume
    virtual_time: float = 0.0  # the highest start tag of a request sent
    queued_count: int = 0  # requests in all flows
    next_dispatch_at: int = NEVER  # time of the next scheduled dispatch pass
    usual_load: EwmaRate = field(default_factory=EwmaRate)  # units per second served to this instance

    def enqueue(self, request: Request) -> None:
        """Append a request to its flow with new tags, or put it in front if it keeps its tags."""
        volume = request.volume
        flow = self.flows.setdefault(request.arrival.volume, Flow())
        if request.keeps_tags:
            flow.queued.appendleft(request)
        else:
            request.virtual_time = self.virtual_time
            finish_tags = [other.finish_tag for other in flow.queued if not other.keeps_tags]
            request.start_tag = max([self.virtual_time, flow.finish_tag, *finish_tags])
            request.finish_tag = request.start_tag + request.units / volume.weight
            flow.queued.append(request)
        request.queued_cell = self.cell
        self.queued_count += 1
        flow.arrived_units += request.units
        volume.arrived_units += request.units
        if not request.attempts:
            volume.queued_units += request.units

    def remove(self, request: Request) -> Flow:
        """Remove a queued request and return its flow, without changing other tags."""
        flow = self.flows[request.arrival.volume]
        flow.queued.remove(request)
        self.queued_count -= 1
        request.queued_cell = None
        if not request.attempts:
            request.volume.queued_units -= request.units
        return flow

    def dequeue_unsent(self, request: Request) -> None:
        """Remove a queued request that is not sent, and its cost from the tags of the following requests."""
        self.remove(request).retag_after_removal(request.volume.weight)

    def dequeue_sent(self, request: Request) -> None:
        """Remove a queued request that is sent now, and advance the virtual time."""
        self.remove(request).record_sent(request)
        self.virtual_time = max(self.virtual_time, request.start_tag)

    def requests(self) -> list[Request]:
        """Return all queued requests, flow by flow."""
        return [request for flow in self.flows.values() for request in flow.queued]
