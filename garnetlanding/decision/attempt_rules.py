"""Whether a request may get an attempt, its first or a further one, at a backend now."""

from garnetlanding.decision import interface as api
from garnetlanding.decision.backend_health import BackendHealth
from garnetlanding.decision.interface import DeduplicationScope, Effect
from garnetlanding.decision.requests import Attempt, Request
from garnetlanding.decision.state import ControllerState


def may_attempt(state: ControllerState, request: Request, health: BackendHealth) -> bool:
    """Return whether the client's time, the retry budget and the class's effect allow an attempt there."""
    if state.now >= request.answer_by:
        return False
    if request.attempts and not _retry_budget_left(state):
        return False
    may_have_run = request.attempts_that_may_have_run()
    if not may_have_run:
        return True
    if request.in_flight() and not state.settings.parallel_attempts:
        return False
    return _repeat_is_harmless(state.now, request.traffic_class, may_have_run, health.endpoint)


def _retry_budget_left(state: ControllerState) -> bool:
    quota = state.budget_quota(api.RETRIES)
    return state.retry_budget.allows_retry(state.now, state.settings, quota)


def _repeat_is_harmless(
    now: int, traffic_class: api.ClassSpec, may_have_run: list[Attempt], endpoint: api.Endpoint
) -> bool:
    """Return whether the endpoint's backend drops a repeat of what may have run, or a repeat does nothing."""
    if traffic_class.effect is not Effect.KEYED:
        return traffic_class.effect is Effect.SAFE
    if now >= min(attempt.sent_at for attempt in may_have_run) + traffic_class.deduplication_window_us:
        return False
    if traffic_class.deduplication_scope is DeduplicationScope.ZONE:
        return all(attempt.health.endpoint.zone == endpoint.zone for attempt in may_have_run)
    if traffic_class.deduplication_scope is DeduplicationScope.CELL:
        return all(attempt.cell == endpoint.cell for attempt in may_have_run)
    return True


def refusal_is_harmless(request: Request) -> bool:
    """Return whether the client may be told to retry: nothing has run, or a repeat of it does no harm."""
    traffic_class = request.traffic_class
    if traffic_class.effect is Effect.SAFE:
        return True
    if traffic_class.effect is Effect.KEYED and traffic_class.deduplication_scope is DeduplicationScope.ALL:
        return True
    return not request.attempts_that_may_have_run()
