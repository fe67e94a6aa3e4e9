"""Invariants of settings, fencing and audit: each test shows that one detects its violation."""

from __future__ import annotations

import pathlib
from dataclasses import replace
from typing import Any

from garnetlanding.decision.interface import Outcome
from garnetlanding.lab import invariants
from garnetlanding.lab.limits import SECOND
from tests.support.lab import BASELINE
from tests.support.run_histories import violations


def settings(instance: str, revision: int, at_us: int, digest: int = 7) -> dict[str, Any]:
    """Return the line of settings that an instance applied."""
    return {
        "t": at_us,
        "at": at_us,
        "who": instance,
        "life": 1,
        "what": "settings",
        "epoch": 1,
        "revision": revision,
        "digest": digest,
    }


def sent(instance: str, at_us: int, outcome: Outcome = Outcome.SERVED) -> dict[str, Any]:
    """Return the line of a request for which an instance recorded one attempt, with its outcome."""
    return {
        "t": at_us,
        "who": instance,
        "life": 1,
        "what": "answered",
        "id": "r",
        "attempts": [["b0", outcome.value, at_us]],
    }


def test_diverging_settings_are_a_violation() -> None:
    stored = replace(BASELINE, store=True)
    assert violations(stored, [], [settings("n0", 1, 1), settings("n1", 1, 2)]) == ""
    assert violations(stored, [], [settings("n0", 1, 1), settings("n1", 1, 2, digest=8)]) == (
        "settings: n1 has a different text of version (1, 1) "
        "settings: n1 does not have the writer's settings at the end"
    )
    late = [settings("n1", 1, 1), settings("n0", 1, 1), settings("n0", 2, 2, digest=8)]
    assert violations(stored, [], late) == "settings: n1 does not have the writer's settings at the end"


def test_attempt_on_stale_settings_is_a_violation() -> None:
    followed = replace(BASELINE, store=True, staleness_limit_s=1.0)
    lines = [settings("n0", 1, 1), settings("n1", 1, 2), settings("n0", 2, SECOND)]
    assert violations(followed, [], [*lines, sent("n1", 2 * SECOND)]) == ""
    assert violations(followed, [], [*lines, sent("n1", 3 * SECOND)]) == (
        "current: an instance sent under settings that were superseded 2.00 s before"
    )
    never_dispatched = sent("n1", 3 * SECOND, Outcome.NEVER_DISPATCHED)
    assert violations(followed, [], [*lines, never_dispatched]) == ""
    updated = [*lines, settings("n1", 2, 2 * SECOND), sent("n1", 3 * SECOND)]
    assert violations(followed, [], updated) == ""


def test_attempt_of_a_fenced_instance_is_a_violation() -> None:
    fenced = {"t": 5, "at": 5, "who": "n1", "what": "current", "out": True}
    unfenced = fenced | {"t": 8, "at": 8, "out": False}
    assert violations(BASELINE, [], [fenced, unfenced, sent("n1", 9), sent("n1", 4), sent("n0", 6)]) == ""
    for outcome in set(Outcome) - {Outcome.NEVER_DISPATCHED}:
        lines = [fenced, unfenced, sent("n1", 6, outcome)]
        assert violations(BASELINE, [], lines) == "out: r was sent by n1, which was fenced"


def test_attempt_that_a_fenced_instance_records_and_never_dispatches_is_no_violation() -> None:
    fenced = {"t": 5, "at": 5, "who": "n1", "what": "current", "out": True}
    assert violations(BASELINE, [], [fenced, sent("n1", 6, Outcome.NEVER_DISPATCHED)]) == ""


def test_attempt_that_the_audit_does_not_know_is_a_violation(tmp_path: pathlib.Path) -> None:
    audited = replace(BASELINE, audit=True)
    (tmp_path / "audit").mkdir()
    report = invariants.check(audited, [], [settings("n1", 3, 1), sent("n1", 9)], tmp_path)
    assert report.audited_attempts == 1
    assert "audit: r was sent by n1 on 1.3#00000007, the audit says " in map(str, report.violations)
