"""Decides whether a request may be attempted at a backend now, and whether it may be rejected."""

from garnetlanding.decision import interface as api
from garnetlanding.decision.backend_health import BackendHealth
from garnetlanding.decision.interface import DeduplicationScope, Effect
from garnetlanding.decision.requests import Attempt, Request
from garnetlanding.decision.state import ControllerState


def may_attempt(state: ControllerState, request: Request, health: BackendHealth) -> bool:
    """Return whether deadline, retry budget and idempotency allow an attempt at a backend."""
    if state.now >= request.answer_by:
        return False
    if request.attempts and not _retry_budget_allows(state):
        return False
    may_have_run = request.attempts_that_may_have_run()
    if not may_have_run:
        return True
    if request.in_flight() and not state.settings.parallel_attempts:
        return False
    return _repetition_is_harmless(state.now, request.class_spec, may_have_run, health.endpoint)


def _retry_budget_allows(state: ControllerState) -> bool:
    quota = state.budgets.quota(api.RETRY_BUDGET)
    return state.budgets.retries.allows_retry(state.now, state.settings, quota)


def _repetition_is_harmless(
    now: int, class_spec: api.ClassSpec, may_have_run: list[Attempt], endpoint: api.Endpoint
) -> bool:
    """Return whether a backend would drop a duplicate of these attempts, or execute it without harm."""
    if class_spec.effect is not Effect.KEYED:
        return class_spec.effect is Effect.SAFE
    if now >= min(attempt.sent_at for attempt in may_have_run) + class_spec.deduplication_window_us:
        return False
    if class_spec.deduplication_scope is DeduplicationScope.ZONE:
        return all(attempt.health.endpoint.zone == endpoint.zone for attempt in may_have_run)
    if class_spec.deduplication_scope is DeduplicationScope.CELL:
        return all(attempt.cell == endpoint.cell for attempt in may_have_run)
    return True


def rejection_is_harmless(request: Request) -> bool:
    """Return whether the client may retry the request after a rejection without a duplicate effect."""
    class_spec = request.class_spec
    if class_spec.effect is Effect.SAFE:
        return True
    if class_spec.effect is Effect.KEYED and class_spec.deduplication_scope is DeduplicationScope.ALL:
        return True
    return not request.attempts_that_may_have_run()
