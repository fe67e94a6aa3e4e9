"""Deliver events to the decision module and perform the actions that it returns.

The engine is the core's public interface: frontends submit requests, operators and discovery change settings
and endpoints, and once in each event-loop iteration all events go to the decision module together, with one
timestamp.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from garnetlanding.core.admission_checks import Capacity, validate
from garnetlanding.core.dispatcher import AttemptDispatcher, DispatcherDependencies
from garnetlanding.core.endpoint_registry import EndpointRegistry
from garnetlanding.core.event_feed import EventFeed
from garnetlanding.core.fencing import Fence
from garnetlanding.core.metrics import RequestMetrics, encode
from garnetlanding.core.ports import (
    AnswerCallback,
    BackendTransport,
    DecisionModule,
    EndpointListing,
    EndpointSubscription,
    Failed,
    MemoryHolder,
    Rejected,
    RequestSpec,
    Timer,
    Timers,
)
from garnetlanding.core.request import CLIENT_LEFT, Request, discard_answer
from garnetlanding.core.request_table import RequestTable
from garnetlanding.core.retry_safety import may_run_elsewhere
from garnetlanding.decision import interface as api
from garnetlanding.limits import Limits

log = logging.getLogger(__name__)


class RequestEngine:
    """One instance's requests, from submission to the final answer.

    It stays one class because it is a facade: each method delegates to one part of the core, and the order of
    the calls is the order of the decision module's events.

    Not thread-safe: all calls come from the event loop. Calls from frontends, operators and discovery only
    queue events; attempts start only in `run_iteration`, which the loop calls at the end of each iteration.
    """

    def __init__(self, module: DecisionModule, timers: Timers, limits: Limits) -> None:
        self.module = module  # the instance may replace it with a wrapper
        self.endpoints = EndpointRegistry()
        self.metrics = RequestMetrics(module.settings.classes)
        self.capacity = Capacity(limits)
        self.fence = Fence()
        self.endpoint_subscription: EndpointSubscription | None = None  # None: the list is never polled
        self.send_to_peer: Callable[[bytes, int | None], None] | None = None  # None: no link to peers
        self._timers = timers
        self._events = EventFeed()
        self._requests = RequestTable(timers, self._events, self.metrics, self.capacity)
        self.observers = self._requests.observers
        dependencies = DispatcherDependencies(
            self._requests, self.endpoints, self._events, self.fence, self.metrics
        )
        self._dispatcher = AttemptDispatcher(dependencies, module.settings, timers, limits)

    @property
    def now(self) -> int:
        """The monotonic clock, in microseconds."""
        return self._timers.now

    def call_at(self, due: int, callback: Callable[[], None]) -> Timer:
        """Schedule a callback for the time `due` of the monotonic clock, in microseconds."""
        return self._timers.call_at(due, callback)

    @property
    def settings(self) -> api.Settings:
        """The settings in force."""
        return self._dispatcher.settings

    @property
    def pending_events(self) -> int:
        """The number of events of this iteration so far, which the decision module gets at its end."""
        return len(self._events.pending)

    @property
    def open_requests(self) -> int:
        """The number of accepted requests whose response is not complete yet."""
        return self.capacity.open_requests

    # Called by frontends

    def submit(
        self,
        spec: RequestSpec,
        transport: BackendTransport,
        on_answer: AnswerCallback,
        account: MemoryHolder | None = None,
    ) -> str:
        """Accept a request and return its ticket, the identifier that the engine gives it.

        The memory that it needs is charged to its client's `account` until it has ended; if the client must
        not hold that much, the request is rejected.
        `on_answer` is called exactly once, unless the client disconnects first; it may be called before this
        returns, with a rejection. Raises InvalidRequestError for a request that contradicts the settings.
        """
        settings = self._dispatcher.settings
        validate(spec, settings)
        self.metrics.accepted += 1
        request = Request(f"i{self.metrics.accepted}", spec, transport, on_answer, self._timers.now, account)
        has_memory = self._requests.add(request)
        if not has_memory or self.capacity.is_exceeded or self.fence.is_fenced:
            # The instance sheds load for its own capacity; the decision module does so for the backends'.
            self._requests.finish(request, Rejected(settings.max_retry_after_us))
        else:
            self._requests.start_deadline(request)
            self._events.pending.append(_arrival(request))
        return request.ticket

    def abort(self, ticket: str, reason: str) -> None:
        """Fail the request at once, whether or not attempts are in flight."""
        self._requests.withdraw(ticket, Failed(reason))

    def abort_all(self, reason: str) -> None:
        """Fail every request that has no final answer yet."""
        for request in self._requests:
            self.abort(request.ticket, reason)

    def client_disconnected(self, ticket: str) -> None:
        """Withdraw the request of a client that has disconnected; its callback is not called any more."""
        request = self._requests.get(ticket)
        if request is None:
            return
        request.on_answer = discard_answer
        self.abort(ticket, CLIENT_LEFT)
        request.stop_unwritten()

    def finish_without_client(self, ticket: str) -> None:
        """End the request of a client that has disconnected with the attempt in flight; begin no further one.

        For a request whose end others wait for. Its callback is called, at once if no attempt in flight can
        have been received in full.
        """
        request = self._requests.get(ticket)
        if request is None or request.is_answered:
            return
        request.client_has_left = True
        request.stop_unwritten()
        if not request.in_flight():
            self._requests.withdraw(ticket, Failed(CLIENT_LEFT))

    # Called on behalf of operators

    def apply_settings(self, settings: api.Settings) -> None:
        """Apply new settings; requests accepted before keep their class and deadline."""
        self._dispatcher.settings = settings
        self.metrics.add_classes(settings.classes)
        self._events.pending.append(api.NewSettings(settings))

    def set_disabled(self, disabled: frozenset[str]) -> None:
        """Replace the set of administratively disabled backends.

        They receive no requests from now on. Backends that are enabled again warm up as after a start.
        """
        if changed := self.endpoints.set_disabled(disabled, self._timers.now):
            self._events.pending.append(api.EndpointListUpdate(tuple(changed)))

    def metrics_text(self) -> str:
        """Return the current metrics as a metrics page."""
        return encode(self.metrics, self.open_requests, len(self.endpoints), self.endpoints.unavailable)

    # Called by discovery

    def update_endpoints(self, listing: EndpointListing) -> None:
        """Apply an endpoint list, or changes to the one in force, and notify the decision module."""
        if anomalies := self.endpoints.apply(listing):
            log.warning(
                "endpoint list inconsistent", extra={"kv": {"first": anomalies[0], "count": len(anomalies)}}
            )
        entries = tuple(map(self.endpoints.effective_entry, listing.entries))
        self._events.pending.append(
            api.EndpointListUpdate(entries, listing.complete, at_start=listing.at_start)
        )

    def endpoint_update_failed(self, failure: api.EndpointListFailure) -> None:
        """Report that a poll or watch of the endpoint list has failed; the list in force stays."""
        self._events.pending.append(failure)

    # Called by the link to peers

    def receive_peer_message(self, sender: int, payload: bytes) -> None:
        """Queue a message from another instance for the decision module."""
        self._events.pending.append(api.PeerMessage(sender, payload))

    # Called by the event loop

    def run_iteration(self) -> None:
        """Deliver pending events to the decision module and perform its actions, until no events are left.

        An action that raises an exception is logged, and the actions after it are still performed: they may
        concern other requests.
        """
        if self.fence.update(self._timers.now):
            self._apply_fence()
        while self._events.pending:
            for action in self._events.deliver(self.module, self._timers.now):
                try:
                    self._perform(action)
                except Exception:
                    log.exception("action failed")

    def _apply_fence(self) -> None:
        """Apply a change of the fence; called before anything is sent in the iteration.

        An instance that resumes after a stall detects here that it is fenced. Queued requests are
        answered at once; attempts in flight may finish.
        """
        is_fenced = self.fence.is_fenced
        message = "instance fenced" if is_fenced else "instance unfenced"
        log.warning(message, extra={"kv": {"open": self.open_requests}})
        if is_fenced:
            for request in self._requests:
                if not request.is_answered and not request.in_flight():
                    self._answer_fenced(request)
        self.fence.notify()

    def _answer_fenced(self, request: Request) -> None:
        spec = self.settings.classes.get(request.spec.request_class)
        if may_run_elsewhere(request, spec):
            self._requests.withdraw(request.ticket, Rejected(self.settings.max_retry_after_us))
        else:
            self._requests.withdraw(request.ticket, Failed("not current"))

    def _perform(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._dispatcher.send(action)
            case api.Reject():
                self._requests.answer(action.request, Rejected(action.retry_after_us))
            case api.Fail():
                self._requests.answer(action.request, Failed("gave up"))
            case api.Cancel():
                self._dispatcher.cancel(action.request, action.attempt)
            case api.WakeAfter():
                self._wake_after(action)
            case api.Subscribe() if self.endpoint_subscription:
                self.endpoint_subscription.subscribe()
            case api.SendPeerMessage() if self.send_to_peer:
                self.send_to_peer(action.payload, action.recipient)
            case api.Log() | api.HealthCheck():
                _log_action(action)

    def _wake_after(self, action: api.WakeAfter) -> None:
        event = api.TimerFired(action.token)
        self._timers.call_at(self._timers.now + action.span_us, lambda: self._events.pending.append(event))


def _arrival(request: Request) -> api.Arrival:
    spec = request.spec
    return api.Arrival(
        request.ticket,
        spec.request_class,
        spec.plan,
        spec.volume,
        spec.key,
        spec.units,
        spec.cell,
        request.deadline_us,
        spec.serving_instances,
        spec.is_retry,
        spec.is_write,
    )


def _log_action(action: api.Log | api.HealthCheck) -> None:
    if isinstance(action, api.Log):
        log.info("decision", extra={"kv": {"note": action.text}})
    else:
        log.error("probe asked for, none is allowed", extra={"kv": {"node": action.backend}})
