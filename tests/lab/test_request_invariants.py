"""Invariants of requests: each test shows that one finds its violation and nothing else."""

from __future__ import annotations

from dataclasses import replace

from garnetlanding.lab import invariants
from garnetlanding.lab.faults import FaultKind
from garnetlanding.lab.limits import SECOND
from garnetlanding.lab.workload import draw_requests
from tests.support.lab import BASELINE, fault
from tests.support.run_histories import (
    LOW_RATE,
    REQUESTS,
    VALID_HISTORY,
    answered,
    violations,
    violations_with,
)

FIRST = REQUESTS[0]
EXECUTED = {"t": 9, "who": "bricks", "what": "ran", "id": FIRST.id, "volume": FIRST.volume}
ANSWERED = {"t": 9, "who": "clients", "what": "answer", "id": FIRST.id, "outcome": "served"}


def test_valid_history_has_no_violation() -> None:
    assert invariants.check(LOW_RATE, REQUESTS, VALID_HISTORY).passed


def test_second_response_on_a_connection_is_a_violation() -> None:
    extra = {"t": 9, "who": "clients", "what": "extra", "id": FIRST.id, "count": 1}
    assert violations_with(extra) == f"one answer: 1 more after that to {FIRST.id}"


def test_request_without_exactly_one_answer_is_a_violation() -> None:
    assert "one answer" in violations_with(ANSWERED)
    assert "never noted" in violations_with(without=2)
    lost = answered(REQUESTS, "lost")
    assert len(invariants.check(LOW_RATE, REQUESTS, lost).violations) >= len(REQUESTS)


def test_lost_request_of_a_killed_instance_is_permitted_until_it_is_ready_again() -> None:
    lost = answered(REQUESTS, "lost")
    kills = tuple(fault(FaultKind.KILL, 0, 4, instance=number) for number in range(3))
    killed = replace(LOW_RATE, faults=kills)
    restarted = replace(LOW_RATE, faults=tuple(replace(kill, end_us=SECOND) for kill in kills))
    back = [{"t": SECOND + 9, "who": f"n{number}", "what": "up"} for number in range(3)]
    assert "one answer" in violations(restarted, REQUESTS, lost + back), "ready again"
    assert "one answer" not in violations(restarted, REQUESTS, lost), "not yet ready"
    assert "one answer" not in violations(killed, REQUESTS, lost)


def test_too_many_attempts_of_a_request_are_a_violation() -> None:
    assert "executed 4 times" in violations_with(*[EXECUTED] * 3)


def test_served_request_that_no_backend_executed_is_a_violation() -> None:
    assert f"served: {FIRST.id} was not executed by any backend" in violations_with(without=1)


def test_exceeded_rate_limit_is_a_violation() -> None:
    busy = replace(BASELINE, workload=replace(BASELINE.workload, requests_per_s=200.0))
    requests = draw_requests(busy)
    report = invariants.check(BASELINE, requests, answered(requests))
    assert report.limit_overshoot_units > 20
    assert any(violation.label == "limits" for violation in report.violations)


def test_exceeded_retry_budget_is_a_violation() -> None:
    budgeted = replace(LOW_RATE, choices={"resend_share": 0.01})
    assert violations(budgeted, REQUESTS, VALID_HISTORY) == ""
    retried = [EXECUTED | {"id": request.id, "volume": request.volume} for request in REQUESTS[:9]]
    assert violations(budgeted, REQUESTS, [*VALID_HISTORY, *retried]) == (
        "attempts: 9 retries, the budgets allow 1"
    )
