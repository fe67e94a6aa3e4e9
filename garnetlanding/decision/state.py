"""Plain records that control.py keeps for one host. No decision is taken here."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from garnetlanding.decision import interface as api

SECOND = 1_000_000
NEVER_RAN = (
    api.Outcome.FULL,
    api.Outcome.UNREACHABLE,
    api.Outcome.NEVER_DISPATCHED,
)  # proof that it had no effect
UNLIMITED = 1e12  # units a second, and at once, of a plan without a limit


class Bucket:
    """A token bucket that fills at `rate` a second up to `most`."""

    def __init__(self, rate: float, most: float, now: int, level: float) -> None:
        self.rate, self.most, self.at, self.level = rate, most, now, level

    def has(self, now: int) -> float:
        self.level = min(self.most, self.level + self.rate * (now - self.at) / SECOND)
        self.at = now
        return self.level

    def refit(self, now: int, rate: float, most: float) -> None:
        """Fills at another rate up to another level from now on; what is above that level is gone."""
        self.has(now)
        self.rate, self.most = max(rate, 1e-9), most
        self.level = min(self.level, most)


class SlidingWindowSum:
    """Amounts by time; a total forgets what is older than it was asked for."""

    def __init__(self, keep: int) -> None:
        self._items: deque[tuple[int, float]] = deque()
        self._sum = 0.0
        self._keep = keep  # no total reaches back further
        self.last = -(1 << 62)

    def add(self, now: int, amount: float = 1) -> None:
        self.total(now - self._keep)
        self._items.append((now, amount))
        self._sum += amount
        self.last = now

    def total(self, since: int) -> float:
        """The sum over times past `since`, which never goes back from call to call."""
        while self._items and self._items[0][0] <= since:
            self._sum -= self._items.popleft()[1]
        self._sum = self._sum if self._items else 0.0
        return self._sum


class EwmaRate:
    """A mean amount a second, over about `span`."""

    def __init__(self) -> None:
        self.rate, self.at = 0.0, 0

    def add(self, now: int, amount: float, span: int) -> None:
        self.rate += amount * SECOND / span - self.rate * min(1.0, (now - self.at) / span)
        self.at = now


@dataclass(slots=True, eq=False)
class Health:
    """What this host has seen of one process: a restart or a replacement starts afresh."""

    entry: api.Endpoint
    cold_since: int
    served: SlidingWindowSum
    sent: SlidingWindowSum  # units
    out: int = 0
    latency: float = 0.0  # 0: unheard
    heard_at: int = 0
    units: float = 0.0  # mean of the same answers
    narrow: float = 1.0  # part of D in use
    errors: float = 0.0
    turned_away: int = 0  # requests in a row since it last served one
    unreached: int = 0  # connects that failed since it was last heard
    doubted: int = 0  # until when other hosts' word makes this one careful


@dataclass(slots=True, eq=False)
class Attempt:
    health: Health
    cell: int
    sent_at: int
    written_off: bool = False  # takes up no depth
    outcome: api.Outcome | None = None

    def write_off(self) -> None:
        self.health.out -= 0 if self.written_off else 1
        self.written_off = True


@dataclass(slots=True, eq=False)
class Volume:
    weight: float
    plan: api.PlanSpec
    hosts: int  # that its requests come through
    limit: Bucket = field(init=False)
    reserve: Bucket = field(init=False)
    used: int | None = None  # latest fleet figure, percent
    held_units: float = 0.0
    came: float = 0.0  # units ever held at any node
    part: float = field(init=False)  # of the plan's limit and reserve, at this host

    def __post_init__(self) -> None:
        self.part = 1 / self.hosts

    @property
    def even(self) -> bool:
        """Whether it has the part that any host has unless told: another one must not be forgotten."""
        return self.part == 1 / self.hosts

    def share(self, now: int, settings: api.Settings) -> None:
        """Refits both stores to the part; one without a limit has all it can ask for."""
        part, plan = self.part * settings.part, self.plan
        rate = plan.reserve_rate * part
        self.reserve.refit(now, rate, rate + settings.max_units)
        self.limit.refit(now, (plan.limit_rate or UNLIMITED) * part, (plan.limit_burst or UNLIMITED) * part)


@dataclass(slots=True, eq=False)
class Request:
    told: api.Arrival
    cls: api.ClassSpec
    volume: Volume
    seq: int
    aim_at: int
    answer_by: int
    value: float  # worth per unit, as far as this host can tell
    reserved: float = 0.0  # units drawn from the volume's reserve
    attempts: list[Attempt] = field(default_factory=list)
    node: Node | None = None  # where it is held
    floor: float = 0.0  # virtual time when it came
    start: float = 0.0
    finish: float = 0.0
    paid: bool = False  # a resend keeps the tag it has paid for
    over: bool = False

    def relative_size(self, health: Health) -> float:
        """Return its size as a multiple of the mean request there, at least 1."""
        return max(1.0, self.told.units / health.units) if health.units else 1.0

    def attempts_that_may_have_run(self) -> list[Attempt]:
        """Return the attempts whose outcome does not prove that they had no effect."""
        return [attempt for attempt in self.attempts if attempt.outcome not in NEVER_RAN]

    def tag(self) -> tuple[float, int]:
        return self.start, self.seq

    def out(self) -> bool:
        return any(a.outcome is None for a in self.attempts)


@dataclass(slots=True, eq=False)
class Flow:
    """One volume at one node: what is held, and the last one sent."""

    held: deque[Request] = field(default_factory=deque)
    last_start: float = 0.0
    last_units: float = 0.0
    finish: float = 0.0
    came: float = 0.0  # units ever held here


def retag(flow: Flow, v: float | None, weight: float) -> None:
    """With v: the retag of a weight change. Without: closes the gap of a request that left unsent."""
    if v is not None:
        flow.finish = flow.last_start + flow.last_units / weight
    previous = flow.finish
    for r in flow.held:
        if not r.paid:
            r.start = max(r.floor if v is None else v, previous)
            r.finish = previous = r.start + r.told.units / weight


@dataclass(slots=True, eq=False)
class Node:
    """One cell: its queue outlives the process that serves it."""

    cell: int
    health: Health | None = None
    flows: dict[str, Flow] = field(default_factory=dict)
    v: float = 0.0  # virtual time: the start tag last sent
    held: int = 0
    look_at: int = 1 << 62  # next planned look
    usual: EwmaRate = field(default_factory=EwmaRate)  # units a second served to this host while warm

    def leave(self, r: Request) -> Flow:
        flow = self.flows[r.told.volume]
        flow.held.remove(r)
        self.held, r.node = self.held - 1, None
        r.volume.held_units -= 0 if r.attempts else r.told.units
        return flow


@dataclass(slots=True, eq=False)
class Turn:
    """One in-order key."""

    waiting: deque[Request] = field(default_factory=deque)
    rest_until: int = 0
    admitted: Request | None = None


class Host:
    """One host's records and its agenda: the actions of a call, and steps to take later."""

    def __init__(self, log_lines: int, budget_span: int) -> None:
        self.now = 0
        self.actions: list[api.Action] = []
        self.requests: dict[str, Request] = {}
        self.volumes: dict[str, Volume] = {}
        self.entries: dict[str, api.Endpoint] = {}
        self.admin_disabled: set[int] = set()  # cells of which an operator has taken a process out
        self.nodes: dict[int, Node] = {}
        self.turns: dict[str, Turn] = {}
        self.news: dict[int, Node] = {}  # cells to look at in this call
        self.patience: dict[str, int] = {}  # longest time a client gave, by class
        self.taken = SlidingWindowSum(2 * budget_span)  # arrivals
        self.extra = SlidingWindowSum(2 * budget_span)  # attempts beyond a request's first
        self.count = 0
        self._due: list[tuple[int, int, Callable[[Any], None], Any]] = []
        self._wake_at: int | None = None
        self._logs_left = log_lines

    def begin(self, now: int) -> None:
        self.now, self.actions = now, []
        if self._wake_at is not None and self._wake_at <= now:
            self._wake_at = None

    def at(self, when: int, step: Callable[[Any], None], what: Any) -> None:
        """Calls step(what) in the first call at or past that time."""
        self.count += 1
        heapq.heappush(self._due, (when, self.count, step, what))

    def run_due(self) -> None:
        while self._due and self._due[0][0] <= self.now:
            _, _, step, what = heapq.heappop(self._due)
            step(what)

    def newest_up(self) -> dict[int, api.Endpoint]:
        """Of each cell, the listed process that is up; of several, the last to start."""
        up: dict[int, api.Endpoint] = {}
        for entry in self.entries.values():
            best = up.get(entry.cell)
            if entry.state is api.EndpointState.UP and (best is None or best.started_us < entry.started_us):
                up[entry.cell] = entry
        return up

    def with_news(self) -> Iterator[Node]:
        while self.news:
            yield self.news.popitem()[1]

    def look_at(self, node: Node, when: int) -> None:
        """Counts the node among those with news at that time, unless an earlier look is planned."""
        if when < node.look_at:
            node.look_at = when
            self.at(when, self._look, node)

    def _look(self, node: Node) -> None:
        node.look_at = 1 << 62
        self.news[node.cell] = node

    def finish(self) -> list[api.Action]:
        """The call's actions, with a wake-up for the next step."""
        if self._due and (self._wake_at is None or self._due[0][0] < self._wake_at):
            self._wake_at = max(self._due[0][0], self.now + 1)
            self.actions.append(api.WakeAfter(self._wake_at - self.now, "look"))
        return self.actions

    def act(self, action: api.Action) -> None:
        self.actions.append(action)

    def log(self, text: str) -> None:
        if self._logs_left > 0:
            self._logs_left -= 1
            self.act(api.Log(text))
