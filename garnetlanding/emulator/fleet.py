"""A whole fleet on a fake clock: many decision modules, shared bricks, one discovery of fixed capacity.

A check beside the bench and no replacement: bricks serve in turn at one rate, there is no network time, and
what counts are sums over heads that no single head sees. The same seed gives the same day.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from garnetlanding.decision import interface as api
from garnetlanding.decision.control import Controller

MS, SECOND = 1_000, 1_000_000
READ = api.ClassSpec("read", 2.0, 0.15, 550 * MS, 2640 * MS, api.Effect.SAFE)
WRITE = api.ClassSpec("write", 2.0, 0.2, 880 * MS, 4400 * MS, api.Effect.SAFE)
PLANS = {
    "standard": api.PlanSpec("standard", 1.0, 1.2, 0.6, price=0.72),
    "priority": api.PlanSpec("priority", 1.0, 1.9, 2.3, price=1.2),
}


@dataclass(frozen=True, slots=True)
class Day:
    """What a day is made of. Times are microseconds, rates units a second."""

    kind: str = "herd"  # herd, zone or join
    heads: int = 40
    bricks: int = 60
    seed: int = 1
    length_us: int = 24 * SECOND
    volumes_each: int = 5  # for each brick
    load: float = 1.0  # asked for, in usual rates
    rate: float = 18.0  # of a brick, warm
    queue: int = 60  # requests a brick holds
    connections: int = 200  # a brick takes, one for each head that has sent to it
    warmup_initial_share: float = 0.2
    warmup_us: int = 14 * SECOND
    warmup_units: float = 2.0
    overload_multiple: float = 2.5
    overload_window_us: int = 1500 * MS
    pushed: bool = False  # lists come unasked, `late_us` late
    late_us: int = 3 * SECOND
    list_calls: float = 100.0  # a second that discovery does
    overbooked_calls: float = 6.0  # the same on a herd day, from where the watches end
    list_patience_us: int = 2 * SECOND  # a call that waited longer fails, its turn used up all the same
    down_us: int = 0  # from the trouble on discovery fails every call for so long, and watches end
    silent: float = 0.0  # part of the bricks that take work and never answer, from the trouble on
    begins_us: int = 7 * SECOND  # the trouble
    part: float = 0.6  # of bricks replaced (join), lost (zone: half of it), of heads killed (herd)
    over_us: int = 7 * SECOND  # replacements are spread over this
    gap_us: int = 3 * SECOND  # a cell is empty for so long; a lost zone is away


@dataclass(slots=True)
class Tally:
    """Sums over all heads."""

    asked: float = 0.0  # worth, all of it in time
    earned: float = 0.0
    calls: int = 0
    calls_failed: int = 0
    handshakes: int = 0
    worst_queue: int = 0
    cold_peak: float = 0.0  # of what the rule allows a cold brick in any window; over 1 it falls over
    unanswered: int = 0
    twice: int = 0

    @property
    def served(self) -> float:
        return self.earned / self.asked if self.asked else 0.0


@dataclass(slots=True, eq=False)
class Brick:
    name: str
    cell: int
    started_us: int = 0
    up: bool = True
    draining: bool = False
    silent: bool = False
    free_at: int = 0
    held: int = 0
    peers: set[int] = field(default_factory=set)
    sent: deque[tuple[int, float]] = field(default_factory=deque)
    window: float = 0.0


@dataclass(slots=True, eq=False)
class Item:
    ask: api.Arrival
    came: int
    worth: float
    out: int | None = None  # the attempt that is out
    tries: int = 0
    answered: bool = False


class Fleet:
    def __init__(self, day: Day) -> None:
        self.day, self.now, self.tally = day, 0, Tally()
        self.rng = random.Random(day.seed)
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0
        self.bricks = {f"b{c}": Brick(f"b{c}", c) for c in range(day.bricks)}
        self.heads: list[Controller | None] = [None] * day.heads
        self.lives = [0] * day.heads
        self.watching: set[int] = set()
        self.items: list[dict[str, Item]] = [{} for _ in range(day.heads)]
        self.waiting: deque[tuple[int, int, int]] = deque()  # calls at discovery: came, head, its life
        self.busy, self.list_calls = False, day.list_calls
        first = tuple(self._entry(b) for b in self.bricks.values())
        for me in range(day.heads):
            self._start(me, first)
        self._plan_load()
        getattr(self, f"_{day.kind}")()
        if day.down_us:
            self._at(day.begins_us, self._watches_end)
        for b in self.rng.sample(list(self.bricks.values()), int(day.silent * day.bricks)):
            self._at(day.begins_us, lambda b=b: setattr(b, "silent", True))  # type: ignore[misc]

    def run(self) -> Tally:
        end = self.day.length_us + WRITE.deadline_us + SECOND
        while self._events and self._events[0][0] <= end:
            self.now, _, step = heapq.heappop(self._events)
            step()
        self.tally.unanswered = sum(not i.answered for items in self.items for i in items.values())
        return self.tally

    def _at(self, when: int, step: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (when, self._count, step))

    # Heads

    def _start(self, me: int, known: tuple[api.Endpoint, ...]) -> None:
        day = self.day
        self.lives[me] += 1
        self.items[me] = {}
        self.heads[me] = Controller(
            api.Settings(
                instances=day.heads,
                instance_id=me,
                tick_us=MS,
                classes={"read": READ, "write": WRITE},
                plans=PLANS,
                poll_endpoints=not day.pushed,
                max_attempts=4,
                parallel_attempts=False,
                may_cancel=True,
                may_probe=False,
                honors_retry_after=True,
                max_retry_after_us=2 * SECOND,
                warmup_initial_share=day.warmup_initial_share,
                warmup_us=day.warmup_us,
                warmup_units=day.warmup_units,
                overload_multiple=day.overload_multiple,
                overload_window_us=day.overload_window_us,
                ordered_key_rest_us=0,
                retry_budget_ratio=0.0,
                retry_budget_floor=0.0,
                retry_budget_window_us=0,
                over_quota_value_share=0.4,
                idle_value_share=0.08,
                max_units=6.0,
                cells=day.bricks,
            ),
            seed=day.seed * 1000 + me * 10 + self.lives[me],
        )
        self._tell(me, api.EndpointListUpdate(known, whole=True, at_start=True))

    def _tell(self, me: int, event: api.Event) -> None:
        head, life = self.heads[me], self.lives[me]
        if head is None:
            return
        for action in head.handle(self.now, [event]):
            match action:
                case api.Send():
                    self._send(me, action)
                case api.Reject() | api.Fail():
                    self._answer(me, action.request, 0.0)
                case api.WakeAfter():
                    self._at(self.now + action.span_us, lambda: self._alive(me, life, api.TimerFired("look")))
                case api.Subscribe():
                    self.tally.calls += 1
                    self._call(me, life)
                case api.Cancel():
                    item = self.items[me].get(action.request)
                    if item and item.out == action.attempt:
                        item.out = None
                        self._at(
                            self.now, self._result(me, life, item, action.attempt, api.Outcome.CANCELLED)
                        )

    def _alive(self, me: int, life: int, event: api.Event) -> None:
        if self.lives[me] == life:
            self._tell(me, event)

    def _answer(self, me: int, ticket: str, share: float) -> None:
        item = self.items[me][ticket]
        self.tally.twice += item.answered
        item.answered = True
        self.tally.earned += item.worth * share

    def _result(
        self, me: int, life: int, item: Item, attempt: int, outcome: api.Outcome
    ) -> Callable[[], None]:
        sent = self.now

        def end() -> None:
            if self.lives[me] != life:
                return
            if outcome is not api.Outcome.CANCELLED:
                if item.out != attempt:
                    return  # stopped before
                item.out = None
            if outcome is api.Outcome.SERVED and not item.answered:
                cls = WRITE if item.ask.is_write else READ
                in_time = self.now - item.came <= cls.latency_objective_us
                self._answer(me, item.ask.request, 1.0 if in_time else cls.late_value_share)
            self._tell(me, api.Result(item.ask.request, attempt, "", outcome, self.now - sent, item.answered))

        return end

    # Bricks

    @staticmethod
    def _entry(b: Brick, gone: bool = False) -> api.Endpoint:
        state = (
            api.EndpointState.GONE
            if gone
            else api.EndpointState.DRAINING
            if b.draining
            else api.EndpointState.UP
        )
        return api.Endpoint(b.name, b.cell, "z", state, b.started_us)

    def _warmth(self, b: Brick) -> float:
        day = self.day
        age = min(1.0, (self.now - b.started_us) / day.warmup_us) if b.started_us else 1.0
        return day.warmup_initial_share + (1 - day.warmup_initial_share) * age

    def _send(self, me: int, send: api.Send) -> None:
        item, b, day = self.items[me][send.request], self.bricks[send.node], self.day
        item.out = attempt = item.tries
        item.tries += 1
        life, outcome, until = self.lives[me], api.Outcome.SERVED, self.now
        if not b.up or (me not in b.peers and len(b.peers) >= day.connections):
            outcome = api.Outcome.UNREACHABLE
        else:
            self.tally.handshakes += me not in b.peers
            b.peers.add(me)
            self._press(b, item.ask.units)
            if b.draining or b.held >= day.queue:
                outcome = api.Outcome.FULL
            else:
                b.held += 1
                self.tally.worst_queue = max(self.tally.worst_queue, b.held)
                spread = self.rng.expovariate(1.0)
                b.free_at = max(b.free_at, self.now) + int(
                    item.ask.units / day.rate / self._warmth(b) * SECOND * spread
                )
                until = b.free_at
                self._at(until, lambda: self._done(b))
        if not b.silent or outcome is api.Outcome.UNREACHABLE:
            self._at(until, self._result(me, life, item, attempt, outcome))
        self._at(item.ask.until_us, self._result(me, life, item, attempt, api.Outcome.TIMEOUT))

    @staticmethod
    def _done(b: Brick) -> None:
        b.held -= 1

    def _press(self, b: Brick, units: float) -> None:
        """Adds to what a cold brick was sent in the window, against what the rule allows it."""
        day = self.day
        if not b.started_us or self.now >= b.started_us + day.warmup_us:
            return
        b.sent.append((self.now, units))
        b.window += units
        while b.sent[0][0] <= self.now - day.overload_window_us:
            b.window -= b.sent.popleft()[1]
        allowed = max(
            day.warmup_units,
            day.overload_multiple * self._warmth(b) * day.rate * day.overload_window_us / SECOND,
        )
        self.tally.cold_peak = max(self.tally.cold_peak, b.window / allowed)

    # Discovery: calls in turn; a watch tells changes until discovery goes down

    def _call(self, me: int, life: int) -> None:
        self.waiting.append((self.now, me, life))
        if not self.busy:
            self._next_call()

    def _next_call(self) -> None:
        self.busy = bool(self.waiting)
        if self.busy:
            self._at(self.now + int(SECOND / self.list_calls), self._call_done)

    def _call_done(self) -> None:
        came, me, life = self.waiting.popleft()
        begins = self.day.begins_us
        if begins <= self.now < begins + self.day.down_us or self.now - came > self.day.list_patience_us:
            self.tally.calls_failed += 1
            queued = self.now - came > self.day.list_patience_us
            self._alive(me, life, api.EndpointListUpdate(failed=True, queued=queued))
        elif self.lives[me] == life:
            self.watching.add(me)
            up = tuple(self._entry(b) for b in self.bricks.values() if b.up)
            self._tell(me, api.EndpointListUpdate(up, whole=True))
        self._next_call()

    def _changed(self, *entries: api.Endpoint) -> None:
        if self.day.pushed:
            lives = list(self.lives)
            for me in range(self.day.heads):
                self._at(
                    self.now + self.day.late_us,
                    lambda me=me: self._alive(me, lives[me], api.EndpointListUpdate(entries)),  # type: ignore[misc]
                )
        for me in sorted(self.watching):
            self._tell(me, api.EndpointListUpdate(entries))

    def _watches_end(self) -> None:
        if self.day.kind == "herd":
            self.list_calls = self.day.overbooked_calls
        ended, self.watching = sorted(self.watching), set()
        for me in ended:
            self._tell(me, api.EndpointListUpdate(failed=True))

    # The day's load

    def _plan_load(self) -> None:
        day, rng = self.day, self.rng
        for n in range(day.bricks * day.volumes_each):
            plan = PLANS[rng.choice(sorted(PLANS))]
            hosts = rng.sample(range(day.heads), min(day.heads, rng.randint(1, 3)))
            cells = rng.sample(range(day.bricks), rng.randint(1, 3))
            at = 0.0
            while True:
                units = rng.choice((1, 1, 2, 3, 4))
                at += rng.expovariate(plan.usual_rate * day.load / 2.2) * SECOND
                if at >= day.length_us:
                    break
                write = rng.random() < 0.3
                cell = -1 if write else rng.choice(cells)
                self._at(int(at), self._arrival(rng.choice(hosts), f"v{n}", plan, units, cell, len(hosts)))

    def _arrival(
        self, me: int, volume: str, plan: api.PlanSpec, units: int, cell: int, hosts: int
    ) -> Callable[[], None]:
        def come() -> None:
            cls = WRITE if cell < 0 else READ
            worth = cls.priority_weight * plan.price * units
            self.tally.asked += worth
            if self.heads[me] is None:
                return  # lost to its client
            self._count += 1
            ask = api.Arrival(
                f"r{self._count}",
                cls.name,
                plan.name,
                volume,
                "",
                units,
                cell,
                self.now + cls.deadline_us,
                hosts,
                is_write=cell < 0,
            )
            self.items[me][ask.request] = Item(ask, self.now, worth)
            self._tell(me, ask)

        return come

    # Troubles

    def _replace(self, cells: list[int]) -> None:
        day = self.day
        for i, cell in enumerate(cells):
            at = day.begins_us + day.over_us * i // len(cells)
            self._at(at, lambda cell=cell: self._drain(f"b{cell}"))  # type: ignore[misc]
            self._at(at + day.gap_us, lambda cell=cell: self._renew(f"b{cell}", f"b{cell}-new"))  # type: ignore[misc]

    def _drain(self, name: str) -> None:
        self.bricks[name].draining = True
        self._changed(self._entry(self.bricks[name]))

    def _renew(self, old: str, new: str) -> None:
        gone = self.bricks[old]
        gone.up = False
        self.bricks[new] = Brick(new, gone.cell, started_us=self.now)
        self._changed(self._entry(gone, gone=True), self._entry(self.bricks[new]))

    def _join(self) -> None:
        cells = self.rng.sample(range(self.day.bricks), int(self.day.part * self.day.bricks))
        self._replace(cells)

    def _zone(self) -> None:
        day = self.day
        lost = [f"b{c}" for c in self.rng.sample(range(day.bricks), int(day.part / 2 * day.bricks))]

        def lose() -> None:
            for name in lost:
                self.bricks[name].up = False

        def back() -> None:
            for name in lost:
                old = self.bricks[name]
                self.bricks[name] = Brick(name, old.cell, started_us=self.now)
                self._changed(self._entry(self.bricks[name]))

        self._at(day.begins_us, lose)
        self._at(day.begins_us + day.gap_us, back)

    def _herd(self) -> None:
        day = self.day
        first = tuple(self._entry(b) for b in self.bricks.values())
        killed = self.rng.sample(range(day.heads), int(0.7 * day.heads))

        def kill() -> None:
            for me in killed:
                self.heads[me] = None
                self.lives[me] += 1
                self.watching.discard(me)
                self.items[me] = {}

        def again() -> None:
            for me in killed:
                self._start(me, first)

        self._at(day.begins_us - 5 * SECOND, self._watches_end)
        self._replace(self.rng.sample(range(day.bricks), int(day.part * day.bricks)))
        self._at(day.begins_us + 2 * SECOND, kill)
        self._at(day.begins_us + 4 * SECOND, again)


def play(kind: str, heads: int, seed: int = 1, **changes: object) -> Tally:
    """One day, of the kind herd, zone or join, as so many heads live through it."""
    return Fleet(replace(Day(kind=kind, heads=heads, seed=seed), **changes)).run()  # type: ignore[arg-type]
