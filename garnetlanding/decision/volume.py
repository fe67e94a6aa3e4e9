"""The state of one volume: its weight in the fair queues, its quota and its token buckets."""

from __future__ import annotations

from dataclasses import dataclass, field

from garnetlanding.decision import interface as api
from garnetlanding.decision.time_constants import NEVER
from garnetlanding.decision.token_bucket import TokenBucket

UNLIMITED = 1e12
"""Rate (units per second) and burst (units) of a plan without a limit."""


@dataclass(slots=True, eq=False)
class Volume:
    """The state of one volume at this instance."""

    weight: float
    plan: api.PlanSpec
    instances: int  # number of instances that receive its requests
    limit: TokenBucket = field(init=False)
    reserve: TokenBucket = field(init=False)
    usage_percent: int | None = None  # latest usage at all backends; None: no new figure
    queued_units: float = 0.0  # of requests without an attempt
    arrived_units: float = 0.0  # ever queued, in any cell
    quota: float = field(init=False)  # this instance's fraction of the plan's limit and reserve

    def __post_init__(self) -> None:
        self.quota = 1 / self.instances

    @property
    def has_default_quota(self) -> bool:
        """Whether the quota is that of a new volume, so that no state is lost when this one is dropped."""
        return self.quota == 1 / self.instances

    def start_plan(self, now: int, plan: api.PlanSpec, settings: api.Settings) -> None:
        """Apply a plan, with a full reserve.

        The bucket of the limit starts with the units of one request, because an instance does not know what
        it spent before a restart.
        """
        level = settings.max_units if plan.limit_rate else UNLIMITED
        self.plan = plan
        self.limit = TokenBucket(0.0, NEVER, now, level)
        self.reserve = TokenBucket(0.0, NEVER, now, NEVER)
        self.reconfigure_buckets(now, settings)

    def reconfigure_buckets(self, now: int, settings: api.Settings) -> None:
        """Set the rates and capacities of both buckets from the plan and the present quotas."""
        quota = self.quota * settings.process_quota
        plan = self.plan
        reserve_rate = plan.reserve_rate * quota
        self.reserve.reconfigure(now, reserve_rate, reserve_rate + settings.max_units)
        limit_rate = (plan.limit_rate or UNLIMITED) * quota
        limit_burst = (plan.limit_burst or UNLIMITED) * quota
        self.limit.reconfigure(now, limit_rate, limit_burst)
