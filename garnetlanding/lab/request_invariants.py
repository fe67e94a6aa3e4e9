"""What must hold of each request: one answer, a bounded number of attempts, and within its volume's limit."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator

from garnetlanding.lab.history import LineKind
from garnetlanding.lab.invariant import Invariant, RecordedRun
from garnetlanding.lab.limits import LIMITS, SECOND
from garnetlanding.lab.outcomes import Outcome
from garnetlanding.lab.permitted_losses import may_be_lost, ready_times

ANSWERED = frozenset({Outcome.SERVED, Outcome.REJECTED, Outcome.FAILED})
"""The outcomes for which an answer came that the protocol has."""


class SingleResponse(Invariant):
    """Nothing follows an answer on its connection."""

    name = "single response"
    label = "one answer"
    statement = "A client reads no further answer behind the one to its request."
    shown_by = "test_request_invariants.py::test_second_response_on_a_connection_is_a_violation"

    def violations(self, run: RecordedRun) -> Iterator[str]:
        """Yield each surplus of answers."""
        for line in run.lines_of(LineKind.SURPLUS_ANSWERS):
            yield f"{line['count']} more behind that of {line['id']}"


class EveryRequestAnswered(Invariant):
    """Every request has one outcome, and an answer unless a fault excuses it."""

    name = "every request answered"
    label = "one answer"
    statement = "Every request gets exactly one answer, unless a fault struck its instance or its connection."
    shown_by = "test_request_invariants.py::test_request_without_exactly_one_answer_is_a_violation"

    def violations(self, run: RecordedRun) -> Iterator[str]:
        """Yield requests with several or no answers, and count the outcomes."""
        outcomes: dict[str, list[str]] = defaultdict(list)
        for line in run.lines_of(LineKind.ENDED):
            outcomes[line["id"]].append(line["outcome"])
        ready = ready_times(run)
        requests = {request.id: request for request in run.requests}
        for name, request in requests.items():
            noted = outcomes[name]
            outcome = noted[0] if noted else Outcome.NOT_RECORDED.value
            run.report.outcomes[outcome] += 1
            if len(noted) > 1:
                yield f"{name} has {len(noted)}"
                continue
            is_ready = ready.get(request.instance, [])
            if outcome not in ANSWERED and not may_be_lost(run.experiment, request, is_ready):
                yield f"{name} at n{request.instance} after {request.start_us} us: {outcome}"


class AttemptLimit(Invariant):
    """No request is attempted more often than the settings allow."""

    name = "attempt limit"
    label = "attempts"
    statement = "No request reaches backends more often than MaxAttempts allows."
    shown_by = "test_request_invariants.py::test_too_many_attempts_of_a_request_are_a_violation"

    def violations(self, run: RecordedRun) -> Iterator[str]:
        """Yield the requests with too many attempts."""
        allowed = run.experiment.settings.get("Limits", {}).get("MaxAttempts", 3)
        for name, attempts in Counter(line["id"] for line in run.lines_of(LineKind.EXECUTED)).items():
            if attempts > allowed:
                yield f"{name} ran {attempts} times, {allowed} are allowed"


class ServedWasExecuted(Invariant):
    """What a client was served, a backend has executed."""

    name = "served was executed"
    label = "served"
    statement = "A request that was served was executed by a backend."
    shown_by = "test_request_invariants.py::test_served_request_that_no_backend_executed_is_a_violation"

    def violations(self, run: RecordedRun) -> Iterator[str]:
        """Yield the requests that were served from nowhere, by name."""
        executed = {line["id"] for line in run.lines_of(LineKind.EXECUTED)}
        served = {line["id"] for line in run.lines_of(LineKind.ENDED) if line["outcome"] == Outcome.SERVED}
        for name in sorted(served - executed):
            yield f"{name} was, and no brick ran it"


class RateLimit(Invariant):
    """Each volume's token bucket, replayed over all instances, is not overdrawn.

    It is full at first, fills at the limit's rate, and the first attempt of each request takes its units.
    """

    name = "rate limit"
    label = "limits"
    statement = "All instances together send no more of a volume's requests than its token bucket allows."
    shown_by = "test_request_invariants.py::test_exceeded_rate_limit_is_a_violation"

    def violations(self, run: RecordedRun) -> Iterator[str]:
        """Yield an overdraft, and measure it and how much of the limits was used."""
        plan = run.settings["Contracts"][0]
        rate = float(plan.get("NeverOver", 0))
        burst = float(plan.get("LimitBurst", 0))
        if rate <= 0:
            return
        workload = run.experiment.workload
        sent = self._replay(run, rate, burst)
        available = workload.volumes * (burst + rate * run.experiment.duration_us / SECOND)
        run.report.limit_use = sent / available
        # What an instance sends in one iteration of its loop reaches its backend within this time; two
        # requests may change places on the way.
        if run.report.limit_overshoot_units > workload.units + rate * LIMITS.dispatch_latency_us / SECOND:
            yield f"a volume's store fell {run.report.limit_overshoot_units:.1f} units below 0"

    @staticmethod
    def _replay(run: RecordedRun, rate: float, burst: float) -> int:
        """Return the units sent of all volumes; measure the overshoot."""
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
    """Retries over all instances stay within the sum of their budgets."""

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
            yield f"{retries} further ones, the budgets allow {allowed:.0f}"
