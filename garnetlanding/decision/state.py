"""What a Controller knows of its instance: requests, volumes, cells, backends. Nothing is decided here."""

from __future__ import annotations

import random
from collections.abc import Iterator

from garnetlanding.decision import interface as api
from garnetlanding.decision import tuning
from garnetlanding.decision.agenda import Agenda
from garnetlanding.decision.backend_health import BackendHealth
from garnetlanding.decision.estimators import ResponseStatistics
from garnetlanding.decision.fair_queue import CellQueue
from garnetlanding.decision.ordered_keys import OrderedKeyQueue
from garnetlanding.decision.requests import Request, Volume
from garnetlanding.decision.token_bucket import HedgeBudget, RetryBudget
from garnetlanding.decision.units import NEVER


class ControllerState(Agenda):
    """The records and the agenda of one instance, shared by the parts of its Controller."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(tuning.LOG_LINES)
        self.rng = random.Random(seed)
        self.requests: dict[str, Request] = {}
        self.arrival_count = 0
        self.longest_patience: dict[str, int] = {}  # longest time a client gave, by class, in microseconds
        self.volumes: dict[str, Volume] = {}
        self.ordered_keys: dict[str, OrderedKeyQueue] = {}
        self.endpoints: dict[str, api.Endpoint] = {}
        self.disabled_cells: set[int] = set()  # cells with an administratively disabled backend
        self.cells: dict[int, CellQueue] = {}
        self.pending_cells: dict[int, CellQueue] = {}  # to look at in this call, the last one first
        self.budget_quotas: dict[
            str, float
        ] = {}  # of the instances' common budgets; one not named is 1: even
        self.retry_budget = RetryBudget(settings.retry_budget_window_us)
        self.hedge_budget = HedgeBudget()
        self.started_at = 0
        self.process_warmup_quota = settings.process_quota  # this process's part of the warm-up budgets
        self.follow_settings(settings)
        self.statistics = ResponseStatistics(float(self.tightest_objective_us))

    def follow_settings(self, settings: api.Settings) -> None:
        """Take up new settings and what follows from them."""
        self.settings = settings
        # What is given up holds at once; what is gained, once the other's attempts have left the window.
        self.process_warmup_quota = min(self.process_warmup_quota, settings.process_quota)
        if settings.process_quota > self.process_warmup_quota:
            gained_at = self.now + settings.overload_window_us
            self.schedule(gained_at, self._raise_process_warmup_quota, settings.process_quota)
        classes = settings.classes.values()
        self.tightest_objective_us = min(one.latency_objective_us for one in classes)
        highest_price = max(plan.price for plan in settings.plans.values())
        self.highest_priority_weight = max(one.priority_weight for one in classes) * highest_price
        # 0 to 1: how far the instances' smallest concurrency limits fail to protect a backend by themselves.
        self.contention = max(0.0, 1 - tuning.DEPTH_FLOOR / max(1, settings.instances))

    def _raise_process_warmup_quota(self, share: float) -> None:
        self.process_warmup_quota = max(self.process_warmup_quota, min(share, self.settings.process_quota))

    def budget_quota(self, name: str) -> float:
        """Return this instance's part of a budget of all instances, as a multiple of the even one."""
        return self.budget_quotas.get(name, 1.0)

    def cell_queue(self, cell: int) -> CellQueue:
        """Return the queue of a cell, a new one if it is the first time."""
        queue = self.cells.get(cell)
        if queue is None:
            queue = self.cells[cell] = CellQueue(cell)
        return queue

    def mark_pending(self, queue: CellQueue) -> None:
        """Have the cell looked at in this call."""
        self.pending_cells[queue.cell] = queue

    def take_pending(self) -> Iterator[CellQueue]:
        """Yield the cells to look at until none is left, also those that are marked meanwhile."""
        while self.pending_cells:
            yield self.pending_cells.popitem()[1]

    def look_later(self, queue: CellQueue, when: int) -> None:
        """Have the cell looked at at that time, unless an earlier look is planned."""
        if when < queue.next_look_at:
            queue.next_look_at = when
            self.schedule(when, self._look, queue)

    def _look(self, queue: CellQueue) -> None:
        queue.next_look_at = NEVER
        self.mark_pending(queue)

    def is_warming_up(self, health: BackendHealth) -> bool:
        """Return whether a backend has started less than the warm-up time ago."""
        return self.now < health.warming_since + self.settings.warmup_us

    def new_request(self, arrival: api.Arrival) -> Request:
        """Add the request of an arrival, and its volume if it is the first of it."""
        traffic_class = self.settings.classes[arrival.request_class]
        plan = self.settings.plans[arrival.plan]
        # A client's retry is judged by its first try: the longest time a client gave tells when that came.
        patience = max(self.longest_patience.get(arrival.request_class, 0), arrival.deadline_us - self.now)
        self.longest_patience[arrival.request_class] = patience
        first_try_at = min(self.now, arrival.deadline_us - patience)
        self.arrival_count += 1
        request = Request(
            arrival=arrival,
            traffic_class=traffic_class,
            volume=self.volumes.get(arrival.volume) or self._new_volume(arrival, plan),
            units=arrival.units,
            sequence=self.arrival_count,
            objective_at=first_try_at + traffic_class.latency_objective_us,
            answer_by=arrival.deadline_us - tuning.MARGIN_TICKS * self.settings.tick_us,
            priority_weight=traffic_class.priority_weight * plan.price,
        )
        self.requests[arrival.request] = request
        return request

    def _new_volume(self, arrival: api.Arrival, plan: api.PlanSpec) -> Volume:
        volume = Volume(plan.weight, plan, max(1, arrival.serving_instances))
        volume.start_plan(self.now, plan, self.settings)
        self.volumes[arrival.volume] = volume
        return volume

    def dequeue_unsent(self, request: Request) -> None:
        """Take a request out of the queue that it is in, if any, without sending it."""
        if request.queued_cell is not None:
            self.cells[request.queued_cell].dequeue_unsent(request)

    def follow_plans(self, old_process_quota: float) -> None:
        """Start volumes afresh by the settings in force if their plan, or this process's share, is another.

        A volume's tags move with its weight. `old_process_quota` is the process's share before.
        """
        for name, volume in self.volumes.items():
            plan = self.settings.plans.get(volume.plan.name, volume.plan)
            changed = plan != volume.plan
            if changed or old_process_quota != self.settings.process_quota:
                volume.start_plan(self.now, plan, self.settings)
            if changed:
                self.set_weight(name, plan.weight)

    def apply_quotas(self, event: api.QuotaUpdate) -> None:
        """Take up this instance's parts of the volumes' plans and of the common budgets."""
        for name, quota in event.volume_quotas.items():
            volume = self.volumes[name]
            volume.quota = quota
            volume.refit(self.now, self.settings)
        if event.budget_quotas is not None:
            self.budget_quotas = event.budget_quotas

    def follow_suspicions(self, event: api.PeerSuspicions) -> None:
        """Take up which backends other instances have reported; one not named is not suspected any more."""
        for queue in self.cells.values():
            if queue.health:
                queue.health.suspected_until = event.suspected_until.get(queue.health.endpoint.backend, 0)

    def set_weight(self, name: str, weight: float) -> None:
        """Give a volume another weight, and its queued requests the tags that follow from it."""
        self.volumes[name].weight = weight
        for queue in self.cells.values():
            if name in queue.flows:
                queue.flows[name].retag_for_weight(queue.virtual_time, weight)

    def forget_idle_volumes(self) -> None:
        """Drop volumes without requests for long: they are as good as new, and all names would stay."""
        idle_since = self.now - tuning.FORGET_AFTER
        idle = [
            name
            for name, volume in self.volumes.items()
            if volume.reserve.filled_at < idle_since and volume.has_even_quota
        ]
        for name in idle:
            queues = [queue for queue in self.cells.values() if name in queue.flows]
            if any(queue.flows[name].queued for queue in queues):
                continue
            del self.volumes[name]
            for queue in queues:
                del queue.flows[name]
