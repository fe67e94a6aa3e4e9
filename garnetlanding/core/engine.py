"""Feeds the controller with events and carries out its actions.

Owns the single final answer of each item and the life of each attempt. Events that one loop turn
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

NEVER_RAN = (api.Outcome.FULL, api.Outcome.UNREACHABLE, api.Outcome.MOOT)
DEADLINE_GRACE_US = 2_000  # the controller answers a time-out first; after this the core does


class Attempt:
    """One try of an item at one server. It ends once; what is said of it later is ignored."""

    __slots__ = (
        "_core",
        "item",
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
        self, core: RequestEngine, item: Request, number: int, node: str, until_us: int, now: int
    ) -> None:
        self._core, self.item, self.number, self.node = core, item, number, node
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
        return self.item.ask.work

    def endpoint(self) -> str | None:
        if self.outcome is not None or self.item.answer is not None or not self._core.may_repeat(self):
            return None
        return self._core.directory.endpoint(self.node)

    def written(self) -> None:
        if not self._whole:
            self._whole = True
            self._core.figures.dispatches += 1

    def answering(self) -> None:
        if self._heard_at is None:
            self._heard_at = self._core.now

    def ended(
        self, outcome: api.Outcome, value: Any = None, used: int = 0, report: dict[str, float] | None = None
    ) -> None:
        if self.outcome is None:
            self.outcome = outcome
            self._core.attempt_ended(self, outcome, value, used, report or {})


class Request:
    __slots__ = (
        "ticket",
        "ask",
        "backend",
        "answered",
        "began_at",
        "until_us",
        "attempts",
        "answer",
        "timer",
    )

    def __init__(
        self, ticket: str, ask: RequestSpec, backend: Backend, answered: ResponseCallback, now: int
    ) -> None:
        self.ticket, self.ask, self.backend, self.answered = ticket, ask, backend, answered
        self.began_at, self.until_us = now, now + ask.wait_us
        self.attempts: list[Attempt] = []
        self.answer: Answer | None = None
        self.timer: Timer | None = None

    def out(self) -> list[Attempt]:
        return [a for a in self.attempts if a.outcome is None]


class RequestEngine:
    def __init__(self, module: DecisionModule, timers: Timers, limits: Limits) -> None:
        """`module`: what is fed the events, which may be put into something else later."""
        self.module, self._timers, self._limits = module, timers, limits
        self._settings = module.s
        self.directory = EndpointRegistry()
        self.figures = RequestMetrics(module.s.classes)
        self.subscriptions: Subscriptions | None = None
        self.observers: list[Observer] = []
        self.tell: Callable[[bytes, int], None] | None = None  # where heads may send each other messages
        self._items: dict[str, Request] = {}
        self._events: list[api.Event] = []
        self._open_bytes = 0
        self.open = 0  # items not yet answered
        self.part = 1.0  # of the head's room, to be kept to while another process has the rest
        self.may_act: Callable[[int], bool] | None = None  # where it has to show that it is current
        self.out = False  # it can't: nothing is sent
        self.on_out: list[Callable[[bool], None]] = []

    @property
    def now(self) -> int:
        return self._timers.now

    @property
    def settings(self) -> api.Settings:
        """Those in force."""
        return self._settings

    # From fronts

    def accept(self, ask: RequestSpec, backend: Backend, answered: ResponseCallback) -> str:
        """Takes an item; `answered` is called exactly once, unless the client leaves first. Raises Unfit
        for what the settings have no place for: it would spoil what the module keeps for others."""
        if why := self._unfit(ask):
            raise InvalidRequestError(why)
        self.figures.taken += 1
        item = Request(f"i{self.figures.taken}", ask, backend, answered, self._timers.now)
        self.open += 1
        self._open_bytes += ask.size
        self._items[item.ticket] = item
        if self.used > self.part or self.out:
            # The head's own room, not a server's: the one refusal that is not the controller's.
            self._finish(item, Rejected(self._settings.max_retry_after_us))
        else:
            item.timer = self._timers.call_at(item.until_us, lambda: self._deadline(item))
            self._events.append(
                api.Arrival(
                    item.ticket,
                    ask.cls,
                    ask.plan,
                    ask.volume,
                    ask.key,
                    ask.units,
                    ask.cell,
                    item.until_us,
                    ask.volume_hosts,
                    ask.is_retry,
                    ask.is_write,
                )
            )
        return item.ticket

    @property
    def used(self) -> float:
        """What part of the head's own room is taken."""
        return max(self.open / self._limits.open_items, self._open_bytes / self._limits.open_bytes)

    def _unfit(self, ask: RequestSpec) -> str:
        settings = self._settings
        if ask.cls not in settings.classes:
            return "unknown class"
        if ask.plan not in settings.plans:
            return "unknown plan"
        if settings.cells and ask.cell >= settings.cells:
            return "unknown shard"
        if ask.units > settings.max_units:
            return "more units than the largest request has"
        return "more hosts than there are" if ask.volume_hosts > settings.hosts else ""

    def turn_away(self, ticket: str, why: str) -> None:
        """The client is told at once that this is not done, whatever is out for it."""
        item = self._items.get(ticket)
        if item and item.answer is None:
            self._finish(item, Failed(why))
            self._events.append(api.ClientLeft(ticket))

    def turn_away_all(self, why: str) -> None:
        for ticket in list(self._items):
            self.turn_away(ticket, why)

    def left(self, ticket: str) -> None:
        """The client has gone away: nobody is owed an answer any more."""
        if item := self._items.get(ticket):
            item.answered = lambda _: None
        self.turn_away(ticket, "client left")

    # From the operator

    def settings_changed(self, settings: api.Settings) -> None:
        self._settings = settings
        self.figures.know(settings.classes)
        self._events.append(api.NewSettings(settings))

    def ban(self, banned: frozenset[str]) -> None:
        """These servers are sent nothing from now on; those put back may be again, as if just started."""
        if changed := self.directory.ban(banned, self._timers.now):
            self._events.append(api.EndpointListUpdate(tuple(changed)))

    def metrics(self) -> str:
        """The figures as text, true at this moment."""
        return encode(self.figures, self.open, len(self.directory), self.directory.avoided)

    # From the directory

    def listed(self, listing: EndpointListing) -> None:
        if odd := self.directory.apply(listing):
            log.warning("odd list", extra={"kv": {"first": odd[0], "count": len(odd)}})
        entries = tuple(map(self.directory.as_used, listing.entries))
        self._events.append(api.EndpointListUpdate(entries, listing.whole, at_start=listing.at_start))

    def list_failed(self, queued: bool = False, unheard_us: int = 0) -> None:
        self._events.append(api.EndpointListUpdate(failed=True, queued=queued, unheard_us=unheard_us))

    # From other heads

    def told(self, sender: int, payload: bytes) -> None:
        self._events.append(api.PeerMessage(sender, payload))

    # From backends

    def attempt_ended(
        self, attempt: Attempt, outcome: api.Outcome, value: Any, used: int, report: dict[str, float]
    ) -> None:
        item, now = attempt.item, self._timers.now
        attempt.ended_at = now
        if outcome is api.Outcome.SERVED and item.answer is None:
            self._finish(item, Served(value))
        elif isinstance(value, Body):
            value.end(False)  # nobody waits for it any more
        self._events.append(
            api.Result(
                item.ticket,
                attempt.number,
                attempt.node,
                outcome,
                attempt.took_us,
                item.answer is not None,
                used,
                report,
            )
        )
        self._drop_settled(item)

    # The turn

    def turn(self) -> None:
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
        if out == self.out:
            return
        self.out = out
        log.warning("out" if out else "acts again", extra={"kv": {"open": self.open}})
        if out:
            for item in [i for i in self._items.values() if i.answer is None and not i.out()]:
                # What has not run, or may run again, can be had elsewhere; what is out is finished.
                cls = self._settings.classes.get(item.ask.cls)
                harmless = (
                    cls is not None
                    and cls.effect is api.Effect.SAFE
                    or all(a.outcome in NEVER_RAN for a in item.attempts)
                )
                self._finish(
                    item, Rejected(self._settings.max_retry_after_us) if harmless else Failed("not current")
                )
                self._events.append(api.ClientLeft(item.ticket))
        for told in self.on_out:
            told(out)

    def may_repeat(self, attempt: Attempt) -> bool:
        """Asked again at the first byte: while a connection comes up, the window for repeats may pass."""
        cls = self._settings.classes.get(attempt.item.ask.cls)
        if not attempt.number or cls is None or cls.effect is api.Effect.SAFE:
            return True
        ran = [a for a in attempt.item.attempts[: attempt.number] if a.outcome not in NEVER_RAN]
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
                item = self._items.get(action.request)
                if item and action.attempt < len(item.attempts):
                    self._stop(item.attempts[action.attempt], api.Outcome.CANCELLED)
            case api.WakeAfter():
                token = action.token
                self._timers.call_at(
                    self._timers.now + action.span_us, lambda: self._events.append(api.TimerFired(token))
                )
            case api.Subscribe():
                if self.subscriptions:
                    self.subscriptions.subscribe()
            case api.SendPeerMessage():
                if self.tell:
                    self.tell(action.payload, action.to)
            case api.Log():
                log.info("decision", extra={"kv": {"note": action.text}})
            case api.Probe():
                log.error("probe asked for, none is allowed", extra={"kv": {"node": action.node}})

    def _send(self, send: api.Send) -> None:
        item = self._items.get(send.request)
        if item is None:
            return
        now = self._timers.now
        until = min(send.until_us or item.until_us, item.until_us)
        attempt = Attempt(self, item, len(item.attempts), send.node, until, now)
        most = self._limits.copies if self._settings.parallel_attempts and item.ask.copies else 1
        busy = len(item.out()) >= most
        item.attempts.append(attempt)
        # Never more at once than is allowed, never past the last attempt, never to a server that drains.
        if (
            busy
            or self.out
            or item.answer is not None
            or now >= until
            or attempt.endpoint() is None
            or attempt.number >= self._settings.max_attempts
        ):
            attempt.ended(api.Outcome.MOOT)
            return
        if until < item.until_us:
            self._timers.call_at(until, lambda: self._stop(attempt, api.Outcome.TIMEOUT))
        item.backend.start(attempt)

    def _stop(self, attempt: Attempt, outcome: api.Outcome) -> None:
        if attempt.outcome is None:
            attempt.item.backend.stop(attempt)
            attempt.ended(outcome)

    def _deadline(self, item: Request) -> None:
        for attempt in item.out():
            self._stop(attempt, api.Outcome.TIMEOUT)
        if item.answer is None:
            # From now on: after a stall both times have passed, and the controller is to have its turn first.
            item.timer = self._timers.call_at(
                self._timers.now + DEADLINE_GRACE_US, lambda: self._overdue(item)
            )

    def _overdue(self, item: Request) -> None:
        """Guards the one rule no defect may break: an accepted item gets its answer."""
        if item.answer is None:
            log.error("controller gave no answer in time", extra={"kv": {"item": item.ticket}})
            self._finish(item, Failed("deadline passed"))
            self._events.append(api.ClientLeft(item.ticket))

    def _final(self, ticket: str, answer: Answer) -> None:
        item = self._items.get(ticket)
        if item and item.answer is None:
            self._finish(item, answer)

    def _finish(self, item: Request, answer: Answer) -> None:
        item.answer = answer
        self._open_bytes -= item.ask.size
        if isinstance(answer, Served) and isinstance(answer.value, Body):
            # Its last byte is its end; from the first on nothing else can be answered.
            answer.value.on_end.append(
                lambda whole: self._ended(item, answer if whole else Failed("cut short"))
            )
        else:
            self._ended(item, answer)
        if item.timer and not item.out():
            item.timer.cancel()
        item.answered(answer)
        if self.observers:
            trail = [
                (a.node, a.outcome.value if a.outcome else "out", a.sent_at, a.ended_at)
                for a in item.attempts
            ]
            for observer in self.observers:
                observer.item_ended(item.ask, answer, item.began_at, self._timers.now, trail)
        self._drop_settled(item)

    def _ended(self, item: Request, answer: Answer) -> None:
        self.figures.end(item.ask.cls, answer)
        self.open -= 1

    def _drop_settled(self, item: Request) -> None:
        if item.answer is not None and not item.out():
            self._items.pop(item.ticket, None)
