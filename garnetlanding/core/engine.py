"""Feeds the controller with events and carries out its actions.

Owns the single final answer of each request and the life of each attempt. Events that one loop turn
brought go to the controller together, under one reading of the clock.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from garnetlanding.core.body import Body
from garnetlanding.core.endpoint_registry import EndpointRegistry
from garnetlanding.core.metrics import RequestMetrics, encode
from garnetlanding.core.ports import (
    Answer,
    Backend,
    DecisionModule,
    EndpointListing,
    Failed,
    InvalidRequestError,
    Observer,
    Rejected,
    RequestSpec,
    ResponseCallback,
    Served,
    Subscriptions,
    Timer,
    Timers,
)
from garnetlanding.decision import interface as api
from garnetlanding.limits import Limits

log = logging.getLogger(__name__)

NEVER_RAN = (api.Outcome.FULL, api.Outcome.UNREACHABLE, api.Outcome.NEVER_DISPATCHED)
DEADLINE_GRACE_US = 2_000  # the controller answers a time-out first; after this the core does


class Attempt:
    """One try of a request at one server. It ends once; what is said of it later is ignored."""

    __slots__ = (
        "_core",
        "request",
        "number",
        "node",
        "until_us",
        "sent_at",
        "ended_at",
        "outcome",
        "_whole",
        "_heard_at",
    )

    def __init__(
        self, core: RequestEngine, request: Request, number: int, node: str, until_us: int, now: int
    ) -> None:
        self._core, self.request, self.number, self.node = core, request, number, node
        self.until_us, self.sent_at, self.ended_at = until_us, now, 0
        self.outcome: api.Outcome | None = None
        self._whole = False
        self._heard_at: int | None = None

    @property
    def took_us(self) -> int:
        """How long the server took: to the first byte of its answer, where that was told. How slowly it
        writes the rest says nothing of how much it has to do."""
        return (self.ended_at if self._heard_at is None else self._heard_at) - self.sent_at

    @property
    def work(self) -> Any:
        return self.request.spec.work

    def address(self) -> str | None:
        if self.outcome is not None or self.request.answer is not None or not self._core.may_repeat(self):
            return None
        return self._core.endpoints.address_of(self.node)

    def request_written(self) -> None:
        if not self._whole:
            self._whole = True
            self._core.metrics.dispatches += 1

    def response_started(self) -> None:
        if self._heard_at is None:
            self._heard_at = self._core.now

    def finish(
        self, outcome: api.Outcome, value: Any = None, used: int = 0, report: dict[str, float] | None = None
    ) -> None:
        if self.outcome is None:
            self.outcome = outcome
            self._core.attempt_ended(self, outcome, value, used, report or {})


class Request:
    __slots__ = (
        "ticket",
        "spec",
        "backend",
        "on_answer",
        "began_at",
        "until_us",
        "attempts",
        "answer",
        "timer",
    )

    def __init__(
        self, ticket: str, spec: RequestSpec, backend: Backend, on_answer: ResponseCallback, now: int
    ) -> None:
        self.ticket, self.spec, self.backend, self.on_answer = ticket, spec, backend, on_answer
        self.began_at, self.until_us = now, now + spec.timeout_us
        self.attempts: list[Attempt] = []
        self.answer: Answer | None = None
        self.timer: Timer | None = None

    def in_flight(self) -> list[Attempt]:
        return [a for a in self.attempts if a.outcome is None]


class RequestEngine:
    def __init__(self, module: DecisionModule, timers: Timers, limits: Limits) -> None:
        """`module`: what is fed the events, which may be put into something else later."""
        self.module, self._timers, self._limits = module, timers, limits
        self._settings = module.settings
        self.endpoints = EndpointRegistry()
        self.metrics = RequestMetrics(module.settings.classes)
        self.subscriptions: Subscriptions | None = None
        self.observers: list[Observer] = []
        self.send_to_peer: Callable[[bytes, int], None] | None = (
            None  # where heads may send each other messages
        )
        self._requests: dict[str, Request] = {}
        self._events: list[api.Event] = []
        self._open_bytes = 0
        self.open_requests = 0  # requests not yet answered
        self.capacity_share = 1.0  # of the head's room, to be kept to while another process has the rest
        self.may_act: Callable[[int], bool] | None = None  # where it has to show that it is current
        self.fenced = False  # it can't: nothing is sent
        self.on_fence_change: list[Callable[[bool], None]] = []

    @property
    def now(self) -> int:
        return self._timers.now

    @property
    def settings(self) -> api.Settings:
        """Those in force."""
        return self._settings

    # From fronts

    def submit(self, spec: RequestSpec, backend: Backend, on_answer: ResponseCallback) -> str:
        """Takes a request; `on_answer` is called exactly once, unless the client leaves first. Raises Unfit
        for what the settings have no place for: it would spoil what the module keeps for others."""
        if why := self._unfit(spec):
            raise InvalidRequestError(why)
        self.metrics.accepted += 1
        request = Request(f"i{self.metrics.accepted}", spec, backend, on_answer, self._timers.now)
        self.open_requests += 1
        self._open_bytes += spec.held_bytes
        self._requests[request.ticket] = request
        if self.capacity_used > self.capacity_share or self.fenced:
            # The head's own room, not a server's: the one refusal that is not the controller's.
            self._finish(request, Rejected(self._settings.max_retry_after_us))
        else:
            request.timer = self._timers.call_at(request.until_us, lambda: self._deadline(request))
            self._events.append(
                api.Arrival(
                    request.ticket,
                    spec.cls,
                    spec.plan,
                    spec.volume,
                    spec.key,
                    spec.units,
                    spec.cell,
                    request.until_us,
                    spec.volume_hosts,
                    spec.is_retry,
                    spec.is_write,
                )
            )
        return request.ticket

    @property
    def capacity_used(self) -> float:
        """What part of the head's own room is taken."""
        return max(self.open_requests / self._limits.open_items, self._open_bytes / self._limits.open_bytes)

    def _unfit(self, spec: RequestSpec) -> str:
        settings = self._settings
        if spec.cls not in settings.classes:
            return "unknown class"
        if spec.plan not in settings.plans:
            return "unknown plan"
        if settings.cells and spec.cell >= settings.cells:
            return "unknown shard"
        if spec.units > settings.max_units:
            return "more units than the largest request has"
        return "more hosts than there are" if spec.volume_hosts > settings.instances else ""

    def abort(self, ticket: str, why: str) -> None:
        """The client is told at once that this is not done, whatever is out for it."""
        request = self._requests.get(ticket)
        if request and request.answer is None:
            self._finish(request, Failed(why))
            self._events.append(api.ClientLeft(ticket))

    def abort_all(self, why: str) -> None:
        for ticket in list(self._requests):
            self.abort(ticket, why)

    def client_disconnected(self, ticket: str) -> None:
        """The client has gone away: nobody is owed an answer any more."""
        if request := self._requests.get(ticket):
            request.on_answer = lambda _: None
        self.abort(ticket, "client left")

    # From the operator

    def apply_settings(self, settings: api.Settings) -> None:
        self._settings = settings
        self.metrics.add_classes(settings.classes)
        self._events.append(api.NewSettings(settings))

    def set_disabled(self, disabled: frozenset[str]) -> None:
        """These servers are sent nothing from now on; those put back may be again, as if just started."""
        if changed := self.endpoints.set_disabled(disabled, self._timers.now):
            self._events.append(api.EndpointListUpdate(tuple(changed)))

    def metrics_text(self) -> str:
        """The figures as text, true at this moment."""
        return encode(self.metrics, self.open_requests, len(self.endpoints), self.endpoints.unavailable)

    # From the directory

    def update_endpoints(self, listing: EndpointListing) -> None:
        if odd := self.endpoints.apply(listing):
            log.warning("odd list", extra={"kv": {"first": odd[0], "count": len(odd)}})
        entries = tuple(map(self.endpoints.effective_entry, listing.entries))
        self._events.append(api.EndpointListUpdate(entries, listing.complete, at_start=listing.at_start))

    def endpoint_update_failed(self, queued: bool = False, unheard_us: int = 0) -> None:
        self._events.append(api.EndpointListUpdate(failed=True, queued=queued, unheard_us=unheard_us))

    # From other heads

    def receive_peer_message(self, sender: int, payload: bytes) -> None:
        self._events.append(api.PeerMessage(sender, payload))

    # From backends

    def attempt_ended(
        self, attempt: Attempt, outcome: api.Outcome, value: Any, used: int, report: dict[str, float]
    ) -> None:
        request, now = attempt.request, self._timers.now
        attempt.ended_at = now
        if outcome is api.Outcome.SERVED and request.answer is None:
            self._finish(request, Served(value))
        elif isinstance(value, Body):
            value.end(False)  # nobody waits for it any more
        self._events.append(
            api.Result(
                request.ticket,
                attempt.number,
                attempt.node,
                outcome,
                attempt.took_us,
                request.answer is not None,
                used,
                report,
            )
        )
        self._drop_settled(request)

    # The turn

    def run_iteration(self) -> None:
        """Gives the controller what has come in and does what it says, until nothing is left."""
        if self.may_act:
            self._look_out(self.may_act)
        while self._events:
            events, self._events = self._events, []
            try:
                actions = self.module.handle(self._timers.now, events)
            except Exception:
                # The items concerned still get their final answer at their deadline.
                log.exception("controller failed")
                continue
            for action in actions:
                try:
                    self._perform(action)
                except Exception:
                    # The actions behind it concern other items, and are still to be done.
                    log.exception("action failed")

    def _look_out(self, may_act: Callable[[int], bool]) -> None:
        """Before anything is sent in this turn: a head that wakes after a stall finds that it may not act."""
        out = not may_act(self._timers.now)
        if out == self.fenced:
            return
        self.fenced = out
        log.warning("out" if out else "acts again", extra={"kv": {"open": self.open_requests}})
        if out:
            for request in [i for i in self._requests.values() if i.answer is None and not i.in_flight()]:
                # What has not run, or may run again, can be had elsewhere; what is out is finished.
                cls = self._settings.classes.get(request.spec.cls)
                harmless = (
                    cls is not None
                    and cls.effect is api.Effect.SAFE
                    or all(a.outcome in NEVER_RAN for a in request.attempts)
                )
                self._finish(
                    request,
                    Rejected(self._settings.max_retry_after_us) if harmless else Failed("not current"),
                )
                self._events.append(api.ClientLeft(request.ticket))
        for told in self.on_fence_change:
            told(out)

    def may_repeat(self, attempt: Attempt) -> bool:
        """Asked again at the first byte: while a connection comes up, the window for repeats may pass."""
        cls = self._settings.classes.get(attempt.request.spec.cls)
        if not attempt.number or cls is None or cls.effect is api.Effect.SAFE:
            return True
        ran = [a for a in attempt.request.attempts[: attempt.number] if a.outcome not in NEVER_RAN]
        return not ran or cls.effect is api.Effect.KEYED and self._timers.now < ran[0].sent_at + cls.window_us

    def _perform(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(action)
            case api.Reject():
                self._final(action.request, Rejected(action.retry_after_us))
            case api.Fail():
                self._final(action.request, Failed("gave up"))
            case api.Cancel():
                request = self._requests.get(action.request)
                if request and action.attempt < len(request.attempts):
                    self._stop(request.attempts[action.attempt], api.Outcome.CANCELLED)
            case api.WakeAfter():
                token = action.token
                self._timers.call_at(
                    self._timers.now + action.span_us, lambda: self._events.append(api.TimerFired(token))
                )
            case api.Subscribe():
                if self.subscriptions:
                    self.subscriptions.subscribe()
            case api.SendPeerMessage():
                if self.send_to_peer:
                    self.send_to_peer(action.payload, action.to)
            case api.Log():
                log.info("decision", extra={"kv": {"note": action.text}})
            case api.Probe():
                log.error("probe asked for, none is allowed", extra={"kv": {"node": action.node}})

    def _send(self, send: api.Send) -> None:
        request = self._requests.get(send.request)
        if request is None:
            return
        now = self._timers.now
        until = min(send.until_us or request.until_us, request.until_us)
        attempt = Attempt(self, request, len(request.attempts), send.node, until, now)
        most = self._limits.copies if self._settings.parallel_attempts and request.spec.allow_hedging else 1
        busy = len(request.in_flight()) >= most
        request.attempts.append(attempt)
        # Never more at once than is allowed, never past the last attempt, never to a server that drains.
        if (
            busy
            or self.fenced
            or request.answer is not None
            or now >= until
            or attempt.address() is None
            or attempt.number >= self._settings.max_attempts
        ):
            attempt.finish(api.Outcome.NEVER_DISPATCHED)
            return
        if until < request.until_us:
            self._timers.call_at(until, lambda: self._stop(attempt, api.Outcome.TIMEOUT))
        request.backend.start(attempt)

    def _stop(self, attempt: Attempt, outcome: api.Outcome) -> None:
        if attempt.outcome is None:
            attempt.request.backend.stop(attempt)
            attempt.finish(outcome)

    def _deadline(self, request: Request) -> None:
        for attempt in request.in_flight():
            self._stop(attempt, api.Outcome.TIMEOUT)
        if request.answer is None:
            # From now on: after a stall both times have passed, and the controller is to have its turn first.
            request.timer = self._timers.call_at(
                self._timers.now + DEADLINE_GRACE_US, lambda: self._overdue(request)
            )

    def _overdue(self, request: Request) -> None:
        """Guards the one rule no defect may break: an accepted request gets its answer."""
        if request.answer is None:
            log.error("controller gave no answer in time", extra={"kv": {"request": request.ticket}})
            self._finish(request, Failed("deadline passed"))
            self._events.append(api.ClientLeft(request.ticket))

    def _final(self, ticket: str, answer: Answer) -> None:
        request = self._requests.get(ticket)
        if request and request.answer is None:
            self._finish(request, answer)

    def _finish(self, request: Request, answer: Answer) -> None:
        request.answer = answer
        self._open_bytes -= request.spec.held_bytes
        if isinstance(answer, Served) and isinstance(answer.value, Body):
            # Its last byte is its end; from the first on nothing else can be answered.
            answer.value.on_end.append(
                lambda whole: self._ended(request, answer if whole else Failed("cut short"))
            )
        else:
            self._ended(request, answer)
        if request.timer and not request.in_flight():
            request.timer.cancel()
        request.on_answer(answer)
        if self.observers:
            trail = [
                (a.node, a.outcome.value if a.outcome else "out", a.sent_at, a.ended_at)
                for a in request.attempts
            ]
            for observer in self.observers:
                observer.request_ended(request.spec, answer, request.began_at, self._timers.now, trail)
        self._drop_settled(request)

    def _ended(self, request: Request, answer: Answer) -> None:
        self.metrics.record(request.spec.cls, answer)
        self.open_requests -= 1

    def _drop_settled(self, request: Request) -> None:
        if request.answer is not None and not request.in_flight():
            self._requests.pop(request.ticket, None)
