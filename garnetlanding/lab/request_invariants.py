"""Invariants of requests: exactly one response, bounded attempts and retries, and the volume's rate limit."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator

from garnetlanding.lab.history import LineKind
from garnetlanding.lab.invariant import Invariant, RecordedRun
from garnetlanding.lab.limits import LIMITS, SECOND
from garnetlanding.lab.outcomes import Outcome
from garnetlanding.lab.permitted_losses import may_be_lost, ready_times

ANSWERED = frozenset({Outcome.SERVED, Outcome.REJECTED, Outcome.FAILED})
"""The outcomes with a valid response."""


class SingleResponse(Invariant):
    """Nothing follows the response to a request on its connection."""

    name = "single response"
    label = "one answer"
    statement = "A client receives no further response after the one to its request."
    shown_by = "test_request_invariants.py::test_second_response_on_a_connection_is_a_violation"

    def violations(self, run: RecordedRun) -> Iterator[str]:
        """Yield each request with surplus responses."""
        for line in run.lines_of(LineKind.SURPLUS_ANSWERS):
            yield f"{line['count']} more after that to {line['id']}"


class EveryRequestAnswered(Invariant):
    """Every request has one outcome, and a response unless a fault explains its absence."""

    name = "every request answered"
    label = "one answer"
    statement = (
        "Every request gets exactly one response, unless a fault affected its instance or its connection."
    )
    shown_by = "test_request_invariants.py::test_request_without_exactly_one_answer_is_a_violation"

    def violations(self, run: RecordedRun) -> Iterator[str]:
        """Yield requests with several outcomes or without a response, and count the outcomes."""
        outcomes: dict[str, list[str]] = defaultdict(list)
        for line in run.lines_of(LineKind.ENDED):
            outcomes[line["id"]].append(line["outcome"])
        ready = ready_times(run)
        requests = {request.id: request for request in run.requests}
        for name, request in requests.items():
            recorded = outcomes[name]
            outcome = recorded[0] if recorded else Outcome.NOT_RECORDED.value
            run.report.outcomes[outcome] += 1
            if len(recorded) > 1:
                yield f"{name} has {len(recorded)} outcomes"
                continue
            ready_us = ready.get(request.instance, [])
            if outcome not in ANSWERED and not may_be_lost(run.experiment, request, ready_us):
                yield f"{name} at n{request.instance} after {request.start_us} us: {outcome}"


class AttemptLimit(Invariant):
    """No request is attempted more often than the settings allow."""

    name = "attempt limit"
    label = "attempts"
    statement = "No request is executed by backends more often than MaxAttempts allows."
    shown_by = "test_request_invariants.py::test_too_many_attempts_of_a_request_are_a_violation"

    def violations(self, run: RecordedRun) -> Iterator[str]:
        """Yield each request with too many attempts."""
        allowed = run.experiment.settings.get("Limits", {}).get("MaxAttempts", 3)
        for name, attempts in Counter(line["id"] for line in run.lines_of(LineKind.EXECUTED)).items():
            if attempts > allowed:
                yield f"{name} was executed {attempts} times, {allowed} are allowed"


class ServedWasExecuted(Invariant):
    """Every served request was executed by a backend."""

    name = "served was executed"
    label = "served"
    statement = "A request that was served was executed by a backend."
    shown_by = "test_request_invariants.py::test_served_request_that_no_backend_executed_is_a_violation"

    def violations(self, run: RecordedRun) -> Iterator[str]:
        """Yield the served requests that no backend executed, by name."""
        executed = {line["id"] for line in run.lines_of(LineKind.EXECUTED)}
        served = {line["id"] for line in run.lines_of(LineKind.ENDED) if line["outcome"] == Outcome.SERVED}
        for name in sorted(served - executed):
            yield f"{name} was not executed by any backend"


class RateLimit(Invariant):
    """Each volume's token bucket, replayed over the requests of all instances, never goes below zero.

    The bucket is full at first and refills at the limit's rate; the first attempt of each request takes the
    request's units.
    """

    name = "rate limit"
    label = "limits"
    statement = "All instances together send no more of a volume's requests than its token bucket allows."
    shown_by = "test_request_invariants.py::test_exceeded_rate_limit_is_a_violation"

    def violations(self, run: RecordedRun) -> Iterator[str]:
        """Yield an exceeded limit; measure the overshoot and the used fraction of the limits."""
        plan = run.settings["Contracts"][0]
        rate = float(plan.get("NeverOver", 0))
        burst = float(plan.get("LimitBurst", 0))
        if rate <= 0:
            return
        workload = run.experiment.workload
        sent = self._replay(run, rate, burst)
        available = workload.volumes * (burst + rate * run.experiment.duration_us / SECOND)
        run.report.limit_use = sent / available
        # A request reaches its backend within dispatch_latency_us of the event-loop iteration that sends it,
        # and two requests may be reordered on the way.
        if run.report.limit_overshoot_units > workload.units + rate * LIMITS.dispatch_latency_us / SECOND:
            yield f"a volume's token bucket fell {run.report.limit_overshoot_units:.1f} units below 0"

    @staticmethod
    def _replay(run: RecordedRun, rate: float, burst: float) -> int:
        """Return the units sent over all volumes; measure the overshoot."""
        units = run.experiment.workload.units
        executed: set[str] = set()
        level: dict[str, float] = {}
        updated_us: dict[str, int] = {}
        for line in run.lines_of(LineKind.EXECUTED):
            if line["id"] in executed:
                continue
            executed.add(line["id"])
            volume = line["volume"]
            now_us = line["t"]
            elapsed_us = now_us - updated_us.get(volume, now_us)
            filled = level.get(volume, burst) + rate * elapsed_us / SECOND
            level[volume] = min(burst, filled) - units
            updated_us[volume] = now_us
            run.report.limit_overshoot_units = max(run.report.limit_overshoot_units, -level[volume])
        return units * len(executed)


class RetryBudget(Invariant):
    """The retries of all instances stay within the sum of their retry budgets."""

    name = "retry budget"
    label = "attempts"
    statement = "All instances together retry no more than the sum of their retry budgets allows."
    shown_by = "test_request_invariants.py::test_exceeded_retry_budget_is_a_violation"

    def violations(self, run: RecordedRun) -> Iterator[str]:
        """Yield an exceeded budget."""
        choices = run.experiment.choices
        share = choices.get("resend_share", 0)
        free = choices.get("resend_free", 0)
        if not (share or free):
            return
        window_us = choices.get("resend_span_s", 10) * SECOND
        active_us = run.experiment.duration_us + run.experiment.workload.client_timeout_us
        windows = 1 + active_us / window_us
        attempts = Counter(line["id"] for line in run.lines_of(LineKind.EXECUTED))
        retries = sum(count - 1 for count in attempts.values())
        allowed = share * run.report.requests + free * sum(run.report.incarnations.values()) * windows
        if retries > allowed:
            yield f"{retries} retries, the budgets allow {allowed:.0f}"
