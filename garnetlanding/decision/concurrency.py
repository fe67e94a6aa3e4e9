"""The concurrency limit of a backend: how many of this instance's attempts may be in flight there at once."""

from garnetlanding.decision import interface as api
from garnetlanding.decision import tuning
from garnetlanding.decision.backend_health import BackendHealth
from garnetlanding.decision.state import ControllerState


def concurrency_limit(state: ControllerState, health: BackendHealth) -> float:
    """Return how many attempts may be in flight at a backend, at least one.

    By Little's law, what it serves within the tightest latency objective, in the design's bounds. Slow
    answers shrink it below the floor (a departure from the design); a suspected backend gets one attempt.
    """
    completions = health.served.total(state.now - tuning.COMPLETION_WINDOW)
    by_completions = completions / tuning.COMPLETION_WINDOW * state.tightest_objective_us
    process_quota = state.settings.process_quota
    most: float = tuning.DEPTH_CEILING
    if state.budget_quotas:
        most = state.budget_quotas.get(api.concurrency_budget(health.endpoint.backend), most)
    depth = min(
        most, tuning.DEPTH_CEILING * process_quota, max(tuning.DEPTH_FLOOR * process_quota, by_completions)
    )
    if state.now < health.suspected_until:
        return 1.0
    return max(1.0, health.depth_factor * depth)
