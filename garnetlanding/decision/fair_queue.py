"""Start-time fair queueing in units (SFQ): tags and queues. Which request leaves next is dispatch.py's.

A request's start tag is the later of the queue's virtual time when it joined and the finish tag of its
volume's request before it; its finish tag is that plus its units over the volume's weight.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from garnetlanding.decision.backend_health import BackendHealth
from garnetlanding.decision.estimators import EwmaRate
from garnetlanding.decision.requests import Request
from garnetlanding.decision.units import NEVER


@dataclass(slots=True, eq=False)
class Flow:
    """One volume's requests in one cell: those queued, and the last one sent."""

    queued: deque[Request] = field(default_factory=deque)
    last_start_tag: float = 0.0  # of the last request sent
    last_units: float = 0.0
    finish_tag: float = 0.0  # of the last request sent
    arrived_units: float = 0.0  # ever queued here

    def retag_for_weight(self, virtual_time: float, weight: float) -> None:
        """Tag all anew for another weight of the volume, the last request sent included."""
        self.finish_tag = self.last_start_tag + self.last_units / weight
        previous = self.finish_tag
        for request in self.queued:
            if not request.keeps_tags:
                request.start_tag = max(virtual_time, previous)
                previous = request.start_tag + request.units / weight
                request.finish_tag = previous

    def close_gap(self, weight: float) -> None:
        """Tag all anew after a request left unsent: it costs those behind it nothing."""
        previous = self.finish_tag
        for request in self.queued:
            if not request.keeps_tags:
                request.start_tag = max(request.virtual_time, previous)
                previous = request.start_tag + request.units / weight
                request.finish_tag = previous

    def record_sent(self, request: Request) -> None:
        """Keep the tags of a request that was sent, unless a later one has been already."""
        if not request.keeps_tags and request.start_tag >= self.last_start_tag:
            self.last_start_tag = request.start_tag
            self.last_units = request.units
            self.finish_tag = request.finish_tag


@dataclass(slots=True, eq=False)
class CellQueue:
    """The fair queue of one cell: it outlives the backend process that serves the cell."""

    cell: int
    health: BackendHealth | None = None  # of the backend that serves it; None: no backend does
    flows: dict[str, Flow] = field(default_factory=dict)  # by volume
    virtual_time: float = 0.0  # the highest start tag sent
    queued: int = 0  # requests in all flows
    next_look_at: int = NEVER
    usual_load: EwmaRate = field(default_factory=EwmaRate)  # units a second, served to this instance

    def enqueue(self, request: Request) -> None:
        """Queue a request: one that keeps its tags in front of its flow, another with new tags at the end."""
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
        self.queued += 1
        flow.arrived_units += request.units
        volume.arrived_units += request.units
        if not request.attempts:
            volume.queued_units += request.units

    def remove(self, request: Request) -> Flow:
        """Take a queued request out and return its flow; the tags of the others stay."""
        flow = self.flows[request.arrival.volume]
        flow.queued.remove(request)
        self.queued -= 1
        request.queued_cell = None
        if not request.attempts:
            request.volume.queued_units -= request.units
        return flow

    def dequeue_unsent(self, request: Request) -> None:
        """Take a queued request out that is not sent; its cost leaves the tags of those behind it."""
        self.remove(request).close_gap(request.volume.weight)

    def dequeue_sent(self, request: Request) -> None:
        """Take a queued request out that is sent now, and move the virtual time on."""
        self.remove(request).record_sent(request)
        self.virtual_time = max(self.virtual_time, request.start_tag)

    def requests(self) -> list[Request]:
        """Return all queued requests, flow by flow."""
        return [request for flow in self.flows.values() for request in flow.queued]
