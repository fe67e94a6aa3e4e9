"""When a retry at this instance, or at another one, is safe."""

from __future__ import annotations

from typing import Any, cast

import pytest

from garnetlanding.core.ports import BackendTransport, RequestSpec
from garnetlanding.core.request import Attempt, AttemptOwner, Request
from garnetlanding.core.retry_safety import may_repeat, may_run_elsewhere
from garnetlanding.decision.interface import NEVER_RAN, ClassSpec, DeduplicationScope, Effect, Outcome
from tests.support.clock import MS, SECOND, T0

WINDOW_US = 2000 * MS


def class_of(effect: Effect) -> ClassSpec:
    return ClassSpec("c", 1.0, 0.1, SECOND, SECOND, effect, DeduplicationScope.CELL, WINDOW_US)


def request_with(*outcomes: Outcome | None) -> Request:
    """Return a request with attempts 100 ms apart that have these outcomes; None: in flight."""
    spec = RequestSpec("c", "gold", "v", "k", 1.0, 0, SECOND, 1, None)
    request = Request("i1", spec, cast(BackendTransport, None), cast(Any, None), T0)
    for number, outcome in enumerate(outcomes):
        attempt = Attempt(
            cast(AttemptOwner, None), request, number, "n0", T0 + SECOND, T0 + number * 100 * MS
        )
        attempt.outcome = outcome
        request.attempts.append(attempt)
    return request


@pytest.mark.parametrize("effect", list(Effect), ids=lambda effect: effect.value)
@pytest.mark.parametrize("outcome", NEVER_RAN, ids=lambda outcome: outcome.name.lower())
def test_a_repeat_of_what_never_ran_is_always_allowed(effect: Effect, outcome: Outcome) -> None:
    request = request_with(outcome, None)
    assert may_repeat(request.attempts[1], class_of(effect), T0 + 10 * WINDOW_US)


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, None])
def test_a_repeat_of_what_may_have_run_depends_on_the_effect(outcome: Outcome | None) -> None:
    attempt = request_with(outcome, None).attempts[1]
    assert may_repeat(attempt, class_of(Effect.SAFE), T0 + 10 * WINDOW_US)
    assert may_repeat(attempt, class_of(Effect.KEYED), T0 + WINDOW_US - 1)
    assert not may_repeat(attempt, class_of(Effect.KEYED), T0 + WINDOW_US)
    assert not may_repeat(attempt, class_of(Effect.UNSAFE), T0)
    assert may_repeat(attempt, None, T0), "its class is no longer in the settings"


def test_the_window_counts_from_the_first_attempt_that_may_have_run() -> None:
    attempt = request_with(Outcome.FULL, Outcome.RESET, Outcome.RESET, None).attempts[3]
    assert may_repeat(attempt, class_of(Effect.KEYED), T0 + 100 * MS + WINDOW_US - 1)
    assert not may_repeat(attempt, class_of(Effect.KEYED), T0 + 100 * MS + WINDOW_US)


def test_another_instance_may_run_what_is_safe_or_never_ran() -> None:
    assert may_run_elsewhere(request_with(Outcome.RESET), class_of(Effect.SAFE))
    assert may_run_elsewhere(request_with(), class_of(Effect.UNSAFE))
    assert may_run_elsewhere(request_with(*NEVER_RAN), class_of(Effect.UNSAFE))
    assert not may_run_elsewhere(request_with(Outcome.FULL, Outcome.RESET), class_of(Effect.KEYED))
    assert not may_run_elsewhere(request_with(Outcome.RESET), None), "an unknown class counts as unsafe"
