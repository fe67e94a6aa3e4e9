"""The state of one instance's Controller, composed of its parts; the decisions are made elsewhere."""

from __future__ import annotations

import random

from garnetlanding.decision import interface as api
from garnetlanding.decision import tuning
from garnetlanding.decision.action_buffer import ActionBuffer
from garnetlanding.decision.backend_health import BackendHealth
from garnetlanding.decision.budgets import Budgets
from garnetlanding.decision.cell_registry import CellRegistry
from garnetlanding.decision.derived_settings import DerivedSettings
from garnetlanding.decision.estimators import ResponseStatistics
from garnetlanding.decision.fair_queue import CellQueue
from garnetlanding.decision.request_table import RequestTable
from garnetlanding.decision.requests import Request
from garnetlanding.decision.time_constants import NEVER
from garnetlanding.decision.timer_queue import TimerQueue
from garnetlanding.decision.volume_registry import VolumeRegistry

WAKE_TOKEN = "look"
"""Token of the timer for the next call; part of the simulator's protocol."""


class ControllerState:
    """The parts of the state and operations on several of them. `now` is the time of the current call."""

    __slots__ = (
        "actions",
        "budgets",
        "cells",
        "derived_settings",
        "ended_requests",
        "now",
        "requests",
        "rng",
        "settings",
        "started_at",
        "statistics",
        "timers",
        "volumes",
    )

    def __init__(
        self, settings: api.Settings, seed: int, max_records: int = tuning.DEFAULT_MAX_RECORDS
    ) -> None:
        self.now = 0
        self.ended_requests = 0  # since timers last released them
        self.started_at = 0
        self.rng = random.Random(seed)
        self.timers = TimerQueue(max_records)
        self.actions = ActionBuffer(tuning.MAX_LOG_LINES)
        self.requests = RequestTable()
        self.cells = CellRegistry()
        self.volumes = VolumeRegistry(self.cells, max_records)
        self.budgets = Budgets(settings)
        self.settings = settings
        self.derived_settings = DerivedSettings.derive(settings)
        self.statistics = ResponseStatistics(float(self.derived_settings.tightest_objective_us))

    # Calls of the state machine

    def begin_call(self, now: int) -> None:
        """Start a call at that time."""
        self.now = now
        self.actions.discard()

    def end_call(self) -> list[api.Action]:
        """Return the actions of the call, with a wake-up for the next timer unless an earlier one is set."""
        wake_after_us = self.timers.next_wake_up(self.now)
        if wake_after_us is not None:
            self.actions.emit(api.WakeAfter(wake_after_us, WAKE_TOKEN))
        return self.actions.take()

    # Settings

    def apply_settings(self, settings: api.Settings) -> None:
        """Apply new settings.

        For warm-up budgets, a lower process quota applies at once and a higher one after an overload window:
        until then, attempts of the other process still count at the backends.
        """
        previous_process_quota = self.settings.process_quota
        self.settings = settings
        self.budgets.lower_process_warmup_quota(settings.process_quota)
        if settings.process_quota > self.budgets.process_warmup_quota:
            raise_at = self.now + settings.overload_window_us
            self.timers.schedule(raise_at, self._raise_process_warmup_quota, settings.process_quota)
        self.derived_settings = DerivedSettings.derive(settings)
        quota_changed = previous_process_quota != settings.process_quota
        self.volumes.apply_settings(self.now, settings, quota_changed=quota_changed)

    def _raise_process_warmup_quota(self, gained_quota: float) -> None:
        self.budgets.raise_process_warmup_quota(gained_quota, self.settings.process_quota)

    def apply_quotas(self, event: api.QuotaUpdate) -> None:
        """Set this instance's quotas of the volumes' plans and of the shared budgets."""
        self.volumes.apply_quotas(self.now, self.settings, event.volume_quotas)
        if event.budget_quotas is not None:
            self.budgets.quotas = event.budget_quotas

    # Requests and queues

    def new_request(self, arrival: api.Arrival) -> Request:
        """Create the request of an arrival, and its volume if this is the volume's first request."""
        settings = self.settings
        class_spec = settings.classes[arrival.request_class]
        plan = settings.plans[arrival.plan]
        if self.volumes.is_full and arrival.volume not in self.volumes.by_name:
            self.volumes.drop_least_recent(
                {request.arrival.volume for request in self.requests.by_id.values()}
            )
        volume = self.volumes.get_or_add(arrival, plan, self.now, settings)
        return self.requests.add(arrival, class_spec, plan, volume, self.now, settings.tick_us)

    def request_ended(self) -> None:
        """Make timers release ended requests from time to time; they last until the requests' deadlines."""
        self.ended_requests += 1
        if self.ended_requests >= max(tuning.MIN_ENDED_REQUESTS, len(self.timers) // tuning.ENDED_DIVISOR):
            self.ended_requests = 0
            self.timers.release(_is_ended_request)

    def dequeue_unsent(self, request: Request) -> None:
        """Remove a request from its queue without sending it, if it is in one."""
        if request.queued_cell is not None:
            self.cells.queues[request.queued_cell].dequeue_unsent(request)

    def schedule_dispatch(self, queue: CellQueue, when: int) -> None:
        """Schedule a dispatch pass over a queue, unless an earlier one is scheduled."""
        if when < queue.next_dispatch_at:
            queue.next_dispatch_at = when
            self.timers.schedule(when, self._dispatch_due, queue)

    def _dispatch_due(self, queue: CellQueue) -> None:
        queue.next_dispatch_at = NEVER
        self.cells.mark_pending(queue)

    def is_warming_up(self, health: BackendHealth) -> bool:
        """Return whether a backend started less than the warm-up time ago."""
        return self.now < health.warmup_started_at + self.settings.warmup_us


def _is_ended_request(argument: object) -> bool:
    return isinstance(argument, Request) and argument.answered
