"""Decides how many attempts of this instance may be in flight at a backend: its concurrency limit."""

from garnetlanding.decision import interface as api
from garnetlanding.decision import tuning
from garnetlanding.decision.backend_health import BackendHealth
from garnetlanding.decision.state import ControllerState


def concurrency_limit(state: ControllerState, health: BackendHealth) -> float:
    """Return how many attempts may be in flight at a backend, at least one.

    By Little's law, the limit is what the backend completes within the tightest latency objective, within the
    design's bounds. Slow responses lower it below the floor (a departure from the design), by
    `BackendHealth.concurrency_factor`, and a suspected backend gets one attempt at a time.
    """
    completions = health.served.total(state.now - tuning.COMPLETION_WINDOW)
    by_completions = completions / tuning.COMPLETION_WINDOW * state.parameters.tightest_objective_us
    process_quota = state.settings.process_quota
    ceiling = tuning.CONCURRENCY_CEILING * process_quota
    floor = tuning.CONCURRENCY_FLOOR * process_quota
    shared_quota: float = tuning.CONCURRENCY_CEILING
    if state.budgets.quotas:
        name = api.concurrency_budget(health.endpoint.backend)
        shared_quota = state.budgets.quotas.get(name, shared_quota)
    limit = min(shared_quota, ceiling, max(floor, by_completions))
    if state.now < health.suspected_until:
        return 1.0
    return max(1.0, health.concurrency_factor * limit)
