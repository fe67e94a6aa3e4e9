"""Decides the concurrency limit: how many attempts of this instance may be in flight at a backend."""

from garnetlanding.decision import interface as api
from garnetlanding.decision import tuning
from garnetlanding.decision.backend_health import BackendHealth
from garnetlanding.decision.state import ControllerState


def concurrency_limit(state: ControllerState, health: BackendHealth) -> float:
    """Return how many attempts may be in flight at a backend, at least one.

    By Little's law, the limit is the number of requests that the backend completes within the tightest
    latency objective, clamped between a floor and a ceiling. Unlike in C-SFQ(D), slow responses lower it
    below the floor (`BackendHealth.concurrency_factor`). A suspected backend gets one attempt at a time.
    """
    completions = health.served.total(state.now - tuning.COMPLETION_WINDOW_US)
    by_completions = completions / tuning.COMPLETION_WINDOW_US * state.derived_settings.tightest_objective_us
    process_quota = state.settings.process_quota
    ceiling = tuning.CONCURRENCY_CEILING * process_quota
    floor = tuning.CONCURRENCY_FLOOR * process_quota
    shared_quota: float = tuning.CONCURRENCY_CEILING
    if state.budgets.quotas:
        name = api.concurrency_budget_name(health.endpoint.backend)
        shared_quota = state.budgets.quotas.get(name, shared_quota)
    limit = min(shared_quota, ceiling, max(floor, by_completions))
    if state.now < health.suspected_until:
        return 1.0
    return max(1.0, health.concurrency_factor * limit)
