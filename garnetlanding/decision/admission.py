"""Admission: which requests are queued, which are refused, and when a request has its final answer."""

from garnetlanding.decision import interface as api
from garnetlanding.decision import tuning
from garnetlanding.decision.attempt_rules import refusal_is_harmless
from garnetlanding.decision.ordered_keys import OrderedKeyQueue
from garnetlanding.decision.placement import place
from garnetlanding.decision.requests import Request
from garnetlanding.decision.state import ControllerState
from garnetlanding.decision.units import SECOND


class Admission:
    """Takes requests in, and ends them."""

    def __init__(self, state: ControllerState) -> None:
        self._state = state

    def admit(self, arrival: api.Arrival) -> None:
        """Queue an arriving request, or refuse it at once where it would earn nothing."""
        state = self._state
        now = state.now
        request = state.new_request(arrival)
        state.retry_budget.record_arrival(now)
        state.hedge_budget.earn_by_arrival(state.statistics.lost_share)
        self._draw_from_reserve(request)
        state.schedule(request.answer_by, self.end, request)
        unsent_until = now + int(tuning.UNSENT_SHARE * (arrival.deadline_us - now))
        state.schedule(unsent_until, self._give_up_unseen, request)
        if self._limit_lets_through_too_late(request):
            self.end(request)
        elif request.traffic_class.in_order and arrival.key:
            state.ordered_keys.setdefault(arrival.key, OrderedKeyQueue()).waiting.append(request)
            self._admit_next_of_key(arrival.key)
        else:
            self.enqueue(request)

    def _draw_from_reserve(self, request: Request) -> None:
        """Reserve the request's units of its volume; what goes beyond the reserve has less weight."""
        reserve = request.volume.reserve
        if reserve.available(self._state.now) < request.units:
            request.priority_weight *= self._state.settings.over_quota_value_fraction
        else:
            reserve.level -= request.units
            request.reserved_units = request.units

    def _limit_lets_through_too_late(self, request: Request) -> bool:
        """Return whether the volume's part of its limit cannot cover the request before its objective."""
        now = self._state.now
        volume = request.volume
        limit = volume.limit
        lacking = volume.queued_units + request.units - limit.available(now)
        return request.units > limit.capacity or now + lacking / limit.rate * SECOND > request.objective_at

    def enqueue(self, request: Request) -> None:
        """Put a request into the fair queue of its cell, unless it is there or needs no attempt now."""
        state = self._state
        if request.answered or request.queued_cell is not None:
            return
        if request.in_flight() and not state.settings.parallel_attempts:
            return
        cell = request.arrival.cell
        queue = place(state, request) if cell is None else state.cell_queue(cell)
        if queue is None:
            state.schedule(state.now + tuning.QUEUE_TICK, self.enqueue, request)
            return
        # A further attempt in the same cell goes in front, with the tags that its first has paid for.
        request.keeps_tags = bool(request.attempts) and request.attempts[-1].cell == queue.cell
        queue.enqueue(request)
        state.mark_pending(queue)

    def end(self, request: Request) -> None:
        """Give the final answer, unless one may yet come from a backend: a refusal, or a failure."""
        state = self._state
        if request.answered or (request.in_flight() and state.now < request.answer_by):
            state.dequeue_unsent(request)
            return
        if refusal_is_harmless(request):
            settings = state.settings
            retry_after = settings.max_retry_after_us if settings.honors_retry_after else None
            state.emit(api.Reject(request.id, retry_after))
        else:
            state.emit(api.Fail(request.id))
        self.finish(request)

    def _give_up_unseen(self, request: Request) -> None:
        """End a request that no backend has seen: it is late, and the client may do better later."""
        if not request.in_flight() and not request.seen_by_a_backend():
            self.end(request)

    def finish(self, request: Request) -> None:
        """Drop a request that has its final answer, or needs none any more."""
        state = self._state
        request.answered = True
        state.dequeue_unsent(request)
        if not request.attempts:
            request.volume.reserve.level += request.reserved_units
        if state.settings.may_cancel:
            for number, attempt in enumerate(request.attempts):
                if attempt.outcome is None:
                    state.emit(api.Cancel(request.id, number))
        self.settle(request)

    def settle(self, request: Request) -> None:
        """Forget a request that is answered and not in flight; the next of its key may go."""
        if request.answered and not request.in_flight():
            self._state.requests.pop(request.id, None)
            if request.traffic_class.in_order and request.arrival.key in self._state.ordered_keys:
                self._admit_next_of_key(request.arrival.key)

    def _admit_next_of_key(self, key: str) -> None:
        """Queue the first request of an ordered key once all before it are settled and the key has rested."""
        state = self._state
        ordered = state.ordered_keys.get(key)
        if ordered is None:
            return
        head = ordered.head()
        if head and (head.answered or head is ordered.admitted):
            return
        if ordered.rest_until > state.now:
            state.schedule(ordered.rest_until, self._admit_next_of_key, key)
        elif head:
            ordered.admitted = head
            self.enqueue(head)
        else:
            del state.ordered_keys[key]
