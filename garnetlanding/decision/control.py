"""The Controller of one instance: C-SFQ(D), start-time fair queueing with adapted weights and depths.

A pure state machine: events in, actions out (interface.py), no clock, no input or output. This module
directs each event to the part that decides on it:

- admission.py: what is queued, what is refused, when a request has its final answer;
- dispatch.py: which request leaves next, and which are refused because they would be late;
- concurrency.py: how many attempts may be in flight at a backend;
- placement.py: which backend serves a cell, and which cell a new object is written to;
- attempt_rules.py and retries.py: which requests may be sent again, and when.

The other modules of the package keep records and do arithmetic. All times are microseconds.
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
from garnetlanding.decision.units import NEVER
from garnetlanding.decision.weight_control import run_weight_controller


class Controller:
    """Decides for one instance. Feed it every event in order; do what it returns, in order."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.state = ControllerState(settings, seed)
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
            api.PeerSuspicions: self.state.follow_suspicions,
        }

    @property
    def settings(self) -> api.Settings:
        """The settings that are in force."""
        return self.state.settings

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        """Take in events at the time `now`, which never goes back, and return what to do."""
        state = self.state
        state.begin_call(now)
        for event in events:
            handler = self._handlers.get(type(event))
            if handler is not None:
                handler(event)
        state.run_due_steps()
        for queue in state.take_pending():
            self._dispatcher.dispatch(queue)
            if queue.queued:
                state.look_later(queue, now + tuning.QUEUE_TICK)
        return state.end_call()

    def _on_settings(self, event: api.NewSettings) -> None:
        state = self.state
        old_process_quota = state.settings.process_quota
        state.follow_settings(event.settings)
        self._poll_backoff.follow(event.settings.instances)
        state.follow_plans(old_process_quota)

    def _on_endpoint_list(self, update: api.EndpointListUpdate) -> None:
        state = self.state
        self._poll_backoff.reset()
        if update.at_start:
            state.started_at = state.now
            state.schedule(state.now + tuning.WEIGHT_INTERVAL, run_weight_controller, state)
            if state.settings.poll_endpoints:
                state.emit(api.Subscribe())
        apply_update(state, update)

    def _on_endpoint_list_failure(self, failure: api.EndpointListFailure) -> None:
        state = self.state
        quota = state.budget_quota(api.ENDPOINT_POLLS)
        pause = self._poll_backoff.next_pause(failure, quota, state.rng)
        state.schedule(state.now + pause, state.emit, api.Subscribe())

    def _on_client_left(self, event: api.ClientLeft) -> None:
        request = self.state.requests.get(event.request)
        if request and not request.answered:
            self._admission.finish(request)

    def _on_stream_started(self, event: api.StreamStarted) -> None:
        """Leave the final answer to that attempt, however long it takes."""
        request = self.state.requests.get(event.request)
        if request:
            request.answer_by = NEVER
