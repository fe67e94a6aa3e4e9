"""Decides which requests are queued or rejected, and when a request gets its final answer."""

from garnetlanding.decision import interface as api
from garnetlanding.decision import tuning
from garnetlanding.decision.attempt_rules import rejection_is_harmless
from garnetlanding.decision.ordered_keys import OrderedKeyQueue
from garnetlanding.decision.placement import choose_cell
from garnetlanding.decision.requests import Request
from garnetlanding.decision.state import ControllerState
from garnetlanding.decision.time_constants import SECOND


class Admission:
    """Admits requests to the queues, and ends them.

    It calls neither `Retries` nor `Dispatcher`, which call it; what they have to do later is scheduled in the
    state, as a timer or a dispatch pass.
    """

    def __init__(self, state: ControllerState) -> None:
        self._state = state

    def admit(self, arrival: api.Arrival) -> None:
        """Queue an arriving request, or reject it at once if its volume's rate limit would make it late."""
        state = self._state
        request = state.new_request(arrival)
        state.budgets.retries.record_arrival(state.now)
        state.budgets.hedges.record_arrival(state.statistics.loss_rate)
        self._take_from_reserve(request)
        self._schedule_deadlines(request)
        if self._rate_limit_makes_late(request):
            self.reject_or_fail(request)
        elif request.class_spec.in_order and arrival.key:
            ordered_keys = state.requests.ordered_keys
            ordered_keys.setdefault(arrival.key, OrderedKeyQueue()).waiting.append(request)
            self._admit_next_of_key(arrival.key)
        else:
            self.enqueue(request)

    def _take_from_reserve(self, request: Request) -> None:
        """Take the request's units from its volume's reserve; if they exceed it, lower its priority."""
        reserve = request.volume.reserve
        if reserve.refill(self._state.now) < request.units:
            request.priority_weight *= self._state.settings.over_quota_value_fraction
        else:
            reserve.level -= request.units
            request.reserved_units = request.units

    def _schedule_deadlines(self, request: Request) -> None:
        state = self._state
        state.timers.schedule(request.answer_by, self.reject_or_fail, request)
        time_left_us = request.arrival.deadline_us - state.now
        undelivered_until = state.now + int(tuning.UNDELIVERED_DEADLINE_FRACTION * time_left_us)
        state.timers.schedule(undelivered_until, self._end_undelivered, request)

    def _rate_limit_makes_late(self, request: Request) -> bool:
        """Return whether the request would be late for want of tokens in its volume's rate limit."""
        now = self._state.now
        volume = request.volume
        limit = volume.limit
        missing_units = volume.queued_units + request.units - limit.refill(now)
        if request.units > limit.capacity:
            return True
        return now + missing_units / limit.rate * SECOND > request.objective_at

    def enqueue(self, request: Request) -> None:
        """Put a request into the fair queue of its cell, unless it is queued or needs no attempt now."""
        state = self._state
        if request.answered or request.queued_cell is not None:
            return
        if request.in_flight() and not state.settings.parallel_attempts:
            return
        cell = request.arrival.cell
        queue = choose_cell(state, request) if cell is None else state.cells.queue(cell)
        if queue is None:
            state.timers.schedule(state.now + tuning.DISPATCH_INTERVAL_US, self.enqueue, request)
            return
        # A retry in the same cell keeps the tags of the first attempt and goes to the front of its flow.
        request.keeps_tags = bool(request.attempts) and request.attempts[-1].cell == queue.cell
        queue.enqueue(request)
        state.cells.mark_pending(queue)

    def reject_or_fail(self, request: Request) -> None:
        """Reject or fail a request, unless an attempt in flight may still answer it in time."""
        state = self._state
        if request.answered or (request.in_flight() and state.now < request.answer_by):
            state.dequeue_unsent(request)
            return
        if rejection_is_harmless(request):
            settings = state.settings
            retry_after_us = settings.max_retry_after_us if settings.honors_retry_after else None
            state.actions.emit(api.Reject(request.id, retry_after_us))
        else:
            state.actions.emit(api.Fail(request.id))
        self.finish(request)

    def _end_undelivered(self, request: Request) -> None:
        """End a request that no backend has received, while its client has time left for a retry."""
        if not request.in_flight() and not request.may_have_been_delivered():
            self.reject_or_fail(request)

    def finish(self, request: Request) -> None:
        """Mark a request as answered and cancel its attempts; return its reserve if it was never sent."""
        state = self._state
        request.answered = True
        state.dequeue_unsent(request)
        state.request_ended()
        if not request.attempts:
            request.volume.reserve.level += request.reserved_units
        if state.settings.may_cancel:
            for number, attempt in enumerate(request.attempts):
                if attempt.outcome is None:
                    state.actions.emit(api.Cancel(request.id, number))
        self.settle(request)

    def settle(self, request: Request) -> None:
        """Drop a request that is answered and not in flight, and admit the next one of its key."""
        if request.answered and not request.in_flight():
            requests = self._state.requests
            requests.by_id.pop(request.id, None)
            if request.class_spec.in_order and request.arrival.key in requests.ordered_keys:
                self._admit_next_of_key(request.arrival.key)

    def _admit_next_of_key(self, key: str) -> None:
        """Queue the first request of a key once its predecessors are settled and the key's pause is over."""
        state = self._state
        ordered = state.requests.ordered_keys.get(key)
        if ordered is None:
            return
        first = ordered.drop_settled()
        if first and (first.answered or first is ordered.admitted):
            return
        if ordered.blocked_until > state.now:
            state.timers.schedule(ordered.blocked_until, self._admit_next_of_key, key)
        elif first:
            ordered.admitted = first
            self.enqueue(first)
        else:
            del state.requests.ordered_keys[key]
