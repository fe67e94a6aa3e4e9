"""Retries and hedged requests: what follows when an attempt has ended, or stays without an answer."""

from garnetlanding.decision import interface as api
from garnetlanding.decision.admission import Admission
from garnetlanding.decision.backoff import retry_pause
from garnetlanding.decision.learning import record_result
from garnetlanding.decision.requests import MAY_STILL_RUN, Request
from garnetlanding.decision.state import ControllerState


class Retries:
    """Decides on attempts beyond a request's first."""

    def __init__(self, state: ControllerState, admission: Admission) -> None:
        self._state = state
        self._admission = admission

    def on_result(self, result: api.Result) -> None:
        """Take in an attempt's result; finish the request, or try it again. A second result is ignored."""
        state = self._state
        request = state.requests.get(result.request)
        if request is None or not 0 <= result.attempt < len(request.attempts):
            return
        attempt = request.attempts[result.attempt]
        if attempt.outcome is not None:
            return
        attempt.outcome = result.outcome
        state.mark_pending(state.cells[attempt.cell])
        record_result(state, request, attempt, result)
        if result.usage_percent is not None:
            request.volume.usage_percent = result.usage_percent
        if result.outcome in MAY_STILL_RUN and request.arrival.key in state.ordered_keys:
            rest = state.settings.ordered_key_rest_us + state.settings.tick_us
            state.ordered_keys[request.arrival.key].rest_until = state.now + rest
        if not request.answered:
            if result.answered:
                self._admission.finish(request)
            elif request.queued_cell is None and not request.in_flight():
                self._retry(request)
        self._admission.settle(request)

    def _retry(self, request: Request) -> None:
        """Queue a request again after a pause, or end it: too late, or no attempt left."""
        state = self._state
        attempts = len(request.attempts)
        retry_at = state.now + retry_pause(request.traffic_class.latency_objective_us, attempts, state.rng)
        late = retry_at + request.attempts[-1].health.latency_us > request.answer_by
        if late or attempts >= state.settings.max_attempts:
            self._admission.end(request)
        else:
            state.schedule(retry_at, self._admission.enqueue, request)

    def schedule_hedge(self, request: Request) -> None:
        """Plan a hedged attempt for when the answer to the attempt just sent is overdue."""
        state = self._state
        if state.settings.parallel_attempts:
            health = request.attempts[-1].health
            delay = max(state.statistics.hedging_delay_us, health.latency_us)
            hedge_at = state.now + int(health.relative_size(request.units) * delay)
            state.schedule(hedge_at, self._hedge, request)

    def _hedge(self, request: Request) -> None:
        """Queue an attempt beside one whose answer is overdue; wrong guesses use the budget up."""
        state = self._state
        if request.answered or request.queued_cell is not None or not request.in_flight():
            return
        if state.now >= request.objective_at or len(request.attempts) >= state.settings.max_attempts:
            return
        if state.hedge_budget.has_token():
            state.hedge_budget.spend()
            self._admission.enqueue(request)
