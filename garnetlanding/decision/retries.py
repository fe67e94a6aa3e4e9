"""Decides whether a request gets another attempt, a retry or a hedge, and after which delay."""

from garnetlanding.decision import interface as api
from garnetlanding.decision.admission import Admission
from garnetlanding.decision.backoff import retry_pause
from garnetlanding.decision.learning import record_result
from garnetlanding.decision.requests import MAY_STILL_RUN, Attempt, Request
from garnetlanding.decision.state import ControllerState


class Retries:
    """Handles the results of attempts; retries and hedges requests."""

    def __init__(self, state: ControllerState, admission: Admission) -> None:
        self._state = state
        self._admission = admission

    def on_result(self, result: api.Result) -> None:
        """Record the result of an attempt, then finish or retry the request. Ignore duplicate results."""
        request = self._state.requests.by_id.get(result.request)
        if request is None or not 0 <= result.attempt < len(request.attempts):
            return
        attempt = request.attempts[result.attempt]
        if attempt.outcome is not None:
            return
        self._record(request, attempt, result)
        if not request.answered:
            if result.answered:
                self._admission.finish(request)
            elif request.queued_cell is None and not request.in_flight():
                self._retry(request)
        self._admission.settle(request)

    def _record(self, request: Request, attempt: Attempt, result: api.Result) -> None:
        state = self._state
        attempt.outcome = result.outcome
        state.cells.mark_pending(state.cells.queues[attempt.cell])
        record_result(state, request, attempt, result)
        if result.usage_percent is not None:
            request.volume.usage_percent = result.usage_percent
        ordered_keys = state.requests.ordered_keys
        if result.outcome in MAY_STILL_RUN and request.arrival.key in ordered_keys:
            pause_us = state.settings.ordered_key_pause_us + state.settings.tick_us
            ordered_keys[request.arrival.key].blocked_until = state.now + pause_us

    def _retry(self, request: Request) -> None:
        """Schedule a retry after a pause, or end the request if it would be late or has no attempt left."""
        state = self._state
        attempts = len(request.attempts)
        retry_at = state.now + retry_pause(request.class_spec.latency_objective_us, attempts, state.rng)
        is_late = retry_at + request.attempts[-1].health.latency_us > request.answer_by
        if is_late or attempts >= state.settings.max_attempts:
            self._admission.reject_or_fail(request)
        else:
            state.timers.schedule(retry_at, self._admission.enqueue, request)

    def schedule_hedge(self, request: Request) -> None:
        """Schedule a hedged attempt for the time when the response to the last attempt is overdue."""
        state = self._state
        if state.settings.parallel_attempts:
            health = request.attempts[-1].health
            delay = max(state.statistics.hedging_delay_us, health.latency_us)
            hedge_at = state.now + int(health.relative_size(request.units) * delay)
            state.timers.schedule(hedge_at, self._hedge, request)

    def _hedge(self, request: Request) -> None:
        """Queue another attempt of a request whose attempt is overdue, if the hedge budget allows it."""
        state = self._state
        if request.answered or request.queued_cell is not None or not request.in_flight():
            return
        if state.now >= request.objective_at or len(request.attempts) >= state.settings.max_attempts:
            return
        if state.budgets.hedges.has_token():
            state.budgets.hedges.spend()
            self._admission.enqueue(request)
