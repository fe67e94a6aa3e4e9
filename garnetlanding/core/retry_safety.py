"""The engine's own check that a retry is safe, made right before it is sent.

The decision module plans retries by `decision/attempt_rules.py`. The engine checks the time-dependent part of
these rules again right before sending, because the deduplication window may end while the connection is
being established. The deduplication scope is not checked again: it depends only on the backend,
which has not changed.
"""

from __future__ import annotations

from garnetlanding.core.request import Attempt, Request
from garnetlanding.decision.interface import NEVER_RAN, ClassSpec, Effect


def may_repeat(attempt: Attempt, spec: ClassSpec | None, now: int) -> bool:
    """Return whether a retry or hedged attempt may be sent now, given the request's earlier attempts.

    It may if the class is safe to repeat, or no longer in the settings (`spec` is None). With an
    idempotency key it may within the deduplication window, which starts with the first attempt that may have
    run. Any other request may be repeated only if no earlier attempt can have run.
    """
    if spec is None or spec.effect is Effect.SAFE:
        return True
    for earlier in attempt.request.attempts[: attempt.number]:
        if earlier.outcome not in NEVER_RAN:
            return spec.effect is Effect.KEYED and now < earlier.sent_at + spec.deduplication_window_us
    return True


def may_run_elsewhere(request: Request, spec: ClassSpec | None) -> bool:
    """Return whether the client may safely retry at another instance, given this instance's attempts.

    A class that is no longer in the settings (`spec` is None) counts as unsafe to repeat.
    """
    if spec is not None and spec.effect is Effect.SAFE:
        return True
    return all(attempt.outcome in NEVER_RAN for attempt in request.attempts)
