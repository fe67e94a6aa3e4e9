"""Records of volumes, requests and attempts. No decision is taken here."""

from __future__ import annotations

from dataclasses import dataclass, field

from garnetlanding.decision import interface as api
from garnetlanding.decision.backend_health import BackendHealth
from garnetlanding.decision.token_bucket import TokenBucket
from garnetlanding.decision.units import NEVER

UNLIMITED = 1e12
"""Units a second, and units at once, of a plan without a limit."""

NEVER_SEEN = (api.Outcome.UNREACHABLE, api.Outcome.NEVER_DISPATCHED)
"""Outcomes which prove that no backend has had the whole request."""

MAY_STILL_RUN = (api.Outcome.TIMEOUT, api.Outcome.RESET, api.Outcome.CANCELLED)
"""Outcomes after which the backend may still be at work on the attempt."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt at a backend."""

    health: BackendHealth
    cell: int
    sent_at: int
    written_off: bool = False  # does not take up the concurrency limit any more
    outcome: api.Outcome | None = None  # None: in flight

    def write_off(self) -> None:
        """Free its place in the concurrency limit; later calls change nothing."""
        if not self.written_off:
            self.written_off = True
            self.health.in_flight -= 1


@dataclass(slots=True, eq=False)
class Volume:
    """One volume: its weight in the fair queues and its token buckets."""

    weight: float
    plan: api.PlanSpec
    instances: int  # that its requests come through
    limit: TokenBucket = field(init=False)
    reserve: TokenBucket = field(init=False)
    usage_percent: int | None = None  # latest figure of what it got everywhere; None: no new one
    queued_units: float = 0.0
    arrived_units: float = 0.0  # ever queued, in any cell
    quota: float = field(init=False)  # this instance's part of the plan's limit and reserve

    def __post_init__(self) -> None:
        self.quota = 1 / self.instances

    @property
    def has_even_quota(self) -> bool:
        """Whether it has the quota share that any instance has by itself; another must not be forgotten."""
        return self.quota == 1 / self.instances

    def start_plan(self, now: int, plan: api.PlanSpec, settings: api.Settings) -> None:
        """Start with full buckets by that plan.

        A restarted instance can't know what its earlier incarnation spent: a limit starts with one request.
        """
        level = settings.max_units if plan.limit_rate else UNLIMITED
        self.plan = plan
        self.limit = TokenBucket(0.0, NEVER, now, level)
        self.reserve = TokenBucket(0.0, NEVER, now, NEVER)
        self.refit(now, settings)

    def refit(self, now: int, settings: api.Settings) -> None:
        """Fit both buckets to the plan and the quota share; a plan without a limit has all it can ask for."""
        share = self.quota * settings.process_quota
        plan = self.plan
        rate = plan.reserve_rate * share
        self.reserve.refit(now, rate, rate + settings.max_units)
        self.limit.refit(now, (plan.limit_rate or UNLIMITED) * share, (plan.limit_burst or UNLIMITED) * share)


@dataclass(slots=True, eq=False)
class Request:
    """One request from its arrival until its final answer and the end of its last attempt."""

    arrival: api.Arrival
    traffic_class: api.ClassSpec
    volume: Volume
    units: float
    sequence: int  # number of its arrival
    objective_at: int  # when its latency objective is missed
    answer_by: int  # when it must have a final answer
    priority_weight: float  # per unit, as far as this instance can tell
    reserved_units: float = 0.0  # drawn from the volume's reserve
    attempts: list[Attempt] = field(default_factory=list)
    answered: bool = False  # has its final answer, or needs none
    queued_cell: int | None = None  # in whose queue it is
    keeps_tags: bool = False  # in its queue: they were paid for by an earlier attempt
    virtual_time: float = 0.0  # of the queue when it joined
    start_tag: float = 0.0
    finish_tag: float = 0.0

    @property
    def id(self) -> str:
        """The name by which events and actions refer to it."""
        return self.arrival.request

    def tag(self) -> tuple[float, int]:
        """Return its place in the order of release: lower start tags first, then earlier arrivals."""
        return self.start_tag, self.sequence

    def in_flight(self) -> bool:
        """Return whether an attempt has no outcome yet."""
        for attempt in self.attempts:  # noqa: SIM110 - on the hot path, dearer with a generator
            if attempt.outcome is None:
                return True
        return False

    def attempts_that_may_have_run(self) -> list[Attempt]:
        """Return the attempts whose outcome does not prove that they had no effect."""
        return [attempt for attempt in self.attempts if attempt.outcome not in api.NEVER_RAN]

    def seen_by_a_backend(self) -> bool:
        """Return whether an attempt may have reached a backend whole."""
        return any(attempt.outcome not in NEVER_SEEN for attempt in self.attempts)
