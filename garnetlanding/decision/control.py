"""Decides which handler gets an event, and in which order: the Controller of one instance, C-SFQ(D).

The Controller is a pure state machine: events in, actions out (interface.py), no clock and no I/O. It
implements start-time fair queueing with adaptive weights and concurrency limits. The decisions are made in

- admission.py: which requests are queued or rejected, and when a request gets its final answer;
- dispatch.py: which queued request is sent next;
- load_shedding.py: which queued requests are shed so that others are in time;
- concurrency.py, warmup.py: how many attempts and units may be sent to a backend;
- placement.py: which backend serves a cell, and in which cell a new object is created;
- attempt_rules.py, retries.py, backoff.py: which requests are retried or hedged, and when;
- weight_control.py: the weights of volumes in the fair queues.

The other modules of the package contain state and arithmetic. All times are microseconds.
"""

from collections.abc import Callable
from typing import Any

from garnetlanding.decision import interface as api
from garnetlanding.decision import tuning
from garnetlanding.decision.admission import Admission
from garnetlanding.decision.backoff import PollBackoff
from garnetlanding.decision.dispatch import Dispatcher
from garnetlanding.decision.endpoints import apply_update
from garnetlanding.decision.retries import Retries
from garnetlanding.decision.state import ControllerState
from garnetlanding.decision.time_constants import NEVER
from garnetlanding.decision.weight_control import run_weight_controller


class Controller:
    """The decision module of one instance: handles events and returns actions, both in order."""

    def __init__(
        self, settings: api.Settings, seed: int, max_records: int = tuning.DEFAULT_MAX_RECORDS
    ) -> None:
        """`max_records` limits what outlasts requests: the number of volumes, and that of timers, each."""
        self.state = ControllerState(settings, seed, max_records)
        self._poll_backoff = PollBackoff(settings.instances)
        self._admission = Admission(self.state)
        self._retries = Retries(self.state, self._admission)
        self._dispatcher = Dispatcher(self.state, self._admission, self._retries)
        self._handlers: dict[type, Callable[[Any], None]] = {
            api.EndpointListUpdate: self._on_endpoint_list,
            api.EndpointListFailure: self._on_endpoint_list_failure,
            api.Arrival: self._admission.admit,
            api.Result: self._retries.on_result,
            api.ClientLeft: self._on_client_left,
            api.StreamStarted: self._on_stream_started,
            api.NewSettings: self._on_settings,
            api.QuotaUpdate: self.state.apply_quotas,
            api.PeerSuspicions: self.state.cells.apply_suspicions,
        }

    @property
    def settings(self) -> api.Settings:
        """The settings that are in force."""
        return self.state.settings

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        """Handle events at the time `now`, which never decreases, and return the resulting actions."""
        state = self.state
        state.begin_call(now)
        for event in events:
            handler = self._handlers.get(type(event))
            if handler is not None:
                handler(event)
        state.timers.run_due(now)
        for queue in state.cells.take_pending():
            self._dispatcher.dispatch(queue)
            if queue.queued_count:
                state.schedule_dispatch(queue, now + tuning.DISPATCH_INTERVAL_US)
        return state.end_call()

    def _on_settings(self, event: api.NewSettings) -> None:
        self.state.apply_settings(event.settings)
        self._poll_backoff.set_instances(event.settings.instances)

    def _on_endpoint_list(self, update: api.EndpointListUpdate) -> None:
        state = self.state
        self._poll_backoff.reset()
        if update.at_start:
            state.started_at = state.now
            state.timers.schedule(state.now + tuning.WEIGHT_INTERVAL_US, run_weight_controller, state)
            if state.settings.poll_endpoints:
                state.actions.emit(api.Subscribe())
        apply_update(state, update)

    def _on_endpoint_list_failure(self, failure: api.EndpointListFailure) -> None:
        state = self.state
        quota = state.budgets.quota(api.POLL_BUDGET)
        pause = self._poll_backoff.next_pause(failure, quota, state.rng)
        state.timers.schedule(state.now + pause, state.actions.emit, api.Subscribe())

    def _on_client_left(self, event: api.ClientLeft) -> None:
        request = self.state.requests.by_id.get(event.request)
        if request and not request.answered:
            self._admission.finish(request)

    def _on_stream_started(self, event: api.StreamStarted) -> None:
        """Give no other final answer, since the streaming attempt answers the client itself."""
        request = self.state.requests.by_id.get(event.request)
        if request:
            request.answer_by = NEVER
