"""When a request may run again: the engine's own check of what the decision module asks for.

The decision module plans retries by `decision/attempt_rules.py`. What may have changed since is checked once
more at the moment of sending, because a connection that is slow to come up may outlast the window in which a
repeat is deduplicated. The deduplication scope is not checked again: the backend is the one that was planned.
"""

from __future__ import annotations

from garnetlanding.core.request import Attempt, Request
from garnetlanding.decision.interface import NEVER_RAN, ClassSpec, Effect


def may_repeat(attempt: Attempt, spec: ClassSpec | None, now: int) -> bool:
    """Whether the first byte of an attempt that is not the request's first may be sent now.

    It may for a safe request, and for a class that is no longer in the settings (`spec` is None). For a
    request with an idempotency key it may within the deduplication window, counted from the first attempt
    that may have run; for any other only if no earlier attempt can have run.
    """
    if spec is None or spec.effect is Effect.SAFE:
        return True
    for earlier in attempt.request.attempts[: attempt.number]:
        if earlier.outcome not in NEVER_RAN:
            return spec.effect is Effect.KEYED and now < earlier.sent_at + spec.deduplication_window_us
    return True


def may_run_elsewhere(request: Request, spec: ClassSpec | None) -> bool:
    """Whether the client may safely send the request to another instance, though this one has tried it.

    A class that is no longer in the settings (`spec` is None) counts as unsafe.
    """
    if spec is not None and spec.effect is Effect.SAFE:
        return True
    return all(attempt.outcome in NEVER_RAN for attempt in request.attempts)
