"""The budgets of one instance, and its quotas of the budgets that all instances share."""

from __future__ import annotations

from garnetlanding.decision import interface as api
from garnetlanding.decision.token_bucket import HedgeBudget, RetryBudget


class Budgets:
    """Owns the budgets of retries and hedges, and the quotas of budgets shared with others.

    `quotas` holds the quota of each budget of all instances by name, as a multiple of an even one; a budget
    that is not named has 1. `process_warmup_quota` is this process's fraction of the instance's warm-up
    budgets, beside another process of the instance during an upgrade.
    """

    __slots__ = ("hedges", "process_warmup_quota", "quotas", "retries")

    def __init__(self, settings: api.Settings) -> None:
        self.retries = RetryBudget(settings.retry_budget_window_us)
        self.hedges = HedgeBudget()
        self.quotas: dict[str, float] = {}
        self.process_warmup_quota = settings.process_quota

    def quota(self, name: str) -> float:
        """Return this instance's quota of a budget that is a multiple of an even quota."""
        return self.quotas.get(name, 1.0)

    def lower_process_warmup_quota(self, process_quota: float) -> None:
        """Lower the warm-up quota to the process's quota, if that is less."""
        self.process_warmup_quota = min(self.process_warmup_quota, process_quota)

    def raise_process_warmup_quota(self, gained_quota: float, process_quota: float) -> None:
        """Raise the warm-up quota to one gained earlier, at most to the process's present quota."""
        self.process_warmup_quota = max(self.process_warmup_quota, min(gained_quota, process_quota))
