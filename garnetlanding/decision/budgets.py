"""The budgets of one instance, and its quotas of the budgets that all instances share."""

from __future__ import annotations

from garnetlanding.decision import interface as api
from garnetlanding.decision.token_bucket import HedgeBudget, RetryBudget


class Budgets:
    """Owns the budgets of retries and hedges, and this instance's quotas of the shared budgets.

    `quotas` holds the quotas by the budget's name, as multiples of an equal quota; a budget that is not named
    has 1. `process_warmup_quota` is this process's fraction of the instance's warm-up budgets; it is below 1
    while two processes of the instance run during an upgrade.
    """

    __slots__ = ("hedges", "process_warmup_quota", "quotas", "retries")

    def __init__(self, settings: api.Settings) -> None:
        self.retries = RetryBudget(settings.retry_budget_window_us)
        self.hedges = HedgeBudget()
        self.quotas: dict[str, float] = {}
        self.process_warmup_quota = settings.process_quota

    def quota(self, name: str) -> float:
        """Return this instance's quota of a shared budget, as a multiple of an equal quota."""
        return self.quotas.get(name, 1.0)

    def lower_process_warmup_quota(self, process_quota: float) -> None:
        """Lower the warm-up quota to the process quota, if that is less."""
        self.process_warmup_quota = min(self.process_warmup_quota, process_quota)

    def raise_process_warmup_quota(self, gained_quota: float, process_quota: float) -> None:
        """Raise the warm-up quota to `gained_quota`, but not beyond the present process quota."""
        self.process_warmup_quota = max(self.process_warmup_quota, min(gained_quota, process_quota))
